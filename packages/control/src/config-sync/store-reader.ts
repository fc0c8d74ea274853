import {
	FescuewickError, ResultCode, toFescuewickError, type Logger, type TimerService,
} from '@fescuewick/core';
import {type ConfigurationHead} from '@fescuewick/config';
import {type Random} from '@fescuewick/membership';
import {type Freshness} from './freshness.js';
import {type HeldConfiguration} from './held-configuration.js';
import {watchWaitMs, type ConfigStoreClient} from './config-store-client.js';

/** A node that is not a reader reads the store itself if its freshness age exceeds this. */
export const staleAfterMs = 3000;
/** Maximum random delay before such a read. */
export const maxStaleReadDelayMs = 1000;
/** Minimum interval between such reads of one node. */
export const staleReadIntervalMs = 2000;
/** Maximum delay, before jitter of up to a quarter, between two attempts of a node during a store outage; when the store recovers, one attempt and the relay complete within 10 s. */
const maxRetryDelayMs = 6000;
const initialReaderRetryDelayMs = 500;

/** Dependencies of a store reader. */
export type StoreReaderOptions = {
	readonly storeClient: ConfigStoreClient;
	readonly held: HeldConfiguration;
	readonly freshness: Freshness;
	readonly timers: TimerService;
	readonly logger: Logger;
	readonly random: Random;
	/** Whether this node watches the store for its failure domain. */
	readonly isReader: () => boolean;
	/** Fetches the parts of a head with a higher revision and adopts it. */
	readonly fetchAndAdopt: (head: ConfigurationHead) => Promise<void>;
	/** Called after each successful read, when the accepted configuration is held. */
	readonly onConfirmed: () => void;
};

/** Schedules when this node reads the head from the store: continuously as a reader, otherwise only when its configuration is no longer confirmed by peers. */
export class StoreReader {
	readonly #options: StoreReaderOptions;
	/** Cancels the read in progress; undefined if there is none. */
	#readAbort: AbortController | undefined;
	#nextReadAtMs = 0;
	#isStaleReadPending = false;
	#stopped = false;

	constructor(options: StoreReaderOptions) {
		this.#options = options;
	}

	/** Starts a read if one is due; called at regular intervals. */
	tick(): void {
		if (!this.#isDue()) {
			return;
		}

		if (this.#options.isReader()) {
			void this.readHead(watchWaitMs);
		} else if (this.#isStale()) {
			this.#scheduleStaleRead();
		}
	}

	/** Reads the head once if the retry delay and the minimum interval have passed; resolves after the read. */
	async readIfDue(): Promise<void> {
		if (this.#isDue()) {
			await this.readHead(0);
		}
	}

	/** Reads the head from the store, waiting up to `waitMs` for a change, and adopts its configuration. */
	async readHead(waitMs: number): Promise<void> {
		const {storeClient, freshness, timers, isReader, onConfirmed} = this.#options;
		const abort = new AbortController();
		this.#readAbort = abort;
		try {
			const result = await storeClient.readHead(waitMs, abort.signal);
			if (result.head !== undefined) {
				await this.#adoptIfNewer(result.head);
			}

			if (this.#stopped) {
				return;
			}

			freshness.confirm(result.confirmedAtMs);
			this.#nextReadAtMs = timers.nowMs() + (isReader() ? 0 : staleReadIntervalMs);
			onConfirmed();
		} catch (error) {
			storeClient.forgetVersion();
			this.#scheduleRetry(error);
		} finally {
			this.#readAbort = undefined;
		}

		if (!this.#stopped && isReader() && this.#nextReadAtMs <= timers.nowMs()) {
			void this.readHead(watchWaitMs);
		}
	}

	stop(): void {
		this.#stopped = true;
		this.#readAbort?.abort();
	}

	#isDue(): boolean {
		return !this.#stopped && this.#readAbort === undefined && !this.#isStaleReadPending && this.#options.timers.nowMs() >= this.#nextReadAtMs;
	}

	#isStale(): boolean {
		return (this.#options.freshness.ageMs ?? Number.POSITIVE_INFINITY) > staleAfterMs;
	}

	#scheduleStaleRead(): void {
		const {timers, random} = this.#options;
		this.#isStaleReadPending = true;
		timers.after(random() * maxStaleReadDelayMs, () => {
			this.#isStaleReadPending = false;
			if (this.#isStale() && this.#isDue()) {
				void this.readHead(0);
			}
		});
	}

	async #adoptIfNewer(head: ConfigurationHead): Promise<void> {
		const {held, fetchAndAdopt} = this.#options;
		if (held.accepts(head)) {
			await fetchAndAdopt(head);
		} else if (head.revision < held.revision || !held.hasSamePartsAs(head)) {
			throw new FescuewickError(ResultCode.storeMalformed, `store returned a head of revision ${head.revision}, which contradicts the accepted revision ${held.revision}`);
		}
	}

	/** Schedules the next attempt with exponential backoff and jitter, so that the nodes of a fleet do not all call the store at once when an outage ends. */
	#scheduleRetry(error: unknown): void {
		const {storeClient, timers, random, logger, isReader} = this.#options;
		const backoffFactor = 2 ** Math.min(8, Math.max(0, storeClient.consecutiveFailures - 1));
		const delayMs = isReader() ? Math.min(staleReadIntervalMs, initialReaderRetryDelayMs * backoffFactor) : Math.min(maxRetryDelayMs, staleReadIntervalMs * backoffFactor);
		const jitter = isReader() ? 0.5 + (random() / 2) : 1 + (random() / 4);
		this.#nextReadAtMs = timers.nowMs() + (delayMs * jitter);
		if (storeClient.consecutiveFailures <= 1) {
			logger.warn({err: error, code: toFescuewickError(error).code}, 'configuration could not be read from the store');
		}
	}
}
