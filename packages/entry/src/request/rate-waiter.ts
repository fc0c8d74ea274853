import {FescuewickError, ResultCode, type TimerService} from '@fescuewick/core';
import {type RateDecision, type RateLimiter} from '../limits/rate-limiter.js';

/** Takes rate tokens; a request without a token waits for one for at most `rateWaitMs`. */
export class RateWaiter {
	readonly #waiting = new Map<string, number>();

	/** `maxWaiting` returns the number of requests of a workspace that may wait; `onShortage` is called when a token is missing. */
	constructor(private readonly options: {
		readonly timers: TimerService;
		readonly rateLimiter: RateLimiter;
		readonly rateWaitMs: number;
		readonly maxWaiting: (workspace: string) => number;
		readonly onShortage: () => void;
	}) {}

	/** Takes a token; returns undefined if it was available at once, otherwise a promise that rejects with `rateExceeded` or `noShare`. */
	take(workspace: string, deadlineAtMs: number): Promise<void> | undefined {
		const decision = this.options.rateLimiter.take(workspace);
		return decision.allowed ? undefined : this.#wait(workspace, deadlineAtMs, decision);
	}

	/** Resolves when a token was taken; throws `rateExceeded` or, without a share, `noShare`. */
	async #wait(workspace: string, deadlineAtMs: number, firstDecision: RateDecision): Promise<void> {
		const {rateLimiter, timers, rateWaitMs, onShortage} = this.options;
		let decision = firstDecision;
		onShortage();
		const endsAtMs = Math.min(deadlineAtMs, timers.nowMs() + rateWaitMs);
		const waiting = this.#waiting.get(workspace) ?? 0;
		if (waiting < this.options.maxWaiting(workspace)) {
			this.#waiting.set(workspace, waiting + 1);
			try {
				while (!decision.allowed && timers.nowMs() + Math.min(decision.retryAfterMs, rateWaitMs) <= endsAtMs) {
					await timers.sleep(Math.max(1, Math.min(decision.retryAfterMs, rateWaitMs)));
					decision = rateLimiter.take(workspace);
				}
			} finally {
				this.#decrementWaiting(workspace);
			}
		}

		if (!decision.allowed) {
			throw rateLimiter.hasShare(workspace)
				? new FescuewickError(ResultCode.rateExceeded, 'the workspace is over its rate and burst', {retryAfterMs: decision.retryAfterMs})
				: new FescuewickError(ResultCode.noShare, 'the VM holds no share of the workspace rate at the moment', {retryAfterMs: decision.retryAfterMs});
		}
	}

	#decrementWaiting(workspace: string): void {
		const remaining = (this.#waiting.get(workspace) ?? 1) - 1;
		if (remaining === 0) {
			this.#waiting.delete(workspace);
		} else {
			this.#waiting.set(workspace, remaining);
		}
	}
}
