import {nextState, type Chart} from '@fescuewick/core';
import {type ConnectionSet} from '@fescuewick/entry/http';
import {SecondWindow} from '../limits/cold-allowance.js';
import {BackendState, type BackendRecord} from '../model/records.js';
import {type KnownBackend} from '../state/fleet-state.js';
import chart from './backend-health.chart.json' with {type: 'json'};
import {OthersLoad} from './others-load.js';

/** Events of the chart of a backend server's health. */
export enum HealthEvent {
	/** A connection could not be opened, or a probe failed. */
	unreachable = 'unreachable',
	/** Another server has its address. */
	misdirected = 'misdirected',
	probeSucceeded = 'probeSucceeded',
	/** It registered again. */
	restarted = 'restarted',
}

/** States of the chart of a backend server's health. */
export enum HealthState {
	healthy = 'healthy',
	down = 'down',
	replaced = 'replaced',
}

/** Load as a backend server reported it with an answer. */
export type ReportedLoad = {readonly running: number; readonly waiting: number};

const healthChart = chart as Chart;
/** Time over which failures are weighed, in milliseconds. */
const outcomeWindowMs = 3000;
/** From this many outcomes on a failure rate says something. */
const minOutcomes = 4;
/** Failure rate from which a server is used last. */
const avoidedFailureRate = 0.25;
/** Ratio of its latency to that of all servers from which a server is used last; a cold cache alone stays below it on average. */
const avoidedSlowness = 2.5;
/** Weight of a new latency ratio. */
const slownessWeight = 0.25;
/** Without answers for this time, a slow server is tried again, in milliseconds. */
const slownessMemoryMs = 2500;
/** How long a server that rejected a request counts as full, in milliseconds. */
const shedPauseMs = 150;

/** A backend server as this VM sees it: entry, load, health and connections. */
export class Backend {
	inFlight = 0;
	/** Requests sent while it was cold, in the last second. */
	readonly coldSent = new SecondWindow();
	#known: KnownBackend;
	#health = HealthState.healthy;
	#coldUntilMs = 0;
	readonly #others = new OthersLoad();
	#shedUntilMs = 0;
	#outcomes: Array<{atMs: number; isFailure: boolean}> = [];
	#slowness = 1;
	#slownessCount = 0;
	#slownessAtMs = 0;

	constructor(known: KnownBackend, readonly region: string, readonly connections: ConnectionSet) {
		this.#known = known;
		this.coldFor(known.record.coldForMs, known.seenAtMs);
	}

	get id(): string {
		return this.#known.record.id;
	}

	get record(): BackendRecord {
		return this.#known.record;
	}

	get health(): HealthState {
		return this.#health;
	}

	get slots(): number {
		return this.#known.record.slots;
	}

	/** Whether new requests may be sent to it. */
	get isUsable(): boolean {
		return this.#health === HealthState.healthy && this.#known.record.state === BackendState.ready;
	}

	/** Whether it registered, but cannot be used until a probe succeeds. */
	get needsProbe(): boolean {
		return this.#health === HealthState.down && this.#known.record.state === BackendState.ready;
	}

	/** Takes over a changed entry. */
	update(known: KnownBackend): void {
		const isRestart = known.record.startedAtMs !== this.#known.record.startedAtMs;
		if (isRestart) {
			this.send(HealthEvent.restarted);
			this.#outcomes = [];
			this.#slownessCount = 0;
			this.#others.reset();
		}

		if (known.record !== this.#known.record) {
			this.coldFor(known.record.coldForMs, known.seenAtMs);
		}

		this.#known = known;
	}

	/** Sends an event to the health chart; returns whether the state changed. */
	send(event: HealthEvent): boolean {
		const next = nextState(healthChart, this.#health, event) as HealthState | undefined;
		if (next === undefined || next === this.#health) {
			return false;
		}

		this.#health = next;
		return true;
	}

	/** Treats it as cold for at least `durationMs` from `fromMs`. */
	coldFor(durationMs: number, fromMs: number): void {
		if (durationMs > 0) {
			this.#coldUntilMs = Math.max(this.#coldUntilMs, fromMs + durationMs);
		}
	}

	isCold(nowMs: number): boolean {
		return nowMs < this.#coldUntilMs;
	}

	/** Requests believed to be at the server: this VM's, and those of the others among the `sharers` VMs by its last report. */
	load(nowMs: number, sharers: () => number): number {
		if (nowMs < this.#shedUntilMs) {
			return Math.max(this.inFlight, this.slots);
		}

		return this.inFlight + this.#others.estimate(nowMs, {inFlight: this.inFlight, sharers});
	}

	/** Takes in the load that came with an answer; called after the answered request left `inFlight`. */
	report({running, waiting}: ReportedLoad, nowMs: number): void {
		this.#others.report(Math.max(0, running + waiting - this.inFlight - 1), nowMs);
	}

	/** It rejected a request without running it. */
	shed(nowMs: number): void {
		this.#shedUntilMs = nowMs + shedPauseMs;
	}

	/** Takes in how a request ended; `slowness` is its latency relative to the usual one of its route. */
	outcome(isFailure: boolean, slowness: number | undefined, nowMs: number): void {
		this.#outcomes.push({atMs: nowMs, isFailure});
		if (slowness !== undefined) {
			if (nowMs - this.#slownessAtMs > slownessMemoryMs) {
				this.#slowness = 1;
				this.#slownessCount = 0;
			}

			this.#slowness += (slowness - this.#slowness) * slownessWeight;
			this.#slownessCount++;
			this.#slownessAtMs = nowMs;
		}
	}

	/** Whether it fails or delays so many requests that others should be used first. */
	isAvoided(nowMs: number): boolean {
		if (this.#slownessCount >= minOutcomes && this.#slowness > avoidedSlowness && nowMs - this.#slownessAtMs <= slownessMemoryMs) {
			return true;
		}

		if (this.#outcomes.length > 0 && this.#outcomes[0].atMs <= nowMs - outcomeWindowMs) {
			this.#outcomes = this.#outcomes.filter(({atMs}) => atMs > nowMs - outcomeWindowMs);
		}

		const failures = this.#outcomes.filter(({isFailure}) => isFailure).length;
		return this.#outcomes.length >= minOutcomes && failures / this.#outcomes.length > avoidedFailureRate;
	}
}
