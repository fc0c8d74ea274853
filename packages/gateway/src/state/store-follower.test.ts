import test from 'ava';
import {createMemoryLogger, ManualTimerService, settle} from '@fescuewick/core';
import {Collection} from '@fescuewick/store';
import {MemoryCollectionStore} from '../testing/memory-collection-store.js';
import {Replica} from './replica.js';
import {StoreFollower} from './store-follower.js';
import {StoreGate} from './store-gate.js';

function follow(collections: readonly Collection[] = [Collection.backends]) {
	const timers = new ManualTimerService();
	const store = new MemoryCollectionStore();
	const lines: Array<Record<string, unknown>> = [];
	const logger = createMemoryLogger(lines);
	const gate = new StoreGate({timers, logger, random: () => 0.5});
	const replicas = collections.map(() => new Replica());
	const followers = collections.map((collection, index) => new StoreFollower({
		store, collection, replica: replicas[index], gate, timers, logger, watchWaitMs: () => 8000,
	}));
	for (const follower of followers) {
		void follower.run();
	}

	return {
		timers, store, gate, replicas, followers, lines,
	};
}

test('a follower lists once and then gets changes by watches', async t => {
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

test('a follower lists again when the history is gone, and sees what was removed meanwhile', async t => {
	// Guards against a server that left in the gap staying in use for good.
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

test('while the store is down, all loops together make about one call a pause', async t => {
	// Guards against each loop calling on its own: calls to a store that refuses them are priced as well.
	const {store, timers, followers, gate} = follow([Collection.backends, Collection.configurations, Collection.evacuations]);
	await timers.advance(100);
	store.setDown(true);
	await settle();
	await timers.advance(1000);
	store.calls.length = 0;
	await timers.advance(10_000);
	t.true(gate.isFailing);
	t.true(store.calls.length <= 12, `${store.calls.length} calls in 10 s`);
	store.setDown(false);
	await timers.advance(2000);
	t.false(gate.isFailing);
	for (const follower of followers) {
		follower.stop();
	}
});
