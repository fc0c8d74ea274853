import {performance} from 'node:perf_hooks';

/** Cancels a timer or removes a listener; further calls have no effect. */
export type Cancel = () => void;

/** Clock and timers of a process, used instead of the global ones so that tests can replace them. */
export abstract class TimerService {
	/** Resolves after `delayMs`. */
	async sleep(delayMs: number): Promise<void> {
		return new Promise(resolve => {
			this.after(delayMs, resolve);
		});
	}

	/** Monotonic time in milliseconds; use it for durations, leases and deadlines. */
	abstract nowMs(): number;
	/** Wall-clock time in milliseconds since the epoch; use it only for display and key ages. */
	abstract wallClockMs(): number;
	/** Calls `callback` once after `delayMs`. */
	abstract after(delayMs: number, callback: () => void): Cancel;
	/** Calls `callback` every `intervalMs` until cancelled. */
	abstract repeat(intervalMs: number, callback: () => void): Cancel;
}

/** Timers of the Node.js event loop. */
export class SystemTimerService extends TimerService {
	nowMs(): number {
		return performance.now();
	}

	wallClockMs(): number {
		return Date.now();
	}

	after(delayMs: number, callback: () => void): Cancel {
		const handle = setTimeout(callback, Math.max(0, delayMs));
		return () => {
			clearTimeout(handle);
		};
	}

	repeat(intervalMs: number, callback: () => void): Cancel {
		const handle = setInterval(callback, intervalMs);
		return () => {
			clearInterval(handle);
		};
	}
}

type PendingTimer = {
	dueMs: number;
	sequence: number;
	intervalMs: number | undefined;
	callback: () => void;
};

/** Timers for tests: time moves only through `advance` and `pause`. */
export class ManualTimerService extends TimerService {
	#nowMs = 0;
	#wallOffsetMs: number;
	#sequence = 0;
	readonly #pending = new Set<PendingTimer>();

	constructor(startWallClockMs = 1_700_000_000_000) {
		super();
		this.#wallOffsetMs = startWallClockMs;
	}

	nowMs(): number {
		return this.#nowMs;
	}

	wallClockMs(): number {
		return this.#wallOffsetMs + this.#nowMs;
	}

	after(delayMs: number, callback: () => void): Cancel {
		return this.#schedule(delayMs, undefined, callback);
	}

	repeat(intervalMs: number, callback: () => void): Cancel {
		return this.#schedule(intervalMs, intervalMs, callback);
	}

	/** Advances the clock and runs due timers in order of due time; lets promises settle after each. */
	async advance(durationMs: number): Promise<void> {
		const endMs = this.#nowMs + durationMs;
		for (;;) {
			const next = this.#nextDue(endMs);
			if (next === undefined) {
				break;
			}

			this.#nowMs = Math.max(this.#nowMs, next.dueMs);
			this.#fire(next);

			await settle();
		}

		this.#nowMs = endMs;
		await settle();
	}

	/** Advances the clock without running timers, as when the process is stopped; timers then run late. */
	pause(durationMs: number): void {
		this.#nowMs += durationMs;
	}

	/** Shifts the wall clock, as an NTP step does. */
	shiftWallClock(offsetMs: number): void {
		this.#wallOffsetMs += offsetMs;
	}

	#schedule(delayMs: number, intervalMs: number | undefined, callback: () => void): Cancel {
		const entry: PendingTimer = {
			dueMs: this.#nowMs + Math.max(0, delayMs), sequence: this.#sequence++, intervalMs, callback,
		};
		this.#pending.add(entry);
		return () => {
			this.#pending.delete(entry);
		};
	}

	#nextDue(endMs: number): PendingTimer | undefined {
		let earliest: PendingTimer | undefined;
		for (const entry of this.#pending) {
			if (entry.dueMs > endMs) {
				continue;
			}

			if (earliest === undefined || entry.dueMs < earliest.dueMs || (entry.dueMs === earliest.dueMs && entry.sequence < earliest.sequence)) {
				earliest = entry;
			}
		}

		return earliest;
	}

	#fire(entry: PendingTimer): void {
		if (entry.intervalMs === undefined) {
			this.#pending.delete(entry);
		} else {
			// As in Node.js, missed runs of an interval are not made up.
			entry.dueMs = this.#nowMs + entry.intervalMs;
			entry.sequence = this.#sequence++;
		}

		entry.callback();
	}
}

/** Waits for `rounds` turns of the event loop, so that pending promise callbacks run. */
export async function settle(rounds = 4): Promise<void> {
	for (let round = 0; round < rounds; round++) {
		await new Promise<void>(resolve => {
			setImmediate(resolve);
		});
	}
}
