import {
	ResultCode, toFescuewickError, type Logger, type TimerService,
} from '@fescuewick/core';
import {
	Collection, comparePositions, Freshness, type CollectionStore, type StorePosition,
} from '@fescuewick/store';
import {readersPerRegion} from '../peers/store-readers.js';
import {followedCollections, type FollowedCollection} from './followed-collections.js';
import {type Replica} from './replica.js';
import {type StoreCircuitBreaker} from './store-circuit-breaker.js';

/**
Ages of a replica at which VMs check the store, as fractions of the time in which a change has to be in force.

Heartbeats pass a reading on within half a second, so in normal operation only the first reader of a region checks. The other readers step in when its readings stop, and then all VMs, spread so that the first of them can spare the others the call.
*/
const firstReaderFraction = 0.32;
const otherReaderFraction = 0.58;
const idleFraction = 0.62;
const idleSpreadFraction = 0.1;

/** Collection whose changes are asked for first; it has at most one record for each failure domain. */
const firstCollection = Collection.evacuations;
/** A replica that was confirmed more recently than this fraction of the age at which the VM checks is left out of a check. */
const recentFraction = 0.5;

/** Shortest pause after a failed check before a VM that does not read the store checks again, in milliseconds. A VM that the store serves again must know the changes about 5 s later, while in an outage of the store these calls grow with the fleet. */
const minRetryMs = 3000;
/** Random part of that pause, in milliseconds. */
const retrySpreadMs = 1000;

/** Dependencies of the checker; `random` returns numbers in [0, 1). */
export type StoreCheckerOptions = {
	readonly store: CollectionStore;
	readonly replicas: Readonly<Record<Collection, Replica>>;
	readonly breaker: StoreCircuitBreaker;
	readonly timers: TimerService;
	readonly logger: Logger;
	readonly random: () => number;
	/** Position of this VM in the order in which the VMs of its region read the store. */
	readonly readerRank: () => number;
	/** Time in which a change has to be in force, in milliseconds. */
	readonly inForceMs: () => number;
	/** Called when a check found changes that the watch of this VM has not delivered. */
	readonly onMissed: (collection: FollowedCollection) => void;
	/** Called when a check out of turn has succeeded or one has found changes, so that peers are told at once. */
	readonly onChecked: () => void;
	/** Called when a check has succeeded after the store did not answer; watches from before may wait on silent connections. */
	readonly onRegained: () => void;
};

/**
Asks the store for changes when nobody has shown for too long that the replicas of this VM are complete.

The store's revision counts the changes of all collections, so while nothing changes one answer confirms all replicas.

A watch that waits says nothing about its connection or about the VM that waits. Therefore the time for which a VM acts on its state is bounded by readings of the store that are known to it, and not by the waits of others.
*/
export class StoreChecker {
	readonly #caller = Symbol('checker');
	#isStopped = false;
	#wake: (() => void) | undefined;
	#idleThreshold: number;
	#notBeforeMs = Number.NEGATIVE_INFINITY;

	constructor(private readonly options: StoreCheckerOptions) {
		this.#idleThreshold = this.#drawIdleThreshold();
	}

	/** Runs until `stop`. */
	async run(): Promise<void> {
		const {breaker} = this.options;
		while (!this.#isStopped) {
			await this.#waitUntilDue();
			await breaker.waitForTurn(this.#caller);
			if (this.#isStopped) {
				breaker.succeeded(this.#caller);
			} else if (breaker.isFailing || this.#dueInMs() <= 0) {
				await this.#check();
			}
		}
	}

	stop(): void {
		this.#isStopped = true;
		this.#wake?.();
	}

	get #isReader(): boolean {
		return this.options.readerRank() < readersPerRegion;
	}

	/** Age of the oldest replica at which this VM checks the store, in milliseconds. */
	get #maxAgeMs(): number {
		const {readerRank, inForceMs} = this.options;
		const otherFraction = this.#isReader ? otherReaderFraction : this.#idleThreshold;
		return inForceMs() * (readerRank() === 0 ? firstReaderFraction : otherFraction);
	}

	/** Time as of which all replicas are known to be complete, in milliseconds. */
	get #confirmedAtMs(): number {
		return Math.min(...followedCollections.map(collection => this.options.replicas[collection].confirmedAtMs));
	}

	#drawIdleThreshold(): number {
		return idleFraction + (this.options.random() * idleSpreadFraction);
	}

	/** Time until the next check, in milliseconds; infinite while a replica has not been loaded. */
	#dueInMs(): number {
		const {replicas, timers} = this.options;
		if (!followedCollections.every(collection => replicas[collection].isLoaded)) {
			return Number.POSITIVE_INFINITY;
		}

		const dueAtMs = this.#confirmedAtMs + this.#maxAgeMs;
		return Math.max(dueAtMs, this.#isReader ? Number.NEGATIVE_INFINITY : this.#notBeforeMs) - timers.nowMs();
	}

	async #waitUntilDue(): Promise<void> {
		const {timers, inForceMs} = this.options;
		for (let dueInMs = this.#dueInMs(); dueInMs > 0 && !this.#isStopped; dueInMs = this.#dueInMs()) {
			// The rank of this VM may change meanwhile, and with it the time of the next check.
			const sleepMs = Math.min(dueInMs, inForceMs() * firstReaderFraction);
			await new Promise<void>(resolve => {
				const cancel = timers.after(sleepMs, resolve);
				this.#wake = () => {
					cancel();
					resolve();
				};
			});
		}

		this.#wake = undefined;
	}

	async #check(): Promise<void> {
		const {replicas, breaker, timers, logger, random, readerRank} = this.options;
		const startedAtMs = timers.nowMs();
		const ageMs = Math.round(startedAtMs - this.#confirmedAtMs);
		try {
			const missed = [await this.#readChanges(firstCollection, startedAtMs)];
			this.#onAnswer();
			const {position} = replicas[firstCollection];
			const others = this.#toRead(position, startedAtMs);
			missed.push(...await Promise.all(others.map(async collection => this.#readChanges(collection, startedAtMs))));
			if (this.#isStopped) {
				return;
			}

			this.#idleThreshold = this.#drawIdleThreshold();
			this.#report({ageMs, revision: position.revision, hasMissedChanges: missed.includes(true)});
		} catch (error) {
			const {message} = toFescuewickError(error);
			this.#notBeforeMs = timers.nowMs() + minRetryMs + (random() * retrySpreadMs);
			logger.info({
				event: 'check-failed', rank: readerRank(), ageMs, reason: message,
			}, 'the store did not answer a check');
			breaker.failed(this.#caller, message);
		}
	}

	#onAnswer(): void {
		const {breaker, onRegained} = this.options;
		const wasFailing = breaker.isFailing;
		breaker.succeeded(this.#caller);
		if (wasFailing) {
			onRegained();
		}
	}

	/** Regular checks of the first reader are neither logged nor told to peers at once. */
	#report(result: {readonly ageMs: number; readonly revision: number; readonly hasMissedChanges: boolean}): void {
		const {logger, readerRank, onChecked} = this.options;
		if (readerRank() > 0 || result.hasMissedChanges) {
			logger.info({event: 'store-checked', rank: readerRank(), ...result}, 'checked whether the store has changes that this VM lacks');
			onChecked();
		}
	}

	/** Confirms the replicas that have all changes up to a position of the store; returns the collections to read because the store may have changes that their replicas lack. */
	#toRead(position: StorePosition, startedAtMs: number): FollowedCollection[] {
		const {replicas} = this.options;
		const recentAtMs = startedAtMs - (this.#maxAgeMs * recentFraction);
		for (const collection of followedCollections) {
			if (comparePositions(replicas[collection].position, position) >= 0) {
				replicas[collection].confirmRead(startedAtMs);
			}
		}

		return followedCollections.filter(collection => !replicas[collection].isCurrent || replicas[collection].confirmedAtMs < recentAtMs);
	}

	/** Reads the changes that a replica lacks; returns whether there were any. */
	async #readChanges(collection: FollowedCollection, startedAtMs: number): Promise<boolean> {
		const {replicas, onMissed} = this.options;
		const replica = replicas[collection];
		const apply = await this.#call(collection);
		const {revisions: {changed}, position: {era}} = replica;
		replica.confirmRead(startedAtMs, apply());
		if (replica.revisions.changed === changed && replica.position.era === era) {
			return false;
		}

		onMissed(collection);
		return true;
	}

	/** Reads the changes of a collection, or all of it if the store has dropped its history; returns a function that applies the answer and returns its era. */
	async #call(collection: FollowedCollection): Promise<() => number> {
		const {store, replicas} = this.options;
		const replica = replicas[collection];
		try {
			const batch = await store.watch(collection, replica.position, 0, new AbortController().signal);
			return () => {
				replica.applyChanges(batch);
				return batch.era ?? 0;
			};
		} catch (error) {
			if (toFescuewickError(error).code !== ResultCode.storeHistoryGone) {
				throw error;
			}

			const listing = await store.list(collection, Freshness.latest);
			return () => {
				replica.applyListing(listing);
				return listing.era ?? 0;
			};
		}
	}
}
