import {
	ResultCode, toFescuewickError, type Logger, type TimerService,
} from '@fescuewick/core';
import {
	Freshness, type ChangeBatch, type Collection, type CollectionStore, type Listing,
} from '@fescuewick/store';
import {type Replica} from './replica.js';
import {type StoreCircuitBreaker} from './store-circuit-breaker.js';

/** Shortest time between two watches that each bring changes, in milliseconds; joins changes in quick succession into one call. */
const minWatchGapMs = 40;
/**
Longest time between two watches while changes keep coming, in milliseconds; servers that leave may be used for 2.5 s in the deployments so far, of which nearly 2 s are used up if their entries may have expired.

Where 324 servers registered within 5 s, watches every 40 ms were two thirds of all calls before the first request.
*/
const maxWatchGapMs = 160;
/** A watch that brings changes after a longer wait than this ends a series of changes, in milliseconds. */
const seriesEndMs = 400;
/** Pause before listing again, in milliseconds; a store that keeps dropping its history must not be called without end. */
const relistPauseMs = 50;
/** A watch that failed sooner than this after its start counts as a failure of the store rather than as a cut wait. */
const minCutWatchMs = 300;

/** A follower that does not read tries a store that refused it again after this time, in milliseconds, because nobody else finds out whether it still does. */
const refusedRetryMs = 10_000;

/** What a follower needs. */
export type StoreFollowerOptions = {
	readonly store: CollectionStore;
	readonly collection: Collection;
	readonly replica: Replica;
	readonly breaker: StoreCircuitBreaker;
	readonly timers: TimerService;
	readonly logger: Logger;
	/** Longest wait of a watch in milliseconds, drawn for each. */
	readonly watchWaitMs: () => number;
};

type CollectionUpdate = {readonly listing?: Listing; readonly batch?: ChangeBatch};

/** Keeps a replica up to date from the store: lists once, then watches while this VM reads for its region; lists again when the store has dropped the history. */
export class StoreFollower {
	readonly #caller = Symbol('follower');
	#watchGapMs = minWatchGapMs;
	#needsListing = true;
	#needsLatest = false;
	#isStopped = false;
	#isReading = true;
	#watch: AbortController | undefined;
	#wake: (() => void) | undefined;

	constructor(private readonly options: StoreFollowerOptions) {}

	/** Runs until `stop`. */
	async run(): Promise<void> {
		const {replica, collection, logger} = this.options;
		for await (const update of this.#updates()) {
			if (update.listing !== undefined) {
				replica.applyListing(update.listing);
			}

			if (update.batch !== undefined) {
				replica.applyChanges(update.batch);
			}

			logger.debug({event: 'collection-updated', collection, ...replica.revisions}, 'collection updated');
		}
	}

	/** Starts the present watch anew, as after the replica took over a peer's copy. */
	restartWatch(): void {
		if (!this.options.breaker.isFailing) {
			this.#watch?.abort();
		}
	}

	/** Whether to watch the store; a copy that was never read is read in any case. */
	setReading(isReading: boolean): void {
		if (isReading === this.#isReading) {
			return;
		}

		this.#isReading = isReading;
		if (isReading) {
			this.#wake?.();
		} else if (this.options.replica.isLoaded) {
			this.restartWatch();
		}
	}

	stop(): void {
		this.#isStopped = true;
		this.#watch?.abort();
		this.#wake?.();
	}

	async * #updates(): AsyncGenerator<CollectionUpdate> {
		const {breaker, collection, logger, timers} = this.options;
		while (!this.#isStopped) {
			await this.#waitUntilReading();
			await breaker.waitForTurn(this.#caller);
			if (this.#isStopped) {
				breaker.succeeded(this.#caller);
				return;
			}

			const startedAtMs = timers.nowMs();
			try {
				const update = await this.#call();
				breaker.succeeded(this.#caller);
				if (update !== undefined) {
					yield update;
				}

				if (update?.batch !== undefined && update.batch.changes.length > 0) {
					this.#watchGapMs = timers.nowMs() - startedAtMs > seriesEndMs ? minWatchGapMs : Math.min(maxWatchGapMs, this.#watchGapMs * 2);
					await timers.sleep(this.#watchGapMs);
				}
			} catch (error) {
				const {code, message} = toFescuewickError(error);
				if (code === ResultCode.storeHistoryGone) {
					logger.info({event: 'history-gone', collection}, 'the store dropped its history, listing again');
					breaker.succeeded(this.#caller);
					this.#needsListing = true;
					this.#needsLatest = true;
					await timers.sleep(relistPauseMs);
				} else if (!this.#needsListing && code === ResultCode.storeTimeout && timers.nowMs() - startedAtMs > minCutWatchMs && !breaker.isFailing) {
					// A long wait that was cut or went silent says nothing about new calls.
					logger.info({event: 'watch-cut', collection, reason: message}, 'a watch was cut');
					breaker.succeeded(this.#caller);
				} else {
					breaker.failed(this.#caller, message);
				}
			}
		}
	}

	/** Resolves when this VM is to call the store. */
	async #waitUntilReading(): Promise<void> {
		const {replica, breaker, timers} = this.options;
		const startedAtMs = timers.nowMs();
		while (!this.#isReading && replica.isLoaded && !this.#isStopped) {
			if (breaker.isFailing && timers.nowMs() - startedAtMs >= refusedRetryMs) {
				return;
			}

			await new Promise<void>(resolve => {
				const cancel = timers.after(refusedRetryMs, resolve);
				this.#wake = () => {
					cancel();
					resolve();
				};
			});
			this.#wake = undefined;
		}
	}

	async #call(): Promise<CollectionUpdate | undefined> {
		const {store, collection, replica, watchWaitMs, breaker} = this.options;
		if (this.#needsListing && !(replica.isLoaded && breaker.isFailing)) {
			return this.#list();
		}

		const controller = new AbortController();
		this.#watch = controller;
		const {valid} = replica.revisions;
		try {
			// The first call after a failure must not wait, because its outcome is what the others wait for.
			const batch = await store.watch(collection, valid, breaker.isFailing ? 0 : watchWaitMs(), controller.signal);
			return {batch};
		} catch (error) {
			if (controller.signal.aborted) {
				return undefined;
			}

			throw error;
		} finally {
			this.#watch = undefined;
		}
	}

	/** Reads a cheap listing and the changes since, or the latest listing if the history does not reach back so far. */
	async #list(): Promise<CollectionUpdate> {
		const {store, collection} = this.options;
		if (this.#needsLatest) {
			const listing = await store.list(collection, Freshness.latest);
			this.#needsListing = false;
			this.#needsLatest = false;
			return {listing};
		}

		const listing = await store.list(collection, Freshness.recent);
		const batch = await store.watch(collection, listing.revision, 0, new AbortController().signal);
		this.#needsListing = false;
		return {listing, batch};
	}
}
