import {
	ResultCode, toFescuewickError, type Logger, type TimerService,
} from '@fescuewick/core';
import {
	Freshness, type ChangeBatch, type Collection, type CollectionStore, type Listing,
} from '@fescuewick/store';
import {type Replica} from './replica.js';
import {type StoreGate} from './store-gate.js';

/** Shortest time between two watches that each bring changes, in milliseconds; joins changes in quick succession into one call. */
const watchGapMs = 40;
/**
Longest time between two watches while changes keep coming, in milliseconds; servers that leave may be used for 2.5 s in the deployments so far, of which nearly 2 s are used up if their entries may have expired.

Where 324 servers registered within 5 s, watches every 40 ms were two thirds of all calls before the first request.
*/
const longestGapMs = 160;
/** A watch that brings changes after a longer wait than this ends a series of changes, in milliseconds. */
const seriesMs = 400;
/** Pause before listing again, in milliseconds; a store that keeps dropping its history must not be called without end. */
const relistPauseMs = 50;
/** A watch that failed sooner than this after its start counts as a failure of the store rather than as a cut wait. */
const cutWatchMs = 300;

/** A follower that does not read tries a store that refused it again after this time, in milliseconds, because nobody else finds out whether it still does. */
const refusedRetryMs = 10_000;

/** What a follower needs. */
export type StoreFollowerOptions = {
	readonly store: CollectionStore;
	readonly collection: Collection;
	readonly replica: Replica;
	readonly gate: StoreGate;
	readonly timers: TimerService;
	readonly logger: Logger;
	/** Longest wait of a watch in milliseconds, drawn for each. */
	readonly watchWaitMs: () => number;
};

type Update = {readonly listing?: Listing; readonly batch?: ChangeBatch};

/** Keeps a replica up to date from the store: lists once, then watches while this VM reads for its region; lists again when the store has dropped the history. */
export class StoreFollower {
	readonly #caller = Symbol('follower');
	#gapMs = watchGapMs;
	#needsListing = true;
	#needsLatest = false;
	#stopped = false;
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
		if (!this.options.gate.isFailing) {
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
		this.#stopped = true;
		this.#watch?.abort();
		this.#wake?.();
	}

	async * #updates(): AsyncGenerator<Update> {
		const {gate, collection, logger, timers} = this.options;
		while (!this.#stopped) {
			await this.#readingTurn();
			await gate.turn(this.#caller);
			if (this.#stopped) {
				gate.succeeded(this.#caller);
				return;
			}

			const startedAtMs = timers.nowMs();
			try {
				const update = await this.#call();
				gate.succeeded(this.#caller);
				if (update !== undefined) {
					yield update;
				}

				if (update?.batch !== undefined && update.batch.changes.length > 0) {
					this.#gapMs = timers.nowMs() - startedAtMs > seriesMs ? watchGapMs : Math.min(longestGapMs, this.#gapMs * 2);
					await timers.sleep(this.#gapMs);
				}
			} catch (error) {
				const {code, message} = toFescuewickError(error);
				if (code === ResultCode.storeHistoryGone) {
					logger.info({event: 'history-gone', collection}, 'the store dropped its history, listing again');
					gate.succeeded(this.#caller);
					this.#needsListing = true;
					this.#needsLatest = true;
					await timers.sleep(relistPauseMs);
				} else if (!this.#needsListing && code === ResultCode.storeTimeout && timers.nowMs() - startedAtMs > cutWatchMs && !gate.isFailing) {
					// A long wait that was cut or went silent says nothing about new calls.
					logger.info({event: 'watch-cut', collection, reason: message}, 'a watch was cut');
					gate.succeeded(this.#caller);
				} else {
					gate.failed(this.#caller, message);
				}
			}
		}
	}

	/** Resolves when this VM is to call the store. */
	async #readingTurn(): Promise<void> {
		const {replica, gate, timers} = this.options;
		const startedAtMs = timers.nowMs();
		while (!this.#isReading && replica.isLoaded && !this.#stopped) {
			if (gate.isFailing && timers.nowMs() - startedAtMs >= refusedRetryMs) {
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

	async #call(): Promise<Update | undefined> {
		const {store, collection, replica, watchWaitMs, gate} = this.options;
		if (this.#needsListing && !(replica.isLoaded && gate.isFailing)) {
			return this.#list();
		}

		const controller = new AbortController();
		this.#watch = controller;
		const {valid} = replica.revisions;
		try {
			// The first call after a failure must not wait, because its outcome is what the others wait for.
			const batch = await store.watch(collection, valid, gate.isFailing ? 0 : watchWaitMs(), controller.signal);
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
	async #list(): Promise<Update> {
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
