import test from 'ava';
import {createMemoryLogger, ManualTimerService, settle} from '@fescuewick/core';
import {Collection} from '@fescuewick/store';
import {MemoryCollectionStore} from '../testing/memory-collection-store.js';
import {Replica} from './replica.js';
import {StoreFollower} from './store-follower.js';
import {StoreCircuitBreaker} from './store-circuit-breaker.js';

function follow(collections: readonly Collection[] = [Collection.backends], store = new MemoryCollectionStore()) {
	const timers = new ManualTimerService();
	const lines: Array<Record<string, unknown>> = [];
	const logger = createMemoryLogger(lines);
	const breaker = new StoreCircuitBreaker({timers, logger, random: () => 0.5});
	const replicas = collections.map(() => new Replica());
	const followers = collections.map((collection, index) => new StoreFollower({
		store, collection, replica: replicas[index], breaker, timers, logger, watchWaitMs: () => 8000,
	}));
	for (const follower of followers) {
		void follower.run();
	}

	return {
		timers, store, breaker, replicas, followers, lines,
	};
}

test('a follower lists once and then watches for changes', async t => {
	const {store, replicas: [replica], timers, followers: [follower]} = follow();
	await timers.advance(10);
	store.set(Collection.backends, 'a', 'first');
	await timers.advance(100);
	store.set(Collection.backends, 'a', 'second');
	await timers.advance(100);
	t.is(replica.records.get('a')?.value, 'second');
	t.is(store.calls.filter(call => call.startsWith('list')).length, 1);
	follower.stop();
});

test('a series of changes is read in batches, a single change at once', async t => {
	// Guards against hundreds of calls while the servers of a large fleet register, and against a slow reaction to a single change afterwards.
	const {store, replicas: [replica], timers, followers: [follower]} = follow();
	await timers.advance(1000);
	store.calls.length = 0;
	for (let index = 0; index < 250; index++) {
		store.set(Collection.backends, `s${index}`, 1);
		await timers.advance(20);
	}

	t.true(store.calls.length <= 50, `${store.calls.length} calls in 5 s`);
	await timers.advance(400);
	t.is(replica.records.size, 250);
	await timers.advance(1000);
	for (const name of ['first', 'second']) {
		store.set(Collection.backends, name, 1);
		await timers.advance(100);
		t.true(replica.records.has(name));
	}

	follower.stop();
});

test('a follower lists again after the store dropped its history, and detects removals in the gap', async t => {
	// Guards against a server that left in the gap and stays in use.
	const {store, replicas: [replica], timers, followers: [follower]} = follow();
	store.set(Collection.backends, 'a', 1);
	store.set(Collection.backends, 'b', 1);
	await timers.advance(100);
	store.setDown(true);
	await settle();
	await timers.advance(100);
	store.unset(Collection.backends, 'a');
	store.dropHistory();
	store.setDown(false);
	await timers.advance(3000);
	t.deepEqual([...replica.records.keys()], ['b']);
	follower.stop();
});

test('while the store is down, all loops together make about one call per backoff', async t => {
	// Guards against a call by each loop: refused calls to the store are billed as well.
	const {store, timers, followers, breaker} = follow([Collection.backends, Collection.configurations, Collection.evacuations]);
	await timers.advance(100);
	store.setDown(true);
	await settle();
	await timers.advance(1000);
	store.calls.length = 0;
	await timers.advance(10_000);
	t.true(breaker.isFailing);
	t.true(store.calls.length <= 12, `${store.calls.length} calls in 10 s`);
	store.setDown(false);
	await timers.advance(2000);
	t.false(breaker.isFailing);
	for (const follower of followers) {
		follower.stop();
	}
});

test('a follower that is not reading makes no calls, and resumes from its last revision when it reads again', async t => {
	// Guards against store calls by every VM, and against a listing each time another VM becomes a reader.
	const {store, replicas: [replica], timers, followers: [follower]} = follow();
	store.set(Collection.backends, 'a', 1);
	await timers.advance(100);
	follower.setReading(false);
	await settle();
	store.calls.length = 0;
	store.set(Collection.backends, 'b', 1);
	await timers.advance(20_000);
	t.deepEqual(store.calls, []);
	t.deepEqual([...replica.records.keys()], ['a']);
	follower.setReading(true);
	await timers.advance(100);
	t.deepEqual([...replica.records.keys()], ['a', 'b']);
	t.false(store.calls.some(call => call.startsWith('list')));
	follower.stop();
});

test('a replica that was never loaded is listed also by a VM that is not a reader', async t => {
	const {store, replicas: [replica], timers, followers: [follower]} = follow();
	follower.setReading(false);
	store.set(Collection.backends, 'a', 1);
	await timers.advance(100);
	t.true(replica.isLoaded);
	follower.stop();
});

test('a VM that the store refused retries at long intervals while others read', async t => {
	// Guards against a VM that counts as refused forever, and against constant calls to a store that refuses them.
	const {store, timers, breaker, followers: [follower]} = follow();
	await timers.advance(100);
	store.setDown(true);
	await timers.advance(1000);
	t.true(breaker.isFailing);
	follower.setReading(false);
	await timers.advance(3000);
	store.calls.length = 0;
	await timers.advance(9000);
	t.true(store.calls.length <= 1, `${store.calls.length} calls in 9 s`);
	store.setDown(false);
	await timers.advance(12_000);
	t.false(breaker.isFailing);
	follower.stop();
});

test('a stale first listing is brought up to date before it is applied', async t => {
	// Guards against a VM that starts with a configuration that was replaced seconds before.
	const store = new MemoryCollectionStore();
	store.set(Collection.configurations, 'main', 'old');
	store.staleListing = {collection: Collection.configurations, listing: {records: [{name: 'main', revision: store.revision, value: 'old'}], revision: store.revision}};
	store.set(Collection.configurations, 'main', 'new');
	const {replicas: [replica], timers, followers: [follower]} = follow([Collection.configurations], store);
	await replica.events.once('change');
	t.is(replica.records.get('main')?.value, 'new');
	await timers.advance(100);
	t.deepEqual(store.calls, ['list configurations', 'watch configurations', 'watch configurations']);
	follower.stop();
});

test('a stale first listing without history is replaced by the latest listing', async t => {
	const store = new MemoryCollectionStore();
	store.set(Collection.backends, 'a', 1);
	store.staleListing = {collection: Collection.backends, listing: {records: [], revision: 1}};
	store.set(Collection.backends, 'b', 1);
	store.dropHistory();
	const {replicas: [replica], timers, followers: [follower]} = follow([Collection.backends], store);
	await settle();
	await timers.advance(500);
	t.deepEqual([...replica.records.keys()], ['a', 'b']);
	follower.stop();
});
