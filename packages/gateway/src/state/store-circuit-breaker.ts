import {type Logger, type TimerService} from '@fescuewick/core';

/** Backoff after the first failed call, in milliseconds; short enough to resume well within the time limits for a configuration change. */
const initialBackoffMs = 200;
/** Longest backoff, in milliseconds; with one trial call per VM, an outage costs few calls and its end is noticed within about a second. */
const maxBackoffMs = 1200;

/**
Circuit breaker for the store, shared by all loops of this VM that call it.

While the store does not answer, one loop at a time makes a trial call and the others wait for its outcome, so that an outage costs one call per backoff.
*/
export class StoreCircuitBreaker {
	#failures = 0;
	#nextTrialAtMs = 0;
	#trial: Promise<void> | undefined;
	#trialCaller: symbol | undefined;
	#endTrial: (() => void) | undefined;
	#failingSinceMs: number | undefined;
	#recoveredAtMs = Number.NEGATIVE_INFINITY;

	constructor(private readonly options: {readonly timers: TimerService; readonly logger: Logger; readonly random: () => number}) {}

	get isFailing(): boolean {
		return this.#failures > 0;
	}

	/** Time of the last recovery after a failure; minus infinity before the first. */
	get recoveredAtMs(): number {
		return this.#recoveredAtMs;
	}

	/** Resolves when the caller may call the store; it must call `succeeded` or `failed` afterwards. */
	async waitForTurn(caller: symbol): Promise<void> {
		const {timers} = this.options;
		while (this.#failures > 0) {
			if (this.#trial !== undefined) {
				await this.#trial;
				continue;
			}

			this.#trialCaller = caller;
			this.#trial = new Promise(resolve => {
				this.#endTrial = resolve;
			});
			const waitMs = this.#nextTrialAtMs - timers.nowMs();
			if (waitMs > 0) {
				await timers.sleep(waitMs);
			}

			return;
		}
	}

	/** Reports that the store answered the caller. */
	succeeded(caller: symbol): void {
		if (this.#failures > 0) {
			const {timers, logger} = this.options;
			this.#recoveredAtMs = timers.nowMs();
			logger.info({event: 'store-regained', failures: this.#failures, outageMs: Math.round(this.#recoveredAtMs - (this.#failingSinceMs ?? this.#recoveredAtMs))}, 'the store answers again');
			this.#failures = 0;
			this.#failingSinceMs = undefined;
		}

		this.#releaseTrial(caller);
	}

	/** Reports that the store did not answer or refused the call. */
	failed(caller: symbol, reason: string): void {
		const {timers, logger, random} = this.options;
		if (this.#trial !== undefined && this.#trialCaller !== caller) {
			// The call began before the outage; only the outcome of the trial call counts.
			return;
		}

		if (this.#failures === 0) {
			this.#failingSinceMs = timers.nowMs();
			logger.warn({event: 'store-lost', reason}, 'the store does not answer');
		}

		const backoffMs = Math.min(maxBackoffMs, initialBackoffMs * (2 ** this.#failures));
		this.#failures++;
		this.#nextTrialAtMs = timers.nowMs() + (backoffMs * (0.75 + (random() / 2)));
		this.#releaseTrial(caller);
	}

	#releaseTrial(caller: symbol): void {
		if (this.#trialCaller !== caller) {
			return;
		}

		this.#trialCaller = undefined;
		this.#trial = undefined;
		this.#endTrial?.();
		this.#endTrial = undefined;
	}
}
