import {
	ResultCode, toFescuewickError, type Logger, type TimerService,
} from '@fescuewick/core';
import {
	Freshness, type ChangeBatch, type Collection, type CollectionStore, type Listing,
} from '@fescuewick/store';
import {type Replica} from './replica.js';
import {type StoreCircuitBreaker} from './store-circuit-breaker.js';

/** Shortest gap between two watches that each return changes, in milliseconds; collects changes in quick succession into one call. */
const minWatchGapMs = 40;
/**
Longest gap between two watches during a series of changes, in milliseconds. In the deployments so far, servers that left may be used for 2.5 s, of which the hold of entries that may have expired takes nearly 2 s, so a removal must be read within the remaining time.

When 324 servers registered within 5 s, watches every 40 ms were two thirds of all store calls before the first request; therefore the gap grows.
*/
const maxWatchGapMs = 160;
/** A watch that returns changes after a longer wait than this ends a series of changes, in milliseconds. */
const seriesEndMs = 400;
/** Pause before listing again, in milliseconds; limits the calls to a store that drops its history again and again. */
const relistPauseMs = 50;
/** A watch that times out sooner than this after its start counts as a failure of the store, a later one as an interrupted wait, in milliseconds. */
const minInterruptedWatchMs = 300;

/** A follower that is not reading retries a store that refused it after this time, in milliseconds, because no other VM can find out whether the store still refuses this one. */
const refusedRetryMs = 10_000;

/** Dependencies of a store follower. */
export type StoreFollowerOptions = {
	readonly store: CollectionStore;
	readonly collection: Collection;
	readonly replica: Replica;
	readonly breaker: StoreCircuitBreaker;
	readonly timers: TimerService;
	readonly logger: Logger;
	/** Returns the longest wait of a watch, in milliseconds; called for each watch. */
	readonly watchWaitMs: () => number;
	/** Called when a watch got no answer although the store may be well, as on a connection that has gone silent. */
	readonly onWatchCut?: () => void;
};

/** An answer of the store, and the earliest time as of which it may show the collection, in milliseconds. */
type CollectionUpdate = {readonly listing?: Listing; readonly batch?: ChangeBatch; readonly asOfMs: number};

/** Keeps a replica up to date from the store: lists once, then watches while this VM is a reader of its region; lists again after the store has dropped its history or was restored from a copy. */
export class StoreFollower {
	readonly #caller = Symbol('follower');
	#watchGapMs = minWatchGapMs;
	#needsListing = true;
	/** The next listing must be the latest one. */
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

			replica.confirmRead(update.asOfMs, (update.batch ?? update.listing)?.era ?? 0);
			logger.debug({event: 'collection-updated', collection, ...replica.revisions}, 'collection updated');
		}
	}

	/** Restarts the current watch, as after the replica was updated from a peer. */
	restartWatch(): void {
		if (!this.options.breaker.isFailing) {
			this.#watch?.abort();
		}
	}

	/** Sets whether to watch the store; a replica that was never loaded is listed in any case. */
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
					logger.info({event: 'history-gone', collection, reason: message}, 'the changes since the last answer cannot be read; listing again');
					breaker.succeeded(this.#caller);
					this.#needsListing = true;
					this.#needsLatest = true;
					await timers.sleep(relistPauseMs);
				} else if (!this.#needsListing && code === ResultCode.storeTimeout && timers.nowMs() - startedAtMs > minInterruptedWatchMs && !breaker.isFailing) {
					// The interruption of a long wait does not show that new calls would fail.
					logger.info({event: 'watch-cut', collection, reason: message}, 'watch was interrupted');
					breaker.succeeded(this.#caller);
					this.options.onWatchCut?.();
				} else {
					breaker.failed(this.#caller, message);
				}
			}
		}
	}

	/** Resolves when this VM is to call the store: as a reader, to load its replica, or to retry a store that refused it. */
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
		const {store, collection, replica, watchWaitMs, breaker, timers} = this.options;
		if ((this.#needsListing || !replica.isCurrent) && !(replica.isLoaded && breaker.isFailing)) {
			return this.#list();
		}

		const controller = new AbortController();
		this.#watch = controller;
		const startedAtMs = timers.nowMs();
		try {
			// The trial call after a failure must not wait for changes, because the other loops wait for its outcome.
			const waitMs = breaker.isFailing ? 0 : watchWaitMs();
			const batch = await store.watch(collection, replica.position, waitMs, controller.signal);
			// Without a change, the store answers at the end of the wait; with one, the answer may have been on its way since any time in it.
			const hasWaited = batch.changes.length === 0 && timers.nowMs() - startedAtMs >= waitMs;
			return {batch, asOfMs: hasWaited ? startedAtMs + waitMs : startedAtMs};
		} catch (error) {
			if (controller.signal.aborted) {
				return undefined;
			}

			throw error;
		} finally {
			this.#watch = undefined;
		}
	}

	/** Reads a listing that may be stale, which is cheaper, and the changes since; reads the latest listing if the history does not reach back so far. */
	async #list(): Promise<CollectionUpdate> {
		const {store, collection, replica, timers} = this.options;
		const startedAtMs = timers.nowMs();
		if (this.#needsLatest || (replica.isLoaded && !replica.isCurrent)) {
			const listing = await store.list(collection, Freshness.latest);
			this.#needsListing = false;
			this.#needsLatest = false;
			return {listing, asOfMs: startedAtMs};
		}

		const listing = await store.list(collection, Freshness.recent);
		const batch = await store.watch(collection, listing, 0, new AbortController().signal);
		this.#needsListing = false;
		return {listing, batch, asOfMs: startedAtMs};
	}
}
