import {type TimerService} from '@fescuewick/core';

/** Maximum interval between writes while other owners write too. */
const maxIntervalMs = 200;
const intervalStepMs = 5;

/** Limits the rate of writes, of which the caller has one in flight at a time. Conflicts increase the interval, so that several simultaneous owners together stay within the write budget of one or two. */
export class WritePacer {
	readonly #timers: TimerService;
	#intervalMs: number;
	#nextStartMs = Number.NEGATIVE_INFINITY;

	constructor(timers: TimerService, readonly minIntervalMs: number) {
		this.#timers = timers;
		this.#intervalMs = minIntervalMs;
	}

	/** Resolves when the next write may start. */
	async waitForTurn(): Promise<void> {
		const waitMs = this.#nextStartMs - this.#timers.nowMs();
		if (waitMs > 0) {
			await this.#timers.sleep(waitMs);
		}
	}

	/** Waits until the next write may start, and runs it. */
	async run<Result>(write: () => Promise<Result>): Promise<Result> {
		await this.waitForTurn();
		this.#nextStartMs = this.#timers.nowMs() + this.#intervalMs;
		return write();
	}

	/** Call after a conflict with another owner's write. */
	increaseInterval(): void {
		this.#intervalMs = Math.max(this.minIntervalMs, Math.min(maxIntervalMs, this.#intervalMs * 2));
		this.#nextStartMs = this.#timers.nowMs() + this.#intervalMs;
	}

	/** Call after a successful write. */
	decreaseInterval(): void {
		this.#intervalMs = Math.max(this.minIntervalMs, this.#intervalMs - intervalStepMs);
	}
}
