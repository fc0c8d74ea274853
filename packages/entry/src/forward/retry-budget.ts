import {type TimerService} from '@fescuewick/core';

/** Limits of a retry budget. */
export type RetryLimits = {
	readonly windowMs: number;
	/** Repeated attempts per first attempt in the window, 0 to 1. */
	readonly fraction: number;
	/** Returns the repeated attempts per window that are allowed in addition. */
	readonly minCount: () => number;
};

/** 10 % of the first attempts of the last 10 s, plus 10 (one per second). */
const defaultLimits: RetryLimits = {windowMs: 10_000, fraction: 0.1, minCount: () => 10};

/** Limits repeated attempts to a fraction of the first attempts in a sliding window, plus a minimum count. */
export class RetryBudget {
	readonly #firstAttempts: Array<{atMs: number; count: number}> = [];
	#repeatedAtMs: number[] = [];
	#firstCount = 0;

	constructor(private readonly timers: TimerService, private readonly limits = defaultLimits) {}

	/** Counts a first attempt. */
	recordFirstAttempt(): void {
		const nowMs = this.timers.nowMs();
		const last = this.#firstAttempts.at(-1);
		this.#firstCount++;
		// First attempts are counted per 100 ms to bound the memory.
		if (last !== undefined && nowMs - last.atMs < 100) {
			last.count++;
		} else {
			this.#firstAttempts.push({atMs: nowMs, count: 1});
		}

		this.#expire();
	}

	/** Repeated attempts that may be taken now; negative if the number of first attempts has fallen since they were taken. */
	get remaining(): number {
		this.#expire();
		return Math.floor(this.#firstCount * this.limits.fraction) + this.limits.minCount() - this.#repeatedAtMs.length;
	}

	/** Takes one repeated attempt from the budget; returns false if it is exhausted. */
	take(): boolean {
		if (this.remaining <= 0) {
			return false;
		}

		this.#repeatedAtMs.push(this.timers.nowMs());
		return true;
	}

	#expire(): void {
		const windowStartMs = this.timers.nowMs() - this.limits.windowMs;
		while (this.#firstAttempts.length > 0 && this.#firstAttempts[0].atMs < windowStartMs) {
			this.#firstCount -= this.#firstAttempts.shift()!.count;
		}

		if (this.#repeatedAtMs.length > 0 && this.#repeatedAtMs[0] < windowStartMs) {
			this.#repeatedAtMs = this.#repeatedAtMs.filter(atMs => atMs >= windowStartMs);
		}
	}
}
