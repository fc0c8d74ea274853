import {type TimerService} from '@fescuewick/core';
import {type BackendRecord} from '@fescuewick/wire';
import {ConnectionSet} from './connections.js';

/** A cold or returning server reaches its full share after this time. */
export const rampMs = 10_000;
const minRampFraction = 0.1;
const failuresToEject = 3;
const firstEjectionMs = 1000;
const maxEjectionMs = 30_000;
const smoothingFactor = 0.1;
const latencyDecayMs = 10_000;
/** Assumed until the first answers, in milliseconds. */
const initialLatencyMs = 10;

/** Connections that the probe of a server uses. */
const probeConnections = 1;

/** What a backend server needs; `limit` gives its granted connections. */
export type BackendOptions = {readonly cold: boolean; readonly connectMs: number; readonly limit: (server: string) => number; readonly onCapacityFreed: () => void; readonly awaitProbe: boolean};

/** What the daemon observed of one backend server, and its connections. */
export class Backend {
	inFlight = 0;
	/** Latency of recent answers, exponentially smoothed. */
	latencyMs = initialLatencyMs;
	readonly connections: ConnectionSet;
	#observedAtMs: number;
	/** Part of `latencyMs` that is still the assumed latency. */
	#assumedFraction = 1;
	#consecutiveFailures = 0;
	#ejections = 0;
	#ejectedUntilMs = Number.NEGATIVE_INFINITY;
	#rampStartMs: number;
	/** The server itself announced that it is leaving. */
	#draining = false;
	#probeFailed = false;
	#awaitsProbe: boolean;

	constructor(public record: BackendRecord, private readonly timers: TimerService, options: BackendOptions) {
		this.#observedAtMs = timers.nowMs();
		this.#awaitsProbe = options.awaitProbe;
		this.#rampStartMs = options.cold ? timers.nowMs() : Number.NEGATIVE_INFINITY;
		this.connections = new ConnectionSet(`http://${record.address}`, {
			timers, connectMs: options.connectMs, limit: () => Math.max(0, options.limit(record.server) - probeConnections), onRoom: options.onCapacityFreed,
		});
	}

	get name(): string {
		return this.record.server;
	}

	/** Whether the server gets no new work, by whichever signal came first. */
	get leaving(): boolean {
		return this.record.leaving || this.#draining || this.#probeFailed;
	}

	/** Whether nothing is known yet of what the server says about itself. */
	get awaitsProbe(): boolean {
		return this.#awaitsProbe;
	}

	get ejected(): boolean {
		return this.timers.nowMs() < this.#ejectedUntilMs;
	}

	get ramping(): boolean {
		return this.timers.nowMs() < this.#rampStartMs + rampMs;
	}

	/** The part of `granted` slots that a cold server takes; at least one while any is granted. */
	usableSlots(granted: number): number {
		const rampFraction = Math.min(1, Math.max(minRampFraction, (this.timers.nowMs() - this.#rampStartMs) / rampMs));
		return granted === 0 ? 0 : Math.max(1, Math.floor(granted * rampFraction));
	}

	/** Smoothed latency of the answers alone, without the assumed one; undefined until the first answer. */
	get measuredLatencyMs(): number | undefined {
		return this.#assumedFraction === 1 ? undefined : (this.latencyMs - (initialLatencyMs * this.#assumedFraction)) / (1 - this.#assumedFraction);
	}

	/** Lower is better; `granted` is the number of granted slots. */
	score(granted: number): number {
		// The latency of a server that gets no requests is not observed; it is forgotten so that the server is tried again.
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

	/** Records an answer that was not waited for any longer. */
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

	/** Keeps new work away for a time that doubles with each ejection; returns its length. */
	eject(): number {
		const durationMs = Math.min(maxEjectionMs, firstEjectionMs * (2 ** this.#ejections));
		this.#ejections++;
		this.#consecutiveFailures = 0;
		this.#ejectedUntilMs = this.timers.nowMs() + durationMs;
		this.#rampStartMs = this.#ejectedUntilMs;
		return durationMs;
	}

	/** Takes over what the server's answers say about its shutdown; returns whether that changed. */
	observeDraining(draining: boolean): boolean {
		return this.#applyChange(() => {
			this.#draining = draining;
		});
	}

	/** Takes over whether the server accepts probes; returns whether that changed. */
	observeProbe(reachable: boolean): boolean {
		return this.#applyChange(() => {
			this.#awaitsProbe = false;
			this.#probeFailed = !reachable;
		});
	}

	/** Takes over what the platform's list says; returns whether the server started or stopped leaving. */
	observeRecord(record: BackendRecord): boolean {
		return this.#applyChange(() => {
			this.record = record;
		});
	}

	#updateLatency(latencyMs: number): void {
		this.latencyMs += smoothingFactor * (latencyMs - this.latencyMs);
		this.#assumedFraction *= 1 - smoothingFactor;
	}

	#applyChange(change: () => void): boolean {
		const before = this.leaving;
		change();
		if (before && !this.leaving) {
			this.#rampStartMs = this.timers.nowMs();
			this.#consecutiveFailures = 0;
		}

		return before !== this.leaving;
	}
}
