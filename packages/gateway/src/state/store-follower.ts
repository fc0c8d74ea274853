import {
	ResultCode, toFescuewickError, type Logger, type TimerService,
} from '@fescuewick/core';
import {
	type ChangeBatch, type Collection, type CollectionStore, type Listing,
} from '@fescuewick/store';
import {type Replica} from './replica.js';
import {type StoreGate} from './store-gate.js';

/** Shortest time between two watches that each bring changes, in milliseconds; joins changes in quick succession into one call. */
const watchGapMs = 40;
/** Pause before listing again, in milliseconds; a store that keeps dropping its history must not be called without end. */
const relistPauseMs = 50;
/** A watch that failed sooner than this after its start counts as a failure of the store rather than as a cut wait. */
const cutWatchMs = 300;

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

type Update = {readonly listing: Listing} | {readonly batch: ChangeBatch};

/** Keeps a replica up to date from the store: lists once, then watches; lists again when the store has dropped the history. */
export class StoreFollower {
	readonly #caller = Symbol('follower');
	#needsListing = true;
	#stopped = false;
	#watch: AbortController | undefined;

	constructor(private readonly options: StoreFollowerOptions) {}

	/** Runs until `stop`. */
	async run(): Promise<void> {
		const {replica, collection, logger} = this.options;
		for await (const update of this.#updates()) {
			if ('listing' in update) {
				replica.applyListing(update.listing);
			} else {
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

	stop(): void {
		this.#stopped = true;
		this.#watch?.abort();
	}

	async * #updates(): AsyncGenerator<Update> {
		const {gate, collection, logger, timers} = this.options;
		while (!this.#stopped) {
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

				if (update !== undefined && 'batch' in update && update.batch.changes.length > 0) {
					await timers.sleep(watchGapMs);
				}
			} catch (error) {
				const {code, message} = toFescuewickError(error);
				if (code === ResultCode.storeHistoryGone) {
					logger.info({event: 'history-gone', collection}, 'the store dropped its history, listing again');
					gate.succeeded(this.#caller);
					this.#needsListing = true;
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

	async #call(): Promise<Update | undefined> {
		const {store, collection, replica, watchWaitMs} = this.options;
		if (this.#needsListing && !(replica.isLoaded && this.options.gate.isFailing)) {
			const listing = await store.list(collection);
			this.#needsListing = false;
			return {listing};
		}

		const controller = new AbortController();
		this.#watch = controller;
		const {valid} = replica.revisions;
		try {
			// The first call after a failure must not wait, because its outcome is what the others wait for.
			const batch = await store.watch(collection, valid, this.options.gate.isFailing ? 0 : watchWaitMs(), controller.signal);
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
}
