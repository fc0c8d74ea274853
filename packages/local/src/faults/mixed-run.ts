import {
	PausableTimerService, sha256Hex, SystemTimerService, type Cancel,
} from '@fescuewick/core';
import {
	editConfiguration, issueKey, withdrawKey, type ConfigurationEdit,
} from '@fescuewick/config';
import {type BackendRun} from '@fescuewick/emulator';
import {type DeployedVm} from '../vm.js';
import {
	RequestKind, type CallerRequest, type Load, type RequestResult,
} from './caller.js';
import {startFixture, type Fixture} from './fixture.js';
import {LookupSampler, RevisionSampler} from './samplers.js';
import {
	freshKey, keyOf, mixedConfiguration, mixedServiceMs, mixedTopology, uncancelledWorkMs,
} from './mixed-configuration.js';
import {type FaultContext, type MixedFault} from './mixed-faults.js';

/** Duration of the load before the fault. */
const preFaultMs = 1500;
const defaultFaultDurationMs = 7000;
/** Time from the start of the fault to the changes of keys, VMs and servers. */
const changeDelayMs = 500;
/** Time-out of the revision check after the fault, and of the other recovery checks together once the VMs are ready. */
const recoveryTimeoutMs = 10_000;
/** Minimum time-out of a recovery check, also if the previous ones used up `recoveryTimeoutMs`. */
const minRecoveryTimeoutMs = 3000;
/** Time within which a VM that joins serves requests. */
const joinTimeoutMs = 10_000;
/** Longer than the 15 s that a VM waits for shares of all workspaces before it reports that it is ready without some of them. */
const readyTimeoutMs = 17_000;
const defaultJoinedDomain = 'north-a';
/** Duration of the load after the recovery. */
const postRecoveryMs = 1500;

/** Time at which each event of a run happened; undefined if it did not. */
export type RunTimes = {
	faultStartMs: number;
	/** Time from which the fault was in effect everywhere. */
	faultInEffectMs: number;
	faultEndMs: number;
	withdrawnMs: number | undefined;
	drainStartMs: number;
	drainEndMs: number | undefined;
	leavingSinceMs: number;
	joinedServesSinceMs: number | undefined;
};

/** Record of a run under a fault, evaluated by the checks in step-checks.ts. */
export type MixedRun = {
	readonly fault: MixedFault;
	readonly fixture: Fixture;
	readonly times: RunTimes;
	readonly backendRuns: readonly BackendRun[];
	readonly results: readonly RequestResult[];
	/** Entry URLs of VMs that were killed or drained, with the time from the kill or drain to the restart. */
	readonly downPeriods: ReadonlyArray<{readonly url: string; readonly fromMs: number; untilMs: number}>;
	readonly lookups: LookupSampler;
	readonly revisions: RevisionSampler;
	/** Entry URL of the VM that was drained. */
	readonly drainedUrl: string;
	readonly leavingServers: readonly string[];
	/** Whether all VMs had the latest revision within 10 s after the fault, accepted orders and the issued key within 10 s after they were ready, and served the small workspace within 2 s after that. */
	readonly recovery: {hasOneRevision: boolean; acceptsOrders: boolean; acceptsFreshKey: boolean; servesSmallWorkspace: boolean};
};

/** Exposes a deployment under mixed load to a fault; during the fault keys change, a VM drains, another joins and backend servers leave. */
export async function runMixed(fault: MixedFault): Promise<MixedRun> {
	const teardowns: Array<() => Promise<void>> = [];
	const vmTimers = new Map<string, PausableTimerService>();
	const timersOf = (vm: string): PausableTimerService => {
		const timers = vmTimers.get(vm) ?? new PausableTimerService(new SystemTimerService());
		vmTimers.set(vm, timers);
		return timers;
	};

	const fixture = await startFixture({teardown: end => teardowns.push(end)}, {topology: mixedTopology, configuration: mixedConfiguration(), timersOf});
	try {
		return await new Scenario(fixture, fault, timersOf).run();
	} finally {
		for (const end of teardowns) {
			await end();
		}
	}
}

class Scenario {
	readonly #downPeriods: Array<{url: string; fromMs: number; untilMs: number}> = [];
	readonly #backendRuns: BackendRun[] = [];
	readonly #faultEndActions: Cancel[] = [];
	readonly #leavingServers: string[] = [];
	readonly #lookups: LookupSampler;
	readonly #revisions: RevisionSampler;
	readonly #recovery = {
		hasOneRevision: false, acceptsOrders: false, acceptsFreshKey: false, servesSmallWorkspace: false,
	};

	readonly #times: RunTimes = {
		faultStartMs: 0, faultInEffectMs: 0, faultEndMs: 0, withdrawnMs: undefined, drainStartMs: 0, drainEndMs: undefined, leavingSinceMs: 0, joinedServesSinceMs: undefined,
	};

	constructor(readonly fixture: Fixture, readonly fault: MixedFault, readonly timersOf: (vm: string) => PausableTimerService) {
		this.#lookups = new LookupSampler(fixture);
		this.#revisions = new RevisionSampler(fixture);
		for (const {behaviour} of fixture.deployment.backends.values()) {
			behaviour.onRun = run => {
				this.#backendRuns.push(run);
			};
		}
	}

	async run(): Promise<MixedRun> {
		const {fixture, fault} = this;
		const {timers} = fixture;
		const drainedUrl = fixture.vm(fault.drainedVm ?? 'north-a-2').record.entryUrl;
		this.#lookups.start();
		this.#revisions.start();
		const loads = this.#startLoads();
		await timers.sleep(preFaultMs);
		this.#times.faultStartMs = timers.nowMs();
		const context = this.#faultContext();
		await fault.begin(context);
		this.#times.faultInEffectMs = timers.nowMs();
		await timers.sleep(changeDelayMs);
		const leaving = this.#markServersLeaving();
		const changes = [leaving, this.#changeKeys(), this.#drainVm(), this.#joinVm()];
		await timers.sleep(fault.durationMs ?? defaultFaultDurationMs);
		for (const end of this.#faultEndActions) {
			end();
		}

		await fault.end?.(context);
		fixture.deployment.store.faults.loseAnswers = 0;
		this.#times.faultEndMs = timers.nowMs();
		await Promise.all(changes);
		await this.#recover();
		await timers.sleep(postRecoveryMs);
		await Promise.all(loads.map(async load => load.stop()));
		this.#lookups.stop();
		this.#revisions.stop();
		return {
			fault, fixture, times: this.#times, backendRuns: this.#backendRuns, results: fixture.caller.results, downPeriods: this.#downPeriods, lookups: this.#lookups, revisions: this.#revisions,
			drainedUrl, leavingServers: this.#leavingServers, recovery: this.#recovery,
		};
	}

	#faultContext(): FaultContext {
		const {fixture, timersOf} = this;
		return {
			fixture,
			timersOf,
			onFaultEnd: action => this.#faultEndActions.push(action),
			kill: async (...names) => {
				await Promise.all(names.map(async name => {
					const vm = fixture.vm(name);
					this.#downPeriods.push({url: vm.record.entryUrl, fromMs: fixture.timers.nowMs(), untilMs: Infinity});
					await vm.kill();
				}));
			},
			start: async (...names) => {
				await Promise.all(names.map(async name => {
					const vm = fixture.vm(name);
					for (const period of this.#downPeriods) {
						period.untilMs = period.url === vm.record.entryUrl ? Math.min(period.untilMs, fixture.timers.nowMs()) : period.untilMs;
					}

					await vm.start();
				}));
			},
		};
	}

	#startLoads(): Load[] {
		const {caller} = this.fixture;
		// Callers whose look-ups name no VM keep using the VMs they know.
		const entryUrls = () => {
			const named = this.#lookups.namedUrls();
			return named.length > 0 ? named : this.fixture.deployment.vms.map(({record}) => record.entryUrl);
		};

		const check = (key: string): CallerRequest => ({kind: RequestKind.check, key});
		const order = (orderKey: string, overrides: Partial<CallerRequest> = {}): CallerRequest => ({
			kind: RequestKind.order, key: keyOf('shop'), orderKey, ...overrides,
		});
		const disconnectAfterMs = mixedServiceMs;
		return [
			caller.startLoad(entryUrls, () => check(keyOf('shop')), {loops: 6}),
			caller.startLoad(entryUrls, () => ({kind: RequestKind.open}), {loops: 2}),
			// Each order is sent three times, to three VMs if that many are named.
			caller.startLoad(entryUrls, index => order(`order-${Math.floor(index / 3)}`), {loops: 3, pauseMs: 40}),
			caller.startLoad(entryUrls, () => check(keyOf('small')), {loops: 6, pauseMs: 20}),
			caller.startLoad(entryUrls, () => check(keyOf('gone')), {loops: 1}),
			caller.startLoad(entryUrls, () => check(keyOf('nobody')), {loops: 1, pauseMs: 100}),
			// Callers that disconnect before the response: half of the requests are checks, the others orders that are sent twice.
			caller.startLoad(entryUrls, index => index % 2 === 0
				? {...check(keyOf('shop')), disconnectAfterMs, workMs: uncancelledWorkMs}
				: order(`left-${Math.floor(index / 4)}`, {disconnectAfterMs}), {loops: 2}),
		];
	}

	/** One server announces in its responses that it leaves; another one is marked in the platform's list, unless the store is unreachable. */
	async #markServersLeaving(): Promise<void> {
		const {fixture, fault} = this;
		const {deployment} = fixture;
		deployment.backends.get('booking-2')!.behaviour.draining = true;
		this.#leavingServers.push('booking-2');
		if (!fault.isStoreUnreachable) {
			const index = deployment.backendRecords.findIndex(({server}) => server === 'booking-1');
			deployment.backendRecords[index] = {...deployment.backendRecords[index], leaving: true};
			await this.#retryUntilDone(async () => fixture.writeLists());
			this.#leavingServers.push('booking-1');
		}

		this.#times.leavingSinceMs = fixture.timers.nowMs();
	}

	async #changeKeys(): Promise<void> {
		const {fixture, fault} = this;
		if (fault.isStoreUnreachable) {
			const response = await fetch(`${fixture.vm('north-a-1').record.adminUrl}/v1/revocations`, {
				method: 'POST', headers: {'content-type': 'application/json'}, body: JSON.stringify({keyHashes: [sha256Hex(keyOf('gone'))]}),
			});
			await response.text();
			this.#times.withdrawnMs = response.ok ? fixture.timers.nowMs() : undefined;
		}

		await this.#edit(document => document.keys.some(({id}) => id === 'gone-1') ? withdrawKey(document, 'gone-1') : document);
		this.#times.withdrawnMs ??= fixture.timers.nowMs();
		await this.#edit(document => document.keys.some(({id}) => id === freshKey.id) ? document : issueKey(document, freshKey));
	}

	async #edit(edit: ConfigurationEdit): Promise<void> {
		const {deployment, timers} = this.fixture;
		await this.#retryUntilDone(async () => editConfiguration(deployment.store, edit, {author: 'abeba', summary: 'key', timers}));
	}

	/** Retries an action of an operator or the platform until the store accepts it. */
	async #retryUntilDone(action: () => Promise<unknown>): Promise<void> {
		for (;;) {
			try {
				await action();
				return;
			} catch {
				await this.fixture.timers.sleep(200);
			}
		}
	}

	async #drainVm(): Promise<void> {
		const {fixture, fault} = this;
		const {timers, deployment} = fixture;
		const vm = fixture.vm(fault.drainedVm ?? 'north-a-2');
		this.#times.drainStartMs = timers.nowMs();
		this.#downPeriods.push({url: vm.record.entryUrl, fromMs: timers.nowMs(), untilMs: Infinity});
		await vm.drain();
		this.#times.drainEndMs = timers.nowMs();
		deployment.removeVm(vm);
		await this.#retryUntilDone(async () => fixture.writeLists());
	}

	get #joinedName(): string {
		return `${this.fault.joinedDomain ?? defaultJoinedDomain}-3`;
	}

	async #joinVm(): Promise<void> {
		const {fixture, fault} = this;
		const {deployment, timers, caller, waitUntil} = fixture;
		const domain = fault.joinedDomain ?? defaultJoinedDomain;
		const vm = await deployment.addVm(this.#joinedName, {name: domain, region: domain.split('-')[0]});
		// A VM that starts in a cut-off domain cannot confirm its keys and serves only open routes.
		const isCut = domain === fault.cutDomain;
		const probe = isCut ? {kind: RequestKind.open} : {kind: RequestKind.check, key: keyOf('shop')};
		const isServing = await waitUntil(async () => {
			const {status} = await caller.send(vm.record.entryUrl, probe);
			return status === 200;
		}, joinTimeoutMs);
		this.#times.joinedServesSinceMs = isServing ? timers.nowMs() : undefined;
		await this.#retryUntilDone(async () => fixture.writeLists());
	}

	async #recover(): Promise<void> {
		const {fixture} = this;
		const {deployment, waitUntil, caller, timers} = fixture;
		let checksStartMs = this.#times.faultEndMs;
		const readyVms: DeployedVm[] = [];
		const waitUntilAllServe = async (makeRequest: (vm: string) => CallerRequest): Promise<boolean> => waitUntil(async () => {
			const results = await Promise.all(readyVms.map(async ({record}) => caller.send(record.entryUrl, makeRequest(record.vm))));
			return results.length > 0 && results.every(({status}) => status === 200);
		}, Math.max(minRecoveryTimeoutMs, recoveryTimeoutMs - (timers.nowMs() - checksStartMs)));
		const readHead = async () => deployment.store.read('config/head');
		this.#recovery.hasOneRevision = await waitUntil(async () => {
			const object = await readHead();
			const {revision} = object!.value as {revision: number};
			return deployment.vms.every(({control}) => control.status().revision === revision);
		}, recoveryTimeoutMs);
		// VMs that the fault affected and the VM that joined are not awaited; they take part in the checks below only if they are ready, because before that they cannot serve all workspaces.
		const notAwaitedVms = new Set([...this.fault.affectedVms ?? [], this.#joinedName]);
		await Promise.all(deployment.vms.filter(({record}) => !notAwaitedVms.has(record.vm)).map(async vm => vm.waitUntilReady(readyTimeoutMs)));
		for (const vm of deployment.vms) {
			if (await vm.waitUntilReady(0)) {
				readyVms.push(vm);
			}
		}

		checksStartMs = timers.nowMs();
		this.#recovery.acceptsFreshKey = await waitUntilAllServe(() => ({kind: RequestKind.check, key: keyOf('fresh')}));
		let round = 0;
		// Each attempt has its own order key, because the outcome of an order whose claim failed stays unknown.
		this.#recovery.acceptsOrders = await waitUntilAllServe(vm => ({kind: RequestKind.order, key: keyOf('shop'), orderKey: `after-${vm}-${round++}`}));
		const runsBefore = this.#backendRuns.filter(({workspace}) => workspace === 'small').length;
		this.#recovery.servesSmallWorkspace = await waitUntil(() => this.#backendRuns.filter(({workspace}) => workspace === 'small').length > runsBefore, 2000);
	}
}
