import test from 'ava';
import {createMemoryLogger, ManualTimerService} from '@fescuewick/core';
import {Collection} from '@fescuewick/store';
import {MemoryCollectionStore} from '../testing/memory-collection-store.js';
import {RestrictedStore, StoreTreatment} from '../testing/restricted-store.js';
import {EraCheckedStore} from './era-checked-store.js';
import {followedCollections} from './followed-collections.js';
import {Replica} from './replica.js';
import {StoreChecker} from './store-checker.js';
import {StoreCircuitBreaker} from './store-circuit-breaker.js';
import {StoreEra} from './store-era.js';

const inForceMs = 2500;

/** A checker of a VM of this rank whose replicas are loaded and whose watches deliver nothing. */
async function check(readerRank: number) {
	const timers = new ManualTimerService();
	const shared = new MemoryCollectionStore();
	shared.era = 1;
	const era = new StoreEra();
	const store = new RestrictedStore(shared, timers);
	const lines: Array<Record<string, unknown>> = [];
	const logger = createMemoryLogger(lines);
	const breaker = new StoreCircuitBreaker({timers, logger, random: () => 0.5});
	const replicas = Object.fromEntries(Object.values(Collection).map(collection => [collection, new Replica(() => timers.nowMs(), era)])) as Record<Collection, Replica>;
	const missed: Collection[] = [];
	let toldPeers = 0;
	for (const collection of followedCollections) {
		replicas[collection].applyListing({records: [], revision: shared.revision, era: 1});
		replicas[collection].confirmRead(timers.nowMs());
	}

	const checker = new StoreChecker({
		store: new EraCheckedStore(store, era), replicas, breaker, timers, logger, random: () => 0.5, readerRank: () => readerRank, inForceMs: () => inForceMs,
		onMissed(collection) {
			missed.push(collection);
		},
		onChecked() {
			toldPeers++;
		},
		onRegained: () => undefined,
	});
	void checker.run();
	return {
		timers, shared, era, store, replicas, checker, missed, lines, breaker, toldPeers: () => toldPeers,
	};
}

/** Lets a peer show every 500 ms that the replicas of a VM are complete. */
async function confirmFor(durationMs: number, {timers, replicas, shared}: Awaited<ReturnType<typeof check>>): Promise<void> {
	for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 500) {
		for (const collection of followedCollections) {
			replicas[collection].confirmPeerReading({changedBy: shared.revision, ageMs: 800});
		}

		await timers.advance(500);
	}
}

test('only the first reader of a region checks a store without changes, by one call at a time', async t => {
	// Guards against calls that grow with the readers, the collections or the VMs.
	const first = await check(0);
	await first.timers.advance(8000);
	t.is(first.shared.calls.length, 10, `calls: ${first.shared.calls.join(', ')}`);
	t.is(first.toldPeers(), 0);
	first.checker.stop();
	for (const rank of [1, 2, 3, Number.POSITIVE_INFINITY]) {
		const other = await check(rank);
		await confirmFor(8000, other);
		t.deepEqual(other.shared.calls, [], `rank ${rank}`);
		other.checker.stop();
	}
});

test('changes that no watch delivers are known in time at a VM of any rank, and its peers are told', async t => {
	// Guards against state that counts as current because the waits of this VM or of its peers have not ended.
	for (const rank of [0, 1, 2, 3, 50, Number.POSITIVE_INFINITY]) {
		for (const confirmedForMs of [0, 5000]) {
			const vm = await check(rank);
			await confirmFor(confirmedForMs, vm);
			vm.shared.set(Collection.configurations, 'main', 'after');
			vm.shared.set(Collection.evacuations, 'north-1', {});
			await vm.timers.advance(inForceMs * 0.8);
			t.is(vm.replicas[Collection.configurations].records.get('main')?.value, 'after', `rank ${rank}`);
			t.true(vm.replicas[Collection.evacuations].records.has('north-1'));
			t.deepEqual(vm.missed.toSorted(), [Collection.configurations, Collection.evacuations]);
			t.true(vm.toldPeers() > 0);
			vm.checker.stop();
		}
	}
});

test('a reading of a peer that may lack a removal does not confirm a replica', async t => {
	// Guards against a VM that keeps using what was removed before its peer listed the store for the first time.
	const vm = await check(50);
	const {timers, shared, replicas: {[Collection.backends]: replica}, checker} = vm;
	shared.set(Collection.backends, 's1', 'ready');
	replica.applyChanges({changes: [{record: {name: 's1', revision: 2, value: 'ready'}, isRemoved: false}], revision: 2, era: 1});
	shared.unset(Collection.backends, 's1');
	const peer = new Replica(() => timers.nowMs());
	peer.applyListing({records: [], revision: shared.revision, era: 1});
	for (let elapsedMs = 0; elapsedMs < inForceMs; elapsedMs += 100) {
		peer.confirmRead(timers.nowMs());
		replica.confirmPeerReading(peer.reading!);
		await timers.advance(100);
	}

	t.false(replica.records.has('s1'));
	checker.stop();
});

test('a check lists a collection whose history the store has dropped', async t => {
	const {timers, shared, replicas, checker, missed} = await check(0);
	shared.set(Collection.backends, 's1', 'ready');
	await timers.advance(1000);
	shared.unset(Collection.backends, 's1');
	shared.dropHistory();
	await timers.advance(1000);
	t.false(replicas[Collection.backends].records.has('s1'));
	t.deepEqual(missed, [Collection.backends, Collection.backends]);
	checker.stop();
});

for (const treatment of [StoreTreatment.silent, StoreTreatment.refused]) {
	test(`a VM that does not read a store that is ${treatment} for all asks rarely, and soon enough when it is served again`, async t => {
		// Guards against an outage in which every VM calls the store all the time, and against a VM that is served again and does not ask.
		const {timers, shared, store, replicas, checker, breaker, lines} = await check(50);
		store.treatment = treatment;
		await timers.advance(30_000);
		const failed = lines.filter(({event}) => event === 'check-failed').length;
		t.true(failed >= 1 && failed <= 10, `${failed} calls in 30 s`);
		t.true(breaker.isFailing);
		store.treatment = StoreTreatment.served;
		shared.set(Collection.configurations, 'main', 'after');
		await timers.advance(5000);
		t.is(replicas[Collection.configurations].records.get('main')?.value, 'after');
		t.false(breaker.isFailing);
		checker.stop();
	});
}

test('a restore that no watch and no peer tells of is known in time at a VM of any rank', async t => {
	// Guards against replicas that count as complete because the store has reached their revisions again.
	for (const rank of [0, 1, 3, Number.POSITIVE_INFINITY]) {
		const vm = await check(rank);
		const {timers, shared, era, replicas, checker} = vm;
		const copy = shared.copy();
		for (const collection of followedCollections) {
			shared.set(collection, 'lost', 1);
		}

		await timers.advance(inForceMs * 0.8);
		shared.restore(copy);
		for (const collection of followedCollections) {
			shared.set(collection, 'next', 1);
		}

		await timers.advance(inForceMs * 0.8);
		t.is(era.value, 2);
		for (const collection of followedCollections) {
			t.deepEqual([...replicas[collection].records.keys()], ['next'], `${collection}, rank ${rank}`);
		}

		checker.stop();
	}
});

test('a check that shows a restore reads all collections, also those that peers confirmed a moment ago', async t => {
	// Guards against replicas from before the restore that stay as long as they count as recently confirmed.
	const {timers, shared, replicas, checker} = await check(0);
	const copy = shared.copy();
	for (let elapsedMs = 0; elapsedMs < inForceMs; elapsedMs += 100) {
		for (const collection of [Collection.configurations, Collection.backends]) {
			replicas[collection].confirmPeerReading({changedBy: 1, ageMs: 0}, 1);
		}

		if (elapsedMs === 500) {
			shared.restore(copy);
			shared.set(Collection.configurations, 'main', 'next');
			shared.set(Collection.backends, 's1', 'next');
		}

		await timers.advance(100);
		if (replicas[Collection.evacuations].position.era === 2) {
			break;
		}
	}

	await timers.advance(0);
	t.deepEqual([Collection.configurations, Collection.backends].map(collection => replicas[collection].position.era), [2, 2]);
	checker.stop();
});
