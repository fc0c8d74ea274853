import test from 'ava';
import {createMemoryLogger, ManualTimerService, settle} from '@fescuewick/core';
import {Collection} from '@fescuewick/store';
import {vmRecord} from '../testing/fixtures.js';
import {MemoryCollectionStore} from '../testing/memory-collection-store.js';
import {EraCheckedStore} from '../state/era-checked-store.js';
import {Replica} from '../state/replica.js';
import {StoreCircuitBreaker} from '../state/store-circuit-breaker.js';
import {StoreEra} from '../state/store-era.js';
import {PeerTable} from './peer-table.js';
import {Registration} from './registration.js';

/** A VM that has registered with a store of era 1, and a copy of the store from before. */
async function register() {
	const timers = new ManualTimerService();
	const lines: Array<Record<string, unknown>> = [];
	const logger = createMemoryLogger(lines);
	const shared = new MemoryCollectionStore();
	shared.era = 1;
	const copy = shared.copy();
	const era = new StoreEra();
	const registration = new Registration({
		store: new EraCheckedStore(shared, era),
		breaker: new StoreCircuitBreaker({timers, logger, random: () => 0.5}),
		vms: new Replica(() => timers.nowMs(), era),
		table: new PeerTable({self: vmRecord('a1', 'north-1'), timers, logger}),
		client: {
			async readMembers() {
				return [];
			},
		},
		seeds: [],
		timers,
		logger,
		random: () => 0.5,
		needsPeers: () => false,
		onDiscovered: () => undefined,
	});
	registration.start();
	await timers.advance(5000);
	const isRegistered = () => shared.recordValue(Collection.vms, 'a1') !== undefined;
	return {
		timers, shared, era, copy, registration, lines, isRegistered,
	};
}

test('a VM registers again once after a restore, also if the store is away when it learns of it', async t => {
	// Guards against a running VM that starting VMs do not find in the store, and against calls in a loop.
	const {timers, shared, era, copy, registration, isRegistered, lines} = await register();
	t.true(isRegistered());
	shared.restore(copy);
	t.false(isRegistered());
	shared.setDown(true);
	era.observePeer({era: 2, revision: 1}, 'peer');
	await timers.advance(5000);
	shared.setDown(false);
	shared.calls.length = 0;
	await timers.advance(5000);
	t.true(isRegistered());
	t.deepEqual(shared.calls, ['put vms']);
	t.is(lines.filter(({event}) => event === 'registered-again').length, 1);
	registration.stop();
});

test('a record that was written before a second restore is written again', async t => {
	// Guards against a registration that counts as done although the write is lost with the era in which it was made.
	const {timers, shared, era, copy, registration, isRegistered} = await register();
	shared.restore(copy);
	era.observePeer({era: 2, revision: 1}, 'peer');
	const {put} = shared;
	shared.put = async (...parameters) => {
		shared.put = put;
		await shared.put(...parameters);
		shared.restore(copy);
		era.observePeer({era: 3, revision: 1}, 'peer');
	};

	await settle();
	await timers.advance(5000);
	t.is(shared.era, 3);
	t.true(isRegistered());
	registration.stop();
});

test('a VM that has stopped does not register again', async t => {
	const {timers, shared, era, copy, registration, isRegistered} = await register();
	registration.stop();
	shared.restore(copy);
	era.observePeer({era: 2, revision: 1}, 'peer');
	await settle();
	await timers.advance(5000);
	t.false(isRegistered());
});
