import {type Collection} from '@fescuewick/store';
import {type EraCheckedStore} from './era-checked-store.js';
import {followedCollections, type FollowedCollection} from './followed-collections.js';
import {type Replica} from './replica.js';
import {StoreChecker, type StoreCheckerOptions} from './store-checker.js';
import {StoreFollower, type StoreFollowerOptions} from './store-follower.js';
import {watchWaitMs} from './watch-wait.js';

/** Dependencies of the followers; `random` returns numbers in [0, 1). */
export type StoreFollowersOptions = Pick<StoreFollowerOptions, 'breaker' | 'timers' | 'logger'> & Pick<StoreCheckerOptions, 'readerRank' | 'inForceMs' | 'onChecked'> & {
	readonly store: EraCheckedStore;
	readonly replicas: Readonly<Record<Collection, Replica>>;
	readonly random: () => number;
};

/** The followers of all collections of a store, and the checker that bounds how long their silence is taken for the absence of changes. */
export class StoreFollowers implements Iterable<StoreFollower> {
	readonly #followers: ReadonlyMap<Collection, StoreFollower>;
	readonly #checker: StoreChecker;
	readonly #unsubscribe: () => void;

	constructor({replicas, random, readerRank, inForceMs, onChecked, ...options}: StoreFollowersOptions) {
		this.#followers = new Map(followedCollections.map(collection => [collection, new StoreFollower({
			...options,
			collection,
			replica: replicas[collection],
			watchWaitMs: () => watchWaitMs(random()),
			onWatchCut: () => {
				this.#restartOthers(collection);
			},
		})]));
		this.#checker = new StoreChecker({
			...options,
			replicas,
			random,
			readerRank,
			inForceMs,
			onChecked,
			onMissed: collection => {
				this.restartWatch(collection);
			},
			onRegained: () => {
				this.#restartAll();
			},
		});
		this.#unsubscribe = options.store.era.events.on('raised', () => {
			this.#restartAll();
		});
	}

	/** Starts all followers and the checker. */
	run(): void {
		void this.#checker.run();
		for (const follower of this) {
			void follower.run();
		}
	}

	/** Restarts the watch of a collection, as after its replica was updated from a peer. */
	restartWatch(collection: Collection): void {
		this.#followers.get(collection)?.restartWatch();
	}

	stop(): void {
		this.#unsubscribe();
		this.#checker.stop();
		for (const follower of this) {
			follower.stop();
		}
	}

	[Symbol.iterator](): Iterator<StoreFollower> {
		return this.#followers.values();
	}

	#restartAll(): void {
		for (const follower of this) {
			follower.restartWatch();
		}
	}

	/** Restarts the watches of the other collections, whose connections may have gone silent as well. */
	#restartOthers(cutCollection: FollowedCollection): void {
		for (const [collection, follower] of this.#followers) {
			if (collection !== cutCollection) {
				follower.restartWatch();
			}
		}
	}
}
