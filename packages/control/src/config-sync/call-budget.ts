import {type TimerService} from '@fescuewick/core';

/** Limits of the store calls that one node makes for the configuration: `ratePerS` on average, `burst` at once. */
export const storeCallBudget = {ratePerS: 4, burst: 12} as const;

/** Token bucket that limits calls to the store. */
export class CallBudget {
	readonly #timers: TimerService;
	#tokens: number;
	#refilledAtMs: number;

	constructor(timers: TimerService) {
		this.#timers = timers;
		this.#tokens = storeCallBudget.burst;
		this.#refilledAtMs = timers.nowMs();
	}

	/** Takes one token; returns false if none is left. */
	take(): boolean {
		const nowMs = this.#timers.nowMs();
		this.#tokens = Math.min(storeCallBudget.burst, this.#tokens + ((nowMs - this.#refilledAtMs) / 1000 * storeCallBudget.ratePerS));
		this.#refilledAtMs = nowMs;
		if (this.#tokens < 1) {
			return false;
		}

		this.#tokens--;
		return true;
	}

	/** Takes one token, waiting until one is available. */
	async wait(): Promise<void> {
		while (!this.take()) {
			await this.#timers.sleep(1000 / storeCallBudget.ratePerS);
		}
	}
}
