import {FescuewickError, ResultCode, type TimerService} from '@fescuewick/core';
import {StoreCallKind, StoreDecorator, type MemoryObjectStore} from '@fescuewick/store';

/** Limits of the platform's store that affect claims. */
export type StoreLimits = {
	readonly writesPerS: number;
	/** Time the store takes to serve a call, without network latency. */
	readonly serviceTimeMs: number;
};

/** Maximum number of writes accepted in one burst. */
const bucketCapacity = 30;

/** Token bucket for writes, shared by all links to the store. */
export class WriteTokenBucket {
	#tokens = bucketCapacity;
	#refilledAtMs: number;

	constructor(readonly timers: TimerService, readonly writesPerS: number) {
		this.#refilledAtMs = timers.nowMs();
	}

	tryTake(): boolean {
		const nowMs = this.timers.nowMs();
		this.#tokens = Math.min(bucketCapacity, this.#tokens + ((nowMs - this.#refilledAtMs) * this.writesPerS / 1000));
		this.#refilledAtMs = nowMs;
		if (this.#tokens < 1) {
			return false;
		}

		this.#tokens--;
		return true;
	}
}

/** Simulated link of one node to a store that has latency and a write rate limit; writes above the limit are rejected. */
export class SimulatedStoreLink extends StoreDecorator {
	isCut = false;

	constructor(protected override readonly inner: MemoryObjectStore, readonly writeBucket: WriteTokenBucket, readonly serviceTimeMs: number, readonly oneWayMs: number) {
		super(inner);
	}

	override async write(key: string, value: unknown, expectedVersion: number | undefined): Promise<number> {
		return super.write(key, structuredClone(value), expectedVersion);
	}

	protected async intercept<Value>(kind: StoreCallKind, call: () => Promise<Value>): Promise<Value> {
		const {timers} = this.inner;
		if (this.isCut) {
			throw new FescuewickError(ResultCode.storeUnavailable, 'no route to the store');
		}

		await timers.sleep(this.oneWayMs + this.serviceTimeMs);
		try {
			if (kind === StoreCallKind.write || kind === StoreCallKind.remove) {
				this.#takeWriteToken();
			}

			return await call();
		} finally {
			await timers.sleep(this.oneWayMs);
		}
	}

	#takeWriteToken(): void {
		if (!this.writeBucket.tryTake()) {
			throw new FescuewickError(ResultCode.storeUnavailable, 'store rejected a write above its rate limit');
		}
	}
}
