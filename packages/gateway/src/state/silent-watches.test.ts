import test from 'ava';
import {
	createMemoryLogger, FescuewickError, ManualTimerService, ResultCode, type TimerService,
} from '@fescuewick/core';
import {
	Collection, maxAnswerMs, type ChangeBatch, type StorePosition,
} from '@fescuewick/store';
import {MemoryCollectionStore} from '../testing/memory-collection-store.js';
import {EraCheckedStore} from './era-checked-store.js';
import {followedCollections} from './followed-collections.js';
import {Replica} from './replica.js';
import {StoreCircuitBreaker} from './store-circuit-breaker.js';
import {StoreEra} from './store-era.js';
import {StoreFollowers} from './store-followers.js';

/** Time after a silence that the rules disregard, and time by which a change must then be in force, in milliseconds. */
const settlingMs = 3000;
const inForceMs = 2500;
/** Part of that time in which a change reaches the VMs that do not read the store, in milliseconds. */
const relayMs = 1000;

/** A store whose open watches can go silent while new calls are answered. */
class SilenceableStore extends MemoryCollectionStore {
	readonly #open = new Map<symbol, Collection>();

	constructor(private readonly timers: TimerService) {
		super();
	}

	/** Answers none of the open watches of these collections. */
	silence(collections: readonly Collection[]): void {
		for (const [watch, collection] of this.#open) {
			if (collections.includes(collection)) {
				this.#open.delete(watch);
			}
		}
	}

	override async watch(collection: Collection, after: StorePosition, waitMs: number, signal: AbortSignal): Promise<ChangeBatch> {
		const watch = Symbol(collection);
		this.#open.set(watch, collection);
		return new Promise((resolve, reject) => {
			const answer = (batch: ChangeBatch) => {
				if (this.#open.delete(watch)) {
					resolve(batch);
				}
			};

			this.timers.after(waitMs, () => {
				answer({changes: [], ...after});
			});
			this.timers.after(waitMs + maxAnswerMs, () => {
				reject(new FescuewickError(ResultCode.storeTimeout, 'no answer'));
			});
			void this.#relay(async () => super.watch(collection, after, waitMs, signal), answer, reject);
		});
	}

	async #relay(watch: () => Promise<ChangeBatch>, answer: (batch: ChangeBatch) => void, reject: (error: unknown) => void): Promise<void> {
		try {
			answer(await watch());
		} catch (error) {
			reject(error);
		}
	}
}

/** Follows all collections as a gateway does, with watches that wait as long as `random` in [0, 1) makes them. */
function followAll(random: number) {
	const timers = new ManualTimerService();
	const store = new SilenceableStore(timers);
	const logger = createMemoryLogger([]);
	const breaker = new StoreCircuitBreaker({timers, logger, random: () => random});
	const replicas = Object.fromEntries(Object.values(Collection).map(collection => [collection, new Replica()])) as Record<Collection, Replica>;
	const followers = new StoreFollowers({
		store: new EraCheckedStore(store, new StoreEra()), replicas, breaker, timers, logger, random: () => random, readerRank: () => 0, inForceMs: () => inForceMs, onChecked: () => undefined,
	});
	followers.run();
	return {
		timers, store, replicas, followers, breaker,
	};
}

const silences: Record<string, readonly Collection[]> = {
	'all open watches': followedCollections,
	'the open watches of configurations': [Collection.configurations],
	'the open watches of backend servers': [Collection.backends],
	'the open watches of evacuations': [Collection.evacuations],
};

for (const [name, silenced] of Object.entries(silences)) {
	test(`changes are known in time after ${name} went silent`, async t => {
		// Guards against a withdrawn key that works, and a server that left and is used, for as long as all watches wait on silent connections.
		for (const random of [0, 0.5, 0.999]) {
			for (const silentAfterMs of [10, 500, 1500, 4000]) {
				const {timers, store, replicas, followers, breaker} = followAll(random);
				await timers.advance(1000);
				for (const collection of followedCollections) {
					store.set(collection, 'main', 'before');
				}

				await timers.advance(silentAfterMs);
				store.silence(silenced);
				await timers.advance(settlingMs);
				for (const collection of followedCollections) {
					store.set(collection, 'main', 'after');
				}

				await timers.advance(inForceMs - relayMs);
				for (const collection of followedCollections) {
					t.is(replicas[collection].records.get('main')?.value, 'after', `${collection}, silent ${silentAfterMs} ms after a change, random ${random}`);
				}

				t.false(breaker.isFailing);
				followers.stop();
			}
		}
	});
}

test('a backend server that left is known to have left as soon as the silence of its watch is disregarded no more', async t => {
	// Guards against a hold of entries that may have expired which begins only when a silent watch has ended.
	for (const random of [0, 0.999]) {
		const {timers, store, replicas, followers} = followAll(random);
		store.set(Collection.backends, 's1', 'ready');
		await timers.advance(100);
		store.silence(followedCollections);
		store.unset(Collection.backends, 's1');
		await timers.advance(settlingMs + 100);
		t.false(replicas[Collection.backends].records.has('s1'));
		followers.stop();
	}
});
