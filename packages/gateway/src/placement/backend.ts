import {nextState, type Chart} from '@fescuewick/core';
import {type ConnectionPool} from '@fescuewick/entry/http';
import {OneSecondCounter} from '../limits/cold-allowance.js';
import {LimitAllowance, type LimitShare} from '../limits/server-limit.js';
import {BackendState, type BackendRecord} from '../model/records.js';
import {type KnownBackend} from '../state/fleet-state.js';
import chart from './backend-condition.chart.json' with {type: 'json'};
import {PeerLoadEstimator} from './peer-load-estimator.js';
import {limitTtlMs, type ServerLimit, type ServerStart} from './server-statements.js';

/** Events that change the condition of a backend server. */
export enum ConditionEvent {
	/** A connection could not be opened, or a probe failed. */
	unreachable = 'unreachable',
	/** Another server answered at its address. */
	misdirected = 'misdirected',
	probeSucceeded = 'probeSucceeded',
	/** It registered again after a restart. */
	restarted = 'restarted',
	/** It said that it is leaving. */
	saidLeaving = 'saidLeaving',
	/** It asked for a pause. */
	pauseAsked = 'pauseAsked',
	pauseEnded = 'pauseEnded',
}

/** Condition of a backend server as this VM knows it. The first five are states of the chart; a ready server may besides be cold or grey, by measurement. */
export enum Condition {
	ready = 'ready',
	/** It wants no requests from this VM for some time. */
	pausing = 'pausing',
	/** It cannot be reached; a probe must succeed before it is used. */
	down = 'down',
	/** It wants no new requests and will end. */
	leaving = 'leaving',
	/** Another server answers at its address. */
	replaced = 'replaced',
	/** It tolerates only a limited rate of requests, as after its start. */
	cold = 'cold',
	/** It names a limit on the requests that it takes from all VMs. */
	limited = 'limited',
	/** It answers, but so slowly or with so many failures that others are preferred. */
	grey = 'grey',
}

/** Running and queued requests that a backend server reported with an answer. */
export type ReportedLoad = {
	readonly running: number;
	readonly waiting: number;
	/** Duration of work there at this moment, as a multiple of the usual one; undefined if the server does not report it. */
	readonly slowness?: number;
};

const conditionChart = chart as Chart;
/** Window of the failure rate. */
const outcomeWindowMs = 3000;
/** Minimum number of samples before a server is deprioritized. */
const minSamples = 4;
/** Failure rate above which a server is deprioritized. */
const maxFailureRate = 0.25;
/** Moving average of the latency ratio above which a server is deprioritized; with a cold cache alone the average stays below it. */
const maxLatencyRatio = 2.5;
/** Weight of a new sample in the moving average of the latency ratio. */
const latencyRatioWeight = 0.25;
/** A slow server is tried again when its last latency sample is older than this. */
const latencyRatioTtlMs = 2500;
/** Least slots of a server with a limit; keeps ratios of requests to slots finite. */
const minUsableSlots = 0.1;
/** How long a reported slowness holds; servers on shared machines change theirs about as often. */
const slownessTtlMs = 600;
/** How long a server counts as full after it shed a request. */
const shedBackoffMs = 150;

/** This VM's view of a backend server: its record, load, health and connections. */
export class Backend {
	inFlight = 0;
	/** Requests sent to it in the last second while it was cold. */
	readonly coldRequests = new OneSecondCounter();
	#limit: ServerLimit | undefined;
	#limitAllowance: LimitAllowance | undefined;
	#known: KnownBackend;
	#state = Condition.ready;
	#pausedUntilMs = Number.NEGATIVE_INFINITY;
	#coldUntilMs = 0;
	readonly #peerLoad = new PeerLoadEstimator();
	#fullUntilMs = 0;
	#slowness: number | undefined;
	#slownessAtMs = 0;
	/** Outcomes within the window, oldest first, and the number of failures among them. */
	#outcomes: Array<{atMs: number; isFailure: boolean}> = [];
	#failureCount = 0;
	#latencyRatio = 1;
	#latencyRatioCount = 0;
	#latencyRatioAtMs = 0;

	constructor(known: KnownBackend, readonly region: string, readonly connections: ConnectionPool) {
		this.#known = known;
		this.markCold(known.record.coldForMs, known.receivedAtMs);
	}

	get id(): string {
		return this.#known.record.id;
	}

	get record(): BackendRecord {
		return this.#known.record;
	}

	/** Its present start. */
	get start(): ServerStart {
		const {id, startedAtMs} = this.#known.record;
		return {id, startedAtMs};
	}

	/** End of the pause that it asked for last. */
	get pausedUntilMs(): number {
		return this.#pausedUntilMs;
	}

	/** The one condition that decides how it is used. */
	condition(nowMs: number): Condition {
		if (this.#state !== Condition.ready) {
			return this.#state;
		}

		if (this.#known.record.state === BackendState.draining) {
			return Condition.leaving;
		}

		if (this.isCold(nowMs)) {
			return Condition.cold;
		}

		if (this.limitPerS(nowMs) !== undefined) {
			return Condition.limited;
		}

		return this.isDeprioritized(nowMs) ? Condition.grey : Condition.ready;
	}

	get slots(): number {
		return this.#known.record.slots;
	}

	/** Whether new requests may be sent to it. */
	get isUsable(): boolean {
		return this.#state === Condition.ready && this.#known.record.state === BackendState.ready;
	}

	/** Whether it is registered as ready but down, so that a probe must succeed before it is used; during a pause it gets no probes either. */
	needsProbe(nowMs: number): boolean {
		return this.#state === Condition.down && this.#known.record.state === BackendState.ready && nowMs >= this.#pausedUntilMs;
	}

	/** Whether it is registered as ready and only asks for a pause. */
	get isPausing(): boolean {
		return this.#state === Condition.pausing && this.#known.record.state === BackendState.ready;
	}

	/** Applies a changed record. */
	update(known: KnownBackend): void {
		const isRestart = known.record.startedAtMs !== this.#known.record.startedAtMs;
		if (isRestart) {
			this.apply(ConditionEvent.restarted);
			this.#pausedUntilMs = Number.NEGATIVE_INFINITY;
			this.#outcomes = [];
			this.#failureCount = 0;
			this.#latencyRatioCount = 0;
			this.#peerLoad.reset();
			this.#slowness = undefined;
		}

		if (known.record !== this.#known.record) {
			this.markCold(known.record.coldForMs, known.receivedAtMs);
		}

		this.#known = known;
	}

	/** Applies an event; returns whether its state changed. */
	apply(event: ConditionEvent): boolean {
		const next = nextState(conditionChart, this.#state, event) as Condition | undefined;
		if (next === undefined || next === this.#state) {
			return false;
		}

		this.#state = next;
		return true;
	}

	/** Takes no requests until a time. */
	pause(untilMs: number): void {
		this.#pausedUntilMs = Math.max(this.#pausedUntilMs, untilMs);
		this.apply(ConditionEvent.pauseAsked);
	}

	/** Ends the pause until a given time, unless it was extended meanwhile. */
	endPause(untilMs: number): void {
		if (untilMs === this.#pausedUntilMs) {
			this.apply(ConditionEvent.pauseEnded);
		}
	}

	/** Marks it as cold for at least `durationMs` from `fromMs`. */
	markCold(durationMs: number, fromMs: number): void {
		if (durationMs > 0) {
			this.#coldUntilMs = Math.max(this.#coldUntilMs, fromMs + durationMs);
		}
	}

	isCold(nowMs: number): boolean {
		return nowMs < this.#coldUntilMs;
	}

	/** Applies the limit that it named; undefined if it has none. */
	setLimit(limit: ServerLimit | undefined, nowMs: number): void {
		this.#limit = limit;
		this.#limitAllowance = limit === undefined ? undefined : this.#limitAllowance ?? new LimitAllowance(nowMs);
	}

	/** Requests a second that it takes from all VMs together; undefined without a limit, or if none was named for a while. */
	limitPerS(nowMs: number): number | undefined {
		return this.#limit !== undefined && nowMs - this.#limit.confirmedAtMs < limitTtlMs ? this.#limit.perS : undefined;
	}

	/** Time until its limit lets this VM send a request, in milliseconds; 0 without a limit. `shareOf` returns this VM's part of a limit. */
	limitWaitMs(nowMs: number, shareOf: (limitPerS: number) => LimitShare): number {
		const limitPerS = this.limitPerS(nowMs);
		return limitPerS === undefined ? 0 : this.#limitAllowance!.waitMs(nowMs, shareOf(limitPerS));
	}

	/** Requests that it can run at once if each takes `serviceMs`: its slots, or fewer if its limit keeps it from filling them. */
	usableSlots(nowMs: number, serviceMs: number): number {
		const limitPerS = this.limitPerS(nowMs);
		return limitPerS === undefined ? this.slots : Math.min(this.slots, Math.max(minUsableSlots, limitPerS * serviceMs / 1000));
	}

	/** Counts a request that is sent to it against the limits that it has now. */
	recordSent(nowMs: number): void {
		if (this.isCold(nowMs)) {
			this.coldRequests.add(nowMs);
		}

		if (this.limitPerS(nowMs) !== undefined) {
			this.#limitAllowance!.take();
		}
	}

	/** Estimated requests at the server: those of this VM, and those of other VMs as estimated from its reports. `senderCount` returns the number of VMs that send to it. */
	load(nowMs: number, senderCount: () => number): number {
		if (nowMs < this.#fullUntilMs) {
			return Math.max(this.inFlight, this.slots);
		}

		return this.inFlight + this.#peerLoad.estimate(nowMs, {inFlight: this.inFlight, senderCount});
	}

	/** Records the load reported with an answer; call it after removing the answered request from `inFlight`. */
	recordLoad({running, waiting, slowness}: ReportedLoad, nowMs: number): void {
		this.#peerLoad.report(Math.max(0, running + waiting - this.inFlight - 1), nowMs);
		this.#slowness = slowness;
		this.#slownessAtMs = nowMs;
	}

	/** Whether its last report said how slow its machine is. */
	get reportsSlowness(): boolean {
		return this.#slowness !== undefined;
	}

	/** Expected duration of work there as a multiple of the usual one, from its last report; the report counts less with its age. Undefined without a report that still holds. */
	slowness(nowMs: number): number | undefined {
		const ageMs = nowMs - this.#slownessAtMs;
		return this.#slowness === undefined || ageMs >= slownessTtlMs ? undefined : 1 + ((this.#slowness - 1) * (1 - (ageMs / slownessTtlMs)));
	}

	/** Records that the server rejected a request without running it. */
	recordShed(nowMs: number): void {
		this.#fullUntilMs = nowMs + shedBackoffMs;
	}

	/** Records how a request ended; `latencyRatio` is its latency divided by the typical latency of its route over all servers. */
	recordOutcome(isFailure: boolean, latencyRatio: number | undefined, nowMs: number): void {
		this.#forgetOldOutcomes(nowMs);
		this.#outcomes.push({atMs: nowMs, isFailure});
		this.#failureCount += isFailure ? 1 : 0;
		if (latencyRatio !== undefined) {
			if (nowMs - this.#latencyRatioAtMs > latencyRatioTtlMs) {
				this.#latencyRatio = 1;
				this.#latencyRatioCount = 0;
			}

			this.#latencyRatio += (latencyRatio - this.#latencyRatio) * latencyRatioWeight;
			this.#latencyRatioCount++;
			this.#latencyRatioAtMs = nowMs;
		}
	}

	/** Whether its failure rate or latency is so high that other servers are preferred. */
	isDeprioritized(nowMs: number): boolean {
		if (this.#latencyRatioCount >= minSamples && this.#latencyRatio > maxLatencyRatio && nowMs - this.#latencyRatioAtMs <= latencyRatioTtlMs) {
			return true;
		}

		// Most servers fail no request, and placing asks for each of them.
		if (this.#failureCount === 0) {
			return false;
		}

		this.#forgetOldOutcomes(nowMs);
		return this.#outcomes.length >= minSamples && this.#failureCount / this.#outcomes.length > maxFailureRate;
	}

	/** Forgets the outcomes that have left the window. */
	#forgetOldOutcomes(nowMs: number): void {
		if (this.#outcomes.length === 0 || this.#outcomes[0].atMs > nowMs - outcomeWindowMs) {
			return;
		}

		this.#outcomes = this.#outcomes.filter(({atMs}) => atMs > nowMs - outcomeWindowMs);
		this.#failureCount = this.#outcomes.filter(({isFailure}) => isFailure).length;
	}
}
