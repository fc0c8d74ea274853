import {
	FescuewickError, ResultCode, resultCodeName, toFescuewickError, type Metrics, type TimerService,
} from '@fescuewick/core';
import {type ObjectStore} from './object-store.js';
import {type StoreCallKind, StoreDecorator} from './store-decorator.js';

/** Rate limit, timers and metrics of a store whose calls are rate-limited. */
export type StoreRateLimit = {
	readonly callsPerS: number;
	/** Size of the token bucket: calls that may be sent without waiting after an idle period. */
	readonly burst: number;
	/** Longest time a call waits for a token; a call that would wait longer is refused at once. Default: 1,000 ms. */
	readonly maxWaitMs?: number;
	readonly timers: TimerService;
	/** Registry of the counter `fescuewick_store_calls_total`, by kind and result. */
	readonly metrics?: Metrics;
};

/** Counts of calls since the start; `refused` calls were not sent and also count as `failed`. */
export type StoreCallCounts = Record<StoreCallKind, number> & {failed: number; refused: number};

const defaultMaxWaitMs = 1000;

/**
Limits the rate of store calls of one process with a token bucket; a watch takes one token, however long it waits.

Calls get tokens in order of arrival. A refused call throws `storeUnavailable` with the time after which it may be repeated.
*/
export class RateLimitedStore extends StoreDecorator {
	readonly counts: StoreCallCounts = {
		read: 0, list: 0, write: 0, remove: 0, watch: 0, failed: 0, refused: 0,
	};

	readonly #options: StoreRateLimit;
	readonly #callCounter;
	/** Time at which the token bucket is full again; each call postpones it by 1/`callsPerS` seconds. */
	#fullAtMs: number;

	constructor(inner: ObjectStore, options: StoreRateLimit) {
		super(inner);
		this.#options = options;
		this.#callCounter = options.metrics?.counter('fescuewick_store_calls_total', 'Calls to the object store by kind and result', ['kind', 'result'] as const);
		this.#fullAtMs = options.timers.nowMs();
	}

	protected async intercept<Value>(kind: StoreCallKind, call: () => Promise<Value>, signal?: AbortSignal): Promise<Value> {
		try {
			await this.#waitForToken(signal);
			this.counts[kind]++;
			const value = await call();
			this.#callCounter?.inc({kind, result: resultCodeName(ResultCode.ok)});
			return value;
		} catch (error) {
			this.counts.failed++;
			this.#callCounter?.inc({kind, result: resultCodeName(toFescuewickError(error).code)});
			throw error;
		}
	}

	async #waitForToken(signal: AbortSignal | undefined): Promise<void> {
		const {callsPerS, burst, timers, maxWaitMs = defaultMaxWaitMs} = this.#options;
		const nowMs = timers.nowMs();
		const tokenIntervalMs = 1000 / callsPerS;
		const fullAtMs = Math.max(this.#fullAtMs, nowMs) + tokenIntervalMs;
		// Subtracts 1e-6 ms, because rounding errors would otherwise make a call within the burst wait.
		const waitMs = Math.max(0, fullAtMs - nowMs - (burst * tokenIntervalMs) - 1e-6);
		if (waitMs > maxWaitMs) {
			this.counts.refused++;
			throw new FescuewickError(ResultCode.storeUnavailable, `the store call exceeds the limit of ${callsPerS} calls per second and would wait ${Math.ceil(waitMs)} ms for a token, the limit is ${maxWaitMs} ms`, {retryAfterMs: Math.ceil(waitMs)});
		}

		this.#fullAtMs = fullAtMs;
		if (waitMs > 0) {
			await sleepUnlessAborted(timers, waitMs, signal);
		}
	}
}

async function sleepUnlessAborted(timers: TimerService, delayMs: number, signal: AbortSignal | undefined): Promise<void> {
	await new Promise<void>(resolve => {
		const end = (): void => {
			cancel();
			signal?.removeEventListener('abort', end);
			resolve();
		};

		const cancel = timers.after(delayMs, end);
		signal?.addEventListener('abort', end, {once: true});
		if (signal?.aborted) {
			end();
		}
	});
}
