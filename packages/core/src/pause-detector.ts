import {type Cancel, type TimerService} from './timer-service.js';

/** Interval of the checks; a check that runs late shows that the process was stopped or got no CPU time. */
export const pauseCheckIntervalMs = 250;
/** A check that is late by more than this counts as a pause of the process. */
export const pauseThresholdMs = 1000;

/** Detects that the process was stopped or got no CPU time for longer than `pauseThresholdMs`. */
export class PauseDetector {
	readonly #timers: TimerService;
	readonly #cancel: Cancel;
	readonly #listeners = new Set<(pausedForMs: number) => void>();
	#lastCheckMs: number;
	#lastPauseEndMs = Number.NEGATIVE_INFINITY;

	constructor(timers: TimerService) {
		this.#timers = timers;
		this.#lastCheckMs = timers.nowMs();
		this.#cancel = timers.repeat(pauseCheckIntervalMs, () => {
			this.check();
		});
	}

	/** Monotonic time at which the last pause was detected, or minus infinity. */
	get lastPauseEndMs(): number {
		return this.#lastPauseEndMs;
	}

	/** Call before each use of a lease or grant, which may have expired during a pause; returns false if this call detects a pause. */
	check(): boolean {
		const nowMs = this.#timers.nowMs();
		const lateMs = nowMs - this.#lastCheckMs - pauseCheckIntervalMs;
		this.#lastCheckMs = nowMs;
		if (lateMs <= pauseThresholdMs) {
			return true;
		}

		this.#lastPauseEndMs = nowMs;
		for (const listener of this.#listeners) {
			listener(lateMs);
		}

		return false;
	}

	/** Calls `listener` with the length of each pause, in milliseconds. */
	onPause(listener: (pausedForMs: number) => void): Cancel {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	stop(): void {
		this.#cancel();
	}
}
