import {Buffer} from 'node:buffer';
import {FescuewickError, ResultCode, type TimerService} from '@fescuewick/core';
import {
	emptyHead, headKey, partKey, type ConfigurationHead,
} from '@fescuewick/config';
import {absentVersion, type ObjectStore} from '@fescuewick/store';
import {CallBudget} from './call-budget.js';
import {parseHead} from './held-configuration.js';

/** Duration of one long poll; together with the heartbeat interval it keeps the freshness age below 3 s three hops from a reader. */
export const watchWaitMs = 1000;
/** The store counts as reachable for this long after an answer. */
const reachableWindowMs = 3000;
/** Version that no object has, so that a watch returns at once. */
const unknownVersion = -1;

/** Result of reading the head. */
export type HeadReadResult = {
	/** Undefined if the head has not changed since the last read. */
	readonly head: ConfigurationHead | undefined;
	/** Time on the monotonic clock at which the head was certainly still current: the store formed its answer at that time or later. */
	readonly confirmedAtMs: number;
};

/** Reads the configuration from the store for one node, within a call budget. */
export class ConfigStoreClient {
	readonly #store: ObjectStore;
	readonly #timers: TimerService;
	readonly #budget: CallBudget;
	#version = unknownVersion;
	#answeredAtMs: number | undefined;
	#consecutiveFailures = 0;

	constructor(store: ObjectStore, timers: TimerService) {
		this.#store = store;
		this.#timers = timers;
		this.#budget = new CallBudget(timers);
	}

	get reachable(): boolean {
		return this.#consecutiveFailures === 0 && this.#answeredAtMs !== undefined && this.#timers.nowMs() - this.#answeredAtMs < reachableWindowMs;
	}

	/** Number of failed calls since the last successful one. */
	get consecutiveFailures(): number {
		return this.#consecutiveFailures;
	}

	/** Discards the last known version, so that the next read returns the head even if it is unchanged. */
	forgetVersion(): void {
		this.#version = unknownVersion;
	}

	/** Reads the head, waiting up to `waitMs` for a change; throws the store's codes, or `configurationUnreadable`. */
	async readHead(waitMs: number, signal?: AbortSignal): Promise<HeadReadResult> {
		await this.#budget.wait();
		const sentAtMs = this.#timers.nowMs();
		const knownVersion = this.#version;
		const object = await this.#call(async () => this.#store.watch(headKey, knownVersion, waitMs, signal));
		const elapsedMs = this.#timers.nowMs() - sentAtMs;
		if (object === undefined && knownVersion === unknownVersion) {
			this.#version = absentVersion;
			return {head: emptyHead, confirmedAtMs: sentAtMs};
		}

		if (object === undefined) {
			// An answer that arrives after the full wait was formed at its end; an earlier one may have been formed when the call was sent.
			return {head: undefined, confirmedAtMs: elapsedMs >= waitMs ? sentAtMs + waitMs : sentAtMs};
		}

		const head = parseHead(object.value);
		this.#version = object.version;
		return {head, confirmedAtMs: sentAtMs};
	}

	/** Reads a part; throws the store's codes or `storeNotFound`. */
	async readPart(hash: string): Promise<Buffer> {
		await this.#budget.wait();
		const object = await this.#call(async () => this.#store.read(partKey(hash)));
		if (object === undefined || typeof object.value !== 'string') {
			throw new FescuewickError(ResultCode.storeNotFound, `configuration part ${hash} is not in the store`);
		}

		return Buffer.from(object.value, 'utf8');
	}

	async #call<Value>(call: () => Promise<Value>): Promise<Value> {
		try {
			const value = await call();
			this.#consecutiveFailures = 0;
			this.#answeredAtMs = this.#timers.nowMs();
			return value;
		} catch (error) {
			this.#consecutiveFailures++;
			throw error;
		}
	}
}
