import {mkdirSync} from 'node:fs';
import process from 'node:process';
import {SystemTimerService, type TimerService} from '@fescuewick/core';
import {startTcpRelay, type TcpRelay} from '@fescuewick/emulator';
import {FakePlatformStore} from '@fescuewick/platform/stand-ins';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {mersenne} from 'pure-rand/generator/mersenne';
import {Backends} from './backends.js';
import {Callers, requestTimeLimitMs} from './callers.js';
import {FaultInjector} from './fault-injector.js';
import {
	host, rateLimits, Operator, service,
} from './operator.js';
import {type Observations, type ObservedRequest} from './observations.js';
import {findViolations, type Violation} from './guarantees.js';
import {drawSchedule, type PlannedFault} from './schedule.js';
import {VmProcess} from './vm-process.js';

/** Region of each failure domain. */
const regions: Readonly<Record<string, string>> = {'north-1': 'north', 'north-2': 'north', 'south-1': 'south'};
const domains = Object.keys(regions);
const vmsPerDomain = 2;
const serversPerDomain = 2;
/** Listening addresses of each VM, and the port of the first address of the first VM. */
const addressesPerVm = 6;
const firstPort = 20_000;
/** Time limit for all VMs to be ready, in milliseconds; six processes start on a machine that runs other tests. */
const startTimeoutMs = 30_000;
/** Time under load before the first fault, in milliseconds. */
const warmUpMs = 2000;
/** Time after the last fault in which the system recovers, in milliseconds; the platform's documentation allows 15 s. */
const recoveryMs = 15_000;
/** Time after the recovery in which callers must be served, in milliseconds. */
const recoveryCheckMs = 4000;
/** Minimum fraction of the requests sent within `recoveryCheckMs` that must be served. */
const minServedFraction = 0.95;
/** How often the lateness of timers is measured, in milliseconds. */
const lagCheckMs = 50;
/** Callers of each workspace, and the mean pause between two requests of one, in milliseconds. */
const callersPerWorkspace = 6;
const callerPauseMs = 100;

export type SoakOptions = {
	readonly seed: number;
	/** Duration of the faults, in milliseconds. */
	readonly lengthMs: number;
	/** Directory for settings and logs. */
	readonly directory: string;
};

/** The result of a run. */
export type SoakReport = {
	readonly seed: number;
	readonly faults: number;
	readonly requests: number;
	readonly served: number;
	readonly runs: number;
	readonly ownLagMs: number;
	readonly broken: readonly Violation[];
};

/** One run: starts the VMs as real processes, injects faults from outside, and checks the observations of callers and servers. */
class Soak {
	readonly #timers: TimerService = new SystemTimerService();
	readonly #store = new FakePlatformStore();
	readonly #backends = new Backends({timers: this.#timers, store: this.#store, service});
	readonly #random: () => number;
	readonly #operator: Operator;
	readonly #vms: VmProcess[] = [];
	readonly #storeRelays: TcpRelay[] = [];
	readonly #callers: Callers;
	#ownLagMs = 0;

	constructor(private readonly options: SoakOptions) {
		const generator = mersenne(options.seed);
		this.#random = () => uniformFloat64(generator);
		this.#operator = new Operator({timers: this.#timers, store: this.#store, random: this.#random});
		const vms = this.#vms;
		this.#callers = new Callers({
			timers: this.#timers,
			get targets() {
				return vms.map(vm => ({name: vm.name, address: vm.options.addresses[0]}));
			},
			host,
			keyOf: workspace => this.#operator.keyOf(workspace),
			random: this.#random,
		});
	}

	async run(): Promise<SoakReport> {
		const schedule = drawSchedule(this.options.seed, this.options.lengthMs);
		await this.#start();
		const stopLagCheck = this.#measureLag();
		for (const {workspace} of rateLimits) {
			this.#callers.add(workspace, callersPerWorkspace, callerPauseMs);
		}

		await this.#timers.sleep(warmUpMs);
		await new FaultInjector({
			timers: this.#timers, store: this.#store, storeRelays: this.#storeRelays, vms: this.#vms, backends: this.#backends, operator: this.#operator, callers: this.#callers, domains,
		}).run(schedule);
		const recoveryViolations = await this.#checkRecovery();
		await this.#callers.end();
		stopLagCheck();
		await Promise.all(this.#vms.map(async vm => vm.end()));
		await this.#backends.end();
		await Promise.all(this.#storeRelays.map(async relay => relay.close()));
		this.#store.close();
		return this.#report(schedule, recoveryViolations);
	}

	async #start(): Promise<void> {
		mkdirSync(this.options.directory, {recursive: true});
		const storeAddress = await this.#store.listen();
		this.#operator.publish();
		for (const failureDomain of domains) {
			for (let index = 0; index < serversPerDomain; index++) {
				await this.#backends.add(failureDomain);
			}
		}

		const locations = domains.flatMap(failureDomain => Array.from({length: vmsPerDomain}, (_, index) => ({failureDomain, vm: `${failureDomain}-${index + 1}`})));
		const addressesOf = (vm: number) => Array.from({length: addressesPerVm}, (_, index) => `${loopbackAddress()}:${firstPort + (vm * addressesPerVm) + index}`);
		// The seeds are the peer addresses of the first VM of each failure domain.
		for (const [index, {failureDomain, vm}] of locations.entries()) {
			const relay = await startTcpRelay(storeAddress);
			this.#storeRelays.push(relay);
			this.#vms.push(new VmProcess({
				vm, failureDomain, region: regions[failureDomain], regions, addresses: addressesOf(index), seeds: [0, 2, 4].map(seed => addressesOf(seed)[3]), storeAddress: relay.address, directory: this.options.directory,
			}, this.#timers));
		}

		for (const vm of this.#vms) {
			vm.start();
		}

		await this.#waitUntilReady(startTimeoutMs);
	}

	/** Waits until all VMs are ready; returns those that are not ready within `withinMs`. */
	async #waitUntilReady(withinMs: number): Promise<string[]> {
		const endsAtMs = this.#timers.nowMs() + withinMs;
		for (;;) {
			const states = await Promise.all(this.#vms.map(async vm => ({name: vm.name, isReady: await vm.isReady()})));
			const notReady = states.filter(({isReady}) => !isReady).map(({name}) => name);
			if (notReady.length === 0 || this.#timers.nowMs() > endsAtMs) {
				return notReady;
			}

			await this.#timers.sleep(100);
		}
	}

	/** Checks that all VMs are ready and callers are served again after the last fault. */
	async #checkRecovery(): Promise<Violation[]> {
		const atMs = this.#timers.nowMs();
		const notReady = await this.#waitUntilReady(recoveryMs);
		// By then, servers that were silent or slow are tried again, and callers no longer use withdrawn keys.
		await this.#timers.sleep(Math.max(0, atMs + recoveryMs - this.#timers.nowMs()));
		const checkFromMs = this.#timers.nowMs();
		await this.#timers.sleep(recoveryCheckMs + requestTimeLimitMs);
		const checkedRequests = this.#callers.requests.filter(({sentAtMs, workspace}) => workspace !== rateLimits[0].workspace && sentAtMs >= checkFromMs && sentAtMs < checkFromMs + recoveryCheckMs);
		const served = checkedRequests.filter(request => isServed(request)).length;
		const violations: Violation[] = notReady.map(vm => ({guarantee: 'recovery', atMs, text: `${vm} is not ready ${recoveryMs} ms after the last fault`}));
		if (served < checkedRequests.length * minServedFraction || checkedRequests.length === 0) {
			violations.push({guarantee: 'recovery', atMs: checkFromMs, text: `${served} of ${checkedRequests.length} requests were served ${recoveryMs} ms after the last fault; at least ${minServedFraction * 100} % are required`});
		}

		return violations;
	}

	#measureLag(): () => void {
		let lastMs = this.#timers.nowMs();
		return this.#timers.repeat(lagCheckMs, () => {
			const nowMs = this.#timers.nowMs();
			this.#ownLagMs = Math.max(this.#ownLagMs, nowMs - lastMs - lagCheckMs);
			lastMs = nowMs;
		});
	}

	#report(schedule: readonly PlannedFault[], recoveryViolations: readonly Violation[]): SoakReport {
		const {requests} = this.#callers;
		const observations: Observations = {
			requests,
			runs: this.#backends.runs,
			arrivals: this.#backends.arrivals,
			faultSpans: new Map(this.#vms.map(vm => [vm.name, vm.faultSpans])),
			haltedSpans: new Map(this.#vms.map(vm => [vm.name, vm.haltedSpans])),
			withdrawnAtMs: this.#operator.withdrawnAtMs,
			drainingAtMs: this.#backends.drainingAtMs,
			saidLeavingAtMs: this.#backends.saidLeavingAtMs,
			evacuations: this.#operator.evacuations,
			domainOf: this.#backends.domainOf,
			rateLimits,
			ownLagMs: this.#ownLagMs,
		};
		const processViolations: Violation[] = this.#vms.flatMap(vm => vm.problems.map(text => ({guarantee: 'process', atMs: 0, text})));
		return {
			seed: this.options.seed,
			faults: schedule.length,
			requests: requests.length,
			served: requests.filter(request => isServed(request)).length,
			runs: this.#backends.runs.length,
			ownLagMs: Math.round(this.#ownLagMs),
			broken: [...processViolations, ...recoveryViolations, ...findViolations(observations)],
		};
	}
}

/** A loopback address that only this process uses: on 127.0.0.1 another test or connection may take a free port before a VM listens there. */
function loopbackAddress(): string {
	const {pid} = process;
	return `127.${1 + (Math.floor(pid / 65_536) % 100)}.${Math.floor(pid / 256) % 256}.${pid % 256}`;
}

function isServed({status}: ObservedRequest): boolean {
	return status === 200;
}

/** Runs the soak once. */
export async function runSoak(options: SoakOptions): Promise<SoakReport> {
	return new Soak(options).run();
}
