import {type TimerService} from '@fescuewick/core';
import {type BackendRecord} from '@fescuewick/wire';
import {ConnectionPool} from './connections.js';

/** Duration of the slow start of a new or returning server. */
export const slowStartMs = 10_000;
const minSlowStartFraction = 0.1;
const failuresToEject = 3;
const firstEjectionMs = 1000;
const maxEjectionMs = 30_000;
const smoothingFactor = 0.1;
const latencyDecayMs = 10_000;
/** Value of the latency average before the first answer. */
const initialLatencyMs = 10;

/** Granted connections that are reserved for the health probe of a server. */
const probeConnections = 1;

/** Options of a backend server; `limit` returns its granted connections. */
export type BackendOptions = {readonly cold: boolean; readonly connectTimeoutMs: number; readonly limit: (server: string) => number; readonly onCapacityFreed: () => void; readonly awaitProbe: boolean};

/** Connections and observed state of one backend server. */
export class Backend {
	inFlight = 0;
	/** Exponentially weighted moving average of the latency of answers. */
	latencyMs = initialLatencyMs;
	readonly connections: ConnectionPool;
	#observedAtMs: number;
	/** Weight of the initial latency in `latencyMs`; falls from 1 towards 0 with each recorded latency. */
	#initialLatencyWeight = 1;
	#consecutiveFailures = 0;
	#ejections = 0;
	#ejectedUntilMs = Number.NEGATIVE_INFINITY;
	#slowStartAtMs: number;
	/** Whether the server itself announced its shutdown. */
	#draining = false;
	#probeFailed = false;
	#awaitsProbe: boolean;

	constructor(public record: BackendRecord, private readonly timers: TimerService, options: BackendOptions) {
		this.#observedAtMs = timers.nowMs();
		this.#awaitsProbe = options.awaitProbe;
		this.#slowStartAtMs = options.cold ? timers.nowMs() : Number.NEGATIVE_INFINITY;
		this.connections = new ConnectionPool(`http://${record.address}`, {
			timers, connectTimeoutMs: options.connectTimeoutMs, limit: () => Math.max(0, options.limit(record.server) - probeConnections), onCapacityFreed: options.onCapacityFreed,
		});
	}

	get name(): string {
		return this.record.server;
	}

	/** Whether the server gets no new requests, because of the platform's list, its own announcement or a failed probe. */
	get leaving(): boolean {
		return this.record.leaving || this.#draining || this.#probeFailed;
	}

	/** Whether the first probe has not ended yet. */
	get awaitsProbe(): boolean {
		return this.#awaitsProbe;
	}

	get ejected(): boolean {
		return this.timers.nowMs() < this.#ejectedUntilMs;
	}

	get slowStarting(): boolean {
		return this.timers.nowMs() < this.#slowStartAtMs + slowStartMs;
	}

	/** Number of the `granted` slots that slow start allows; at least one if any is granted. */
	usableSlots(granted: number): number {
		const slowStartFraction = Math.min(1, Math.max(minSlowStartFraction, (this.timers.nowMs() - this.#slowStartAtMs) / slowStartMs));
		return granted === 0 ? 0 : Math.max(1, Math.floor(granted * slowStartFraction));
	}

	/** `latencyMs` without the contribution of the initial latency; undefined until the first answer. */
	get measuredLatencyMs(): number | undefined {
		return this.#initialLatencyWeight === 1 ? undefined : (this.latencyMs - (initialLatencyMs * this.#initialLatencyWeight)) / (1 - this.#initialLatencyWeight);
	}

	/** In-flight requests weighted by latency, per usable slot; lower is better. `granted` is the number of granted slots. */
	score(granted: number): number {
		// The latency of a server without requests is not updated; it decays in the score, so that the server is selected again.
		const unobservedMs = Math.max(0, this.timers.nowMs() - this.#observedAtMs);
		const latencyMs = this.latencyMs * Math.exp(-unobservedMs / latencyDecayMs);
		return (this.inFlight + 1) * latencyMs / Math.max(1, this.usableSlots(granted));
	}

	/** Records a complete answer. */
	observeSuccess(latencyMs: number): void {
		this.#updateLatency(latencyMs);
		this.#observedAtMs = this.timers.nowMs();
		this.#consecutiveFailures = 0;
		this.#ejections = 0;
	}

	/** Records a cancelled attempt, whose latency would have been at least `latencyMs`. */
	observeMinLatency(latencyMs: number): void {
		if (latencyMs > this.latencyMs) {
			this.#updateLatency(latencyMs);
		}

		this.#observedAtMs = this.timers.nowMs();
	}

	/** Records a failure; returns whether the server should be ejected. */
	observeFailure(): boolean {
		return ++this.#consecutiveFailures >= failuresToEject;
	}

	/** Ejects the server for a time that doubles with each ejection; returns that time in milliseconds. */
	eject(): number {
		const durationMs = Math.min(maxEjectionMs, firstEjectionMs * (2 ** this.#ejections));
		this.#ejections++;
		this.#consecutiveFailures = 0;
		this.#ejectedUntilMs = this.timers.nowMs() + durationMs;
		this.#slowStartAtMs = this.#ejectedUntilMs;
		return durationMs;
	}

	/** Records whether the server announces its shutdown; returns whether `leaving` changed. */
	observeDraining(draining: boolean): boolean {
		return this.#applyChange(() => {
			this.#draining = draining;
		});
	}

	/** Records the result of a probe; returns whether `leaving` changed. */
	observeProbe(reachable: boolean): boolean {
		return this.#applyChange(() => {
			this.#awaitsProbe = false;
			this.#probeFailed = !reachable;
		});
	}

	/** Replaces the platform's record of the server; returns whether `leaving` changed. */
	observeRecord(record: BackendRecord): boolean {
		return this.#applyChange(() => {
			this.record = record;
		});
	}

	#updateLatency(latencyMs: number): void {
		this.latencyMs += smoothingFactor * (latencyMs - this.latencyMs);
		this.#initialLatencyWeight *= 1 - smoothingFactor;
	}

	#applyChange(change: () => void): boolean {
		const before = this.leaving;
		change();
		if (before && !this.leaving) {
			this.#slowStartAtMs = this.timers.nowMs();
			this.#consecutiveFailures = 0;
		}

		return before !== this.leaving;
	}
}
