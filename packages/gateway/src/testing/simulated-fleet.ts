import {ManualTimerService} from '@fescuewick/core';
import {type BucketReports} from '../limits/shared-token-bucket.js';
import {measureIntervalMs, WorkspaceLimiter} from '../limits/workspace-limiter.js';
import {workspace} from './fixtures.js';

/** The platform's bound: requests in a window of this length may exceed rate and burst by a tenth and a count. */
const windowMs = 5000;
const overshoot = 0.1;
const slackCount = 20;
const stepMs = 25;
const heartbeatIntervalMs = 1000;
/** Time without a heartbeat after which a peer is not alive, and after which it no longer shares the limits. */
const aliveTimeoutMs = 3500;
const shareReservationMs = 30_000;
/** Time for which an owner that did not reply is not asked. */
const suspensionMs = 1000;
/** VMs run for this time before the first request. */
const warmUpMs = 5000;
const defaultDelayMs = 25;
const defaultFullEvery = 4;
const workspaceName = 'acme';
/** Multiples of it, modulo 1, are evenly distributed; arrivals of VMs are spread by it. */
const goldenRatio = 0.618_034;

/** A time in which something is disturbed, from `fromMs` to before `untilMs`. */
type Interval = {readonly fromMs: number; readonly untilMs: number};

/** A fleet, its load and its failures; times count from the first request. */
export type FleetScenario = {
	readonly vmCount: number;
	readonly domainCount: number;
	readonly ratePerS: number;
	readonly durationMs: number;
	/** Requests per second that arrive at a VM. */
	readonly demandPerS: (vm: number, atMs: number) => number;
	/** Number of arrivals for a mean number in one step; evenly spaced by default. */
	readonly sampleCount?: (mean: number) => number;
	readonly delayMs?: number;
	/** One of this many heartbeats is a full report. */
	readonly fullEvery?: number;
	/** Failure domains that exchange no datagrams with others for some time. */
	readonly cutDomains?: ReadonlyArray<Interval & {readonly domain: number}>;
	/** VMs that neither send, receive nor reply for some time; the owner of the pool of a failure domain is named by it. */
	readonly frozen?: ReadonlyArray<Interval & {readonly vm: number | {readonly ownerOfDomain: number}}>;
	/** VMs that restart without their state. */
	readonly restarts?: ReadonlyArray<{readonly atMs: number; readonly vm: number}>;
	/** VMs that die and stay away. */
	readonly deaths?: ReadonlyArray<{readonly atMs: number; readonly vm: number | {readonly ownerOfDomain: number}}>;
	/** VMs that join at this time; their numbers follow those of the first VMs. */
	readonly added?: {readonly atMs: number; readonly count: number};
	/** Whether VMs pool their shares; true by default. */
	readonly isPooled?: boolean;
};

/** What a simulated fleet did. */
export type FleetOutcome = {
	/** Times of admitted requests. */
	readonly admitted: readonly number[];
	/** Times of refused requests. */
	readonly refused: readonly number[];
	/** Token requests to pool owners. */
	readonly askedCount: number;
	/** Reports between pool owners. */
	readonly grantReportCount: number;
	/** Most requests admitted in any window, and the bound on it. */
	readonly maxInWindow: number;
	readonly bound: number;
};

type SimulatedVm = {
	limiter: WorkspaceLimiter;
	incarnation: number;
	sequence: number;
	startedAtMs: number;
	isDead: boolean;
	pending: number;
	/** Times of the last heartbeats of the other VMs. */
	readonly heardAtMs: number[];
};
type Datagram = {readonly atMs: number; readonly from: number; readonly incarnation: number; readonly buckets: BucketReports};
/** A report between pool owners, or its confirmation. */
type GrantDatagram = {readonly atMs: number; readonly from: number; readonly to: number; readonly passed: number; readonly isConfirmation: boolean};

/** Simulates the decisions of a fleet about the rate of one workspace, without a network. */
export function simulateFleet(scenario: FleetScenario): FleetOutcome {
	return new SimulatedFleet(scenario).run();
}

class SimulatedFleet {
	readonly #timers = new ManualTimerService();
	readonly #names: readonly string[];
	readonly #numbers: ReadonlyMap<string, number>;
	readonly #vms: SimulatedVm[];
	readonly #admitted: number[] = [];
	readonly #refused: number[] = [];
	/** VMs that were the owner of a pool when a failure began. */
	readonly #failedOwners = new Map<object, number>();
	#heartbeats: Datagram[] = [];
	#grantDatagrams: GrantDatagram[] = [];
	#frozen: readonly boolean[] = [];
	#nowMs = -warmUpMs;
	#starts = 0;
	#askedCount = 0;
	#grantReportCount = 0;

	constructor(private readonly scenario: FleetScenario) {
		this.#names = Array.from({length: scenario.vmCount + (scenario.added?.count ?? 0)}, (_, vm) => `vm-${vm}`);
		this.#numbers = new Map(this.#names.map((name, vm) => [name, vm]));
		this.#vms = this.#names.slice(0, scenario.vmCount).map((_, vm) => this.#start(vm));
	}

	run(): FleetOutcome {
		const {durationMs, ratePerS} = this.scenario;
		for (; this.#nowMs < durationMs; this.#nowMs += stepMs) {
			this.#timers.pause(stepMs);
			this.#applyFailures();
			this.#sendHeartbeats();
			this.#deliverHeartbeats();
			this.#deliverGrantDatagrams();
			this.#handleRequests();
		}

		return {
			admitted: this.#admitted, refused: this.#refused, askedCount: this.#askedCount, grantReportCount: this.#grantReportCount, maxInWindow: maxInWindow(this.#admitted), bound: (((ratePerS * windowMs / 1000) + ratePerS) * (1 + overshoot)) + slackCount,
		};
	}

	#start(vm: number): SimulatedVm {
		const {ratePerS} = this.scenario;
		const limiter = new WorkspaceLimiter(this.#names[vm], this.#timers, () => ({overshoot, slackCount, windowMs}));
		limiter.configure([workspace(workspaceName, {ratePerS, burst: ratePerS})]);
		this.#starts++;
		return {
			limiter, incarnation: this.#starts, sequence: vm, startedAtMs: this.#nowMs, isDead: false, pending: (vm * goldenRatio) % 1, heardAtMs: this.#names.map(() => this.#nowMs),
		};
	}

	#applyFailures(): void {
		const {vmCount, added, restarts = [], deaths = [], frozen = []} = this.scenario;
		if (added?.atMs === this.#nowMs) {
			for (let vm = vmCount; vm < this.#names.length; vm++) {
				this.#vms.push(this.#start(vm));
				for (const {heardAtMs} of this.#vms) {
					heardAtMs[vm] = this.#nowMs;
				}
			}
		}

		for (const {atMs, vm} of restarts) {
			if (atMs === this.#nowMs) {
				this.#vms[vm] = this.#start(vm);
			}
		}

		for (const death of deaths) {
			if (death.atMs === this.#nowMs) {
				this.#vms[this.#targetOf(death)].isDead = true;
			}
		}

		const frozenNow = new Set(frozen.filter(interval => this.#isWithin(interval)).map(interval => this.#targetOf(interval)));
		this.#frozen = this.#vms.map(({isDead}, vm) => isDead || frozenNow.has(vm));
	}

	#sendHeartbeats(): void {
		const {delayMs = defaultDelayMs, fullEvery = defaultFullEvery} = this.scenario;
		for (const [vm, state] of this.#vms.entries()) {
			if (this.#frozen[vm]) {
				continue;
			}

			if (this.#nowMs % measureIntervalMs === 0) {
				this.#update(vm);
			}

			// Heartbeats of VMs are spread over the interval.
			if ((this.#nowMs + warmUpMs + (vm * 7 * stepMs)) % heartbeatIntervalMs === 0) {
				state.sequence++;
				this.#heartbeats.push({
					atMs: this.#nowMs + delayMs, from: vm, incarnation: state.incarnation, buckets: state.limiter.reports(state.sequence % fullEvery === 0),
				});
			}
		}
	}

	#update(vm: number): void {
		const {limiter, heardAtMs} = this.#vms[vm];
		const {domainCount, delayMs = defaultDelayMs, isPooled = true} = this.scenario;
		const sharers = new Set<string>([this.#names[vm]]);
		const alive = [this.#names[vm]];
		const elsewhere: string[][] = Array.from({length: domainCount}, () => []);
		for (let other = 0; other < this.#vms.length; other++) {
			const silentMs = this.#nowMs - heardAtMs[other];
			if (other !== vm && silentMs <= shareReservationMs) {
				sharers.add(this.#names[other]);
				if (silentMs <= aliveTimeoutMs) {
					(this.#domainOf(other) === this.#domainOf(vm) ? alive : elsewhere[this.#domainOf(other)]).push(this.#names[other]);
				}
			}
		}

		if (!isPooled) {
			limiter.update(sharers);
			return;
		}

		alive.sort();
		limiter.update(sharers, {alive, ready: alive, readyElsewhere: elsewhere});
		for (const {passed, owners} of limiter.startGrantReports()) {
			for (const owner of owners) {
				this.#grantReportCount++;
				this.#grantDatagrams.push({
					atMs: this.#nowMs + delayMs, from: vm, to: this.#numbers.get(owner)!, passed, isConfirmation: false,
				});
			}
		}
	}

	#deliverHeartbeats(): void {
		const due = this.#heartbeats.filter(({atMs}) => atMs <= this.#nowMs);
		this.#heartbeats = this.#heartbeats.filter(({atMs}) => atMs > this.#nowMs);
		for (const {from, incarnation, buckets} of due) {
			for (const [vm, state] of this.#vms.entries()) {
				if (vm !== from && this.#mayDeliver(from, vm)) {
					state.limiter.applyReports(this.#names[from], incarnation, buckets);
					state.heardAtMs[from] = this.#nowMs;
				}
			}
		}
	}

	#deliverGrantDatagrams(): void {
		const {delayMs = defaultDelayMs} = this.scenario;
		const due = this.#grantDatagrams.filter(({atMs}) => atMs <= this.#nowMs);
		this.#grantDatagrams = this.#grantDatagrams.filter(({atMs}) => atMs > this.#nowMs);
		for (const {from, to, passed, isConfirmation} of due) {
			const {limiter} = this.#vms[to];
			if (!this.#mayDeliver(from, to)) {
				continue;
			}

			if (isConfirmation) {
				limiter.confirmGrantReport(this.#names[from], workspaceName, passed);
			} else if (limiter.applyGrantReport(this.#names[from], this.#vms[from].incarnation, workspaceName, passed)) {
				this.#grantDatagrams.push({
					atMs: this.#nowMs + delayMs, from: to, to: from, passed, isConfirmation: true,
				});
			}
		}
	}

	#handleRequests(): void {
		const {demandPerS, sampleCount = mean => mean} = this.scenario;
		for (const [vm, state] of this.#vms.entries()) {
			const isStarting = this.#nowMs - state.startedAtMs < heartbeatIntervalMs;
			if (this.#nowMs < 0 || this.#frozen[vm] || isStarting) {
				continue;
			}

			state.pending += sampleCount(demandPerS(vm, this.#nowMs) * stepMs / 1000);
			for (; state.pending >= 1; state.pending--) {
				(this.#admits(state.limiter) ? this.#admitted : this.#refused).push(this.#nowMs);
			}
		}
	}

	/** Decides on a request as the request handler does; a round trip to a pool's owner takes no time here. */
	#admits(limiter: WorkspaceLimiter): boolean {
		if (limiter.take(workspaceName) === 0) {
			return true;
		}

		const owner = limiter.poolOwnerToAsk(workspaceName);
		if (owner === undefined) {
			return false;
		}

		this.#askedCount++;
		const ownerVm = this.#numbers.get(owner)!;
		if (this.#frozen[ownerVm]) {
			limiter.pools.suspend(owner, this.#timers.nowMs() + suspensionMs);
			return limiter.retryTake(workspaceName);
		}

		const isGranted = this.#vms[ownerVm].limiter.grant(workspaceName);
		if (isGranted) {
			limiter.recordBorrowed(workspaceName);
		}

		return isGranted;
	}

	/** The VM that a failure concerns; an owner is the one of the time at which the failure begins. */
	#targetOf(failure: {readonly vm: number | {readonly ownerOfDomain: number}}): number {
		if (typeof failure.vm === 'number') {
			return failure.vm;
		}

		let target = this.#failedOwners.get(failure);
		if (target === undefined) {
			const {ownerOfDomain} = failure.vm;
			const member = this.#vms.findIndex(({isDead}, vm) => this.#domainOf(vm) === ownerOfDomain && !isDead);
			target = this.#numbers.get(this.#vms[member].limiter.pools.ownerOf(workspaceName) ?? this.#names[member])!;
			this.#failedOwners.set(failure, target);
		}

		return target;
	}

	#mayDeliver(from: number, to: number): boolean {
		return !this.#frozen[to] && (this.#domainOf(from) === this.#domainOf(to) || (!this.#isCutOff(from) && !this.#isCutOff(to)));
	}

	#isCutOff(vm: number): boolean {
		return (this.scenario.cutDomains ?? []).some(cut => this.#isWithin(cut) && cut.domain === this.#domainOf(vm));
	}

	#isWithin({fromMs, untilMs}: Interval): boolean {
		return this.#nowMs >= fromMs && this.#nowMs < untilMs;
	}

	#domainOf(vm: number): number {
		return vm % this.scenario.domainCount;
	}
}

/** Most times within any window of the bound. */
function maxInWindow(timesMs: readonly number[]): number {
	let max = 0;
	let first = 0;
	for (const [index, atMs] of timesMs.entries()) {
		while (timesMs[first] <= atMs - windowMs) {
			first++;
		}

		max = Math.max(max, index - first + 1);
	}

	return max;
}
