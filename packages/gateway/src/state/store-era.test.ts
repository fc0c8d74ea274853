import test from 'ava';
import {
	createMemoryLogger, ManualTimerService, ResultCode, settle, toFescuewickError,
} from '@fescuewick/core';
import {
	Collection, Freshness, type ChangeBatch, type Listing,
} from '@fescuewick/store';
import {MemoryCollectionStore} from '../testing/memory-collection-store.js';
import {EraCheckedStore} from './era-checked-store.js';
import {followedCollections} from './followed-collections.js';
import {Replica} from './replica.js';
import {StoreCircuitBreaker} from './store-circuit-breaker.js';
import {StoreEra, type EraRise} from './store-era.js';
import {StoreFollowers} from './store-followers.js';

const {signal} = new AbortController();

async function rejectionCode(call: Promise<unknown>): Promise<ResultCode | undefined> {
	try {
		await call;
		return undefined;
	} catch (error) {
		return toFescuewickError(error).code;
	}
}

function observeRises(era: StoreEra): EraRise[] {
	const rises: EraRise[] = [];
	era.events.on('raised', rise => {
		rises.push(rise);
	});
	return rises;
}

test('the first era that a VM sees is no rise, later ones rise with both positions, and lower ones change nothing', async t => {
	// Guards against a VM that lists everything again after each start, and against one that goes back with a late answer.
	const era = new StoreEra();
	const rises = observeRises(era);
	era.observePeer({era: 0, revision: -1}, 'peer');
	era.observeAnswer({era: 4, revision: 10});
	era.observeAnswer({era: 4, revision: 30});
	era.observeAnswer({era: 4, revision: 20});
	era.observePeer({era: 6, revision: 12}, 'peer');
	era.observeAnswer({era: 5, revision: 40});
	era.observePeer({era: 3, revision: 90}, 'peer');
	await settle();
	t.deepEqual(rises, [{from: {era: 4, revision: 30}, to: {era: 6, revision: 12}, source: 'peer'}]);
	t.is(era.value, 6);
});

test('a store that sends no era is followed as one of era 0, and its answers are counted', async t => {
	const era = new StoreEra();
	const rises = observeRises(era);
	const store = new EraCheckedStore(new MemoryCollectionStore(), era);
	await store.list(Collection.backends, Freshness.latest);
	await store.watch(Collection.backends, {revision: 1}, 0, signal);
	await settle();
	t.is(era.value, 0);
	t.is(era.answersWithoutEra, 2);
	t.deepEqual(rises, []);
});

test('answers of an era that is over are refused, and a watch from an earlier era has no history', async t => {
	// Guards against changes that are applied on top of other content because the store has assigned the revisions between again.
	const shared = new MemoryCollectionStore();
	shared.era = 1;
	shared.set(Collection.backends, 's1', 1);
	const era = new StoreEra();
	const store = new EraCheckedStore(shared, era);
	await store.list(Collection.backends, Freshness.latest);
	shared.restore(shared.copy());
	shared.set(Collection.backends, 's2', 1);
	t.is(await rejectionCode(store.watch(Collection.backends, {revision: 2, era: 1}, 0, signal)), ResultCode.storeHistoryGone);
	t.is(era.value, 2);
	const {changes} = await store.watch(Collection.backends, {revision: 2, era: 2}, 0, signal);
	t.is(changes.length, 1);
	shared.era = 1;
	t.is(await rejectionCode(store.list(Collection.backends, Freshness.latest)), ResultCode.storeUnavailable);
	t.is(await rejectionCode(store.watch(Collection.backends, {revision: 2, era: 2}, 0, signal)), ResultCode.storeUnavailable);
	shared.era = undefined;
	t.is(await rejectionCode(store.list(Collection.backends, Freshness.latest)), ResultCode.storeUnavailable);
	t.is(era.value, 2);
});

/** A store whose answers can be delayed. */
class DelayedStore extends MemoryCollectionStore {
	delayMs = 0;

	constructor(private readonly timers: ManualTimerService) {
		super();
	}

	override async list(collection: Collection, freshness: Freshness): Promise<Listing> {
		return this.#delay(await super.list(collection, freshness));
	}

	override async watch(...parameters: Parameters<MemoryCollectionStore['watch']>): Promise<ChangeBatch> {
		return this.#delay(await super.watch(...parameters));
	}

	async #delay<Answer>(answer: Answer): Promise<Answer> {
		if (this.delayMs > 0) {
			await this.timers.sleep(this.delayMs);
		}

		return answer;
	}
}

/** Follows all collections of a store of era 1 as a gateway does. */
function followAll() {
	const timers = new ManualTimerService();
	const shared = new DelayedStore(timers);
	shared.era = 1;
	const era = new StoreEra();
	const lines: Array<Record<string, unknown>> = [];
	const logger = createMemoryLogger(lines);
	const breaker = new StoreCircuitBreaker({timers, logger, random: () => 0.5});
	const replicas = Object.fromEntries(Object.values(Collection).map(collection => [collection, new Replica(() => timers.nowMs(), era)])) as Record<Collection, Replica>;
	const followers = new StoreFollowers({
		store: new EraCheckedStore(shared, era), replicas, breaker, timers, logger, random: () => 0.5, readerRank: () => 0, inForceMs: () => 2500, onChecked: () => undefined,
	});
	followers.run();
	return {
		timers, shared, era, replicas, followers, breaker, lines,
	};
}

test('a late answer of the lower era changes nothing', async t => {
	// Guards against an answer from before the restore that replaces or confirms the content of after it.
	const {timers, shared, era, replicas: {[Collection.backends]: replica}, followers} = followAll();
	await timers.advance(100);
	const copy = shared.copy();
	shared.delayMs = 400;
	shared.set(Collection.backends, 'lost', 1);
	await timers.advance(100);
	era.observePeer({era: 2, revision: 1}, 'peer');
	replica.applyListing({records: [{name: 'kept', revision: 1, value: 1}], revision: 1, era: 2});
	const {confirmedAtMs} = replica;
	await timers.advance(600);
	t.deepEqual([...replica.records.keys()], ['kept']);
	t.deepEqual(replica.position, {era: 2, revision: 1});
	t.is(replica.confirmedAtMs, confirmedAtMs);
	shared.delayMs = 0;
	shared.restore(copy);
	shared.set(Collection.backends, 'next', 1);
	await timers.advance(3000);
	t.deepEqual([...replica.records.keys()], ['kept', 'next']);
	followers.stop();
});

test('two eras in quick succession end in the content of the higher one', async t => {
	const {timers, shared, era, replicas, followers} = followAll();
	await timers.advance(100);
	const copy = shared.copy();
	for (const name of ['first', 'second', 'third']) {
		shared.restore(copy);
		for (const collection of followedCollections) {
			shared.set(collection, name, 1);
		}

		await timers.advance(30);
	}

	await timers.advance(3000);
	t.is(era.value, 4);
	for (const collection of followedCollections) {
		t.deepEqual([...replicas[collection].records.keys()], ['third']);
		t.true(replicas[collection].isCurrent);
	}

	followers.stop();
});

test('a restore costs a reader one listing of each collection', async t => {
	// Guards against listings in a loop, and by each of the checker, the followers and the watches.
	const {timers, shared, followers, era} = followAll();
	await timers.advance(1000);
	shared.calls.length = 0;
	shared.restore(shared.copy());
	await timers.advance(3000);
	t.is(era.value, 2);
	for (const collection of followedCollections) {
		const listings = shared.calls.filter(call => call === `list ${collection}`).length;
		t.true(listings >= 1 && listings <= 2, `${listings} listings of ${collection}`);
	}

	followers.stop();
});

test('the old content stays in use while a restored store is away again', async t => {
	// Guards against a VM without servers during an outage that follows the restore.
	const {timers, shared, era, replicas: {[Collection.backends]: replica}, followers, breaker} = followAll();
	shared.set(Collection.backends, 's1', 1);
	await timers.advance(100);
	const copy = shared.copy();
	shared.set(Collection.backends, 's2', 1);
	await timers.advance(100);
	shared.setDown(true);
	shared.restore(copy);
	era.observePeer({era: 2, revision: 1}, 'peer');
	const {confirmedAtMs} = replica;
	await timers.advance(5000);
	t.deepEqual([...replica.records.keys()], ['s1', 's2']);
	t.is(replica.confirmedAtMs, confirmedAtMs);
	t.true(breaker.isFailing);
	shared.setDown(false);
	await timers.advance(2000);
	t.deepEqual([...replica.records.keys()], ['s1']);
	t.true(replica.confirmedAtMs > confirmedAtMs);
	followers.stop();
});

test('a reader that hears of a restore lists the store at once, also if the store has reached the known revision again', async t => {
	// Guards against a watch that waits for changes after a revision that was given out again, until a check finds out.
	const {timers, shared, era, replicas: {[Collection.backends]: replica}, followers} = followAll();
	const copy = shared.copy();
	shared.set(Collection.backends, 'lost', 1);
	await timers.advance(100);
	await timers.advance(600);
	shared.restore(copy);
	shared.set(Collection.backends, 'next', 1);
	await timers.advance(20);
	t.deepEqual([...replica.records.keys()], ['lost'], 'its watch waits');
	era.observePeer({era: 2, revision: 2}, 'peer');
	await settle();
	await timers.advance(60);
	t.deepEqual([...replica.records.keys()], ['next']);
	followers.stop();
});
