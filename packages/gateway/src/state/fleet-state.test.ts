import test from 'ava';
import {createSilentLogger, ManualTimerService, settle} from '@fescuewick/core';
import {Collection} from '@fescuewick/store';
import {BackendState} from '../model/records.js';
import {backendRecord, configuration} from '../testing/fixtures.js';
import {FleetState} from './fleet-state.js';

/** Time for which a backend server that left may be used, in milliseconds. */
const drainMs = 2500;

function createState(mayHaveExpired = false) {
	const timers = new ManualTimerService();
	return {
		timers, state: new FleetState({
			timers, logger: createSilentLogger(), mayHaveExpired: () => mayHaveExpired, drainMs: () => drainMs,
		}),
	};
}

async function put(state: FleetState, collection: Collection, revision: number, ...values: Array<{name: string; value: unknown}>) {
	state.replicas[collection].applyChanges({changes: values.map(({name, value}) => ({record: {name, revision, value}, isRemoved: value === undefined && collection !== Collection.configurations})), revision});
	await settle();
}

test('older configurations and configurations that could not be decoded are ignored', async t => {
	// Guards against a VM that goes back to an older configuration without a restart.
	const {state} = createState();
	await put(state, Collection.configurations, 2, {name: 'main', value: configuration(8)});
	await put(state, Collection.configurations, 3, {name: 'main', value: configuration(7)});
	await put(state, Collection.configurations, 4, {name: 'main', value: undefined});
	t.is(state.configuration?.version, 8);
});

test('a server whose entry is removed is no longer used', async t => {
	const {state} = createState();
	await put(state, Collection.backends, 2, {name: 'a', value: backendRecord('a')}, {name: 'b', value: backendRecord('b')});
	await put(state, Collection.backends, 3, {name: 'a', value: undefined});
	t.deepEqual([...state.backends.keys()], ['b']);
});

test('servers whose entries are removed together or right after an outage are kept for 1.9 s and no longer', async t => {
	// Guards against the loss of all servers when entries expire during a store outage; the entries of live servers are restored within about 2 s. Also guards against the use of a server for longer than 2.5 s after it left, of which up to half a second passes until a VM learns of it.
	for (const {isAfterOutage, removed} of [{isAfterOutage: false, removed: ['a', 'b', 'c']}, {isAfterOutage: true, removed: ['a']}]) {
		const {state, timers} = createState(isAfterOutage);
		await put(state, Collection.backends, 2, ...['a', 'b', 'c'].map(name => ({name, value: backendRecord(name)})));
		await put(state, Collection.backends, 3, ...removed.map(name => ({name, value: undefined})));
		t.true(state.backends.has(removed.at(-1)!));
		await timers.advance(1000);
		await put(state, Collection.backends, 4, {name: removed[0], value: backendRecord(removed[0])});
		t.true(state.backends.has(removed.at(-1)!));
		await timers.advance(950);
		t.true(state.backends.has(removed[0]));
		t.is(state.backends.has(removed.at(-1)!), removed.length === 1);
	}
});

test('a server that starts draining and is removed within one batch is not kept', async t => {
	// Guards against a drained server that stays in use as long as one whose entry may have expired.
	const {state} = createState(true);
	await put(state, Collection.backends, 2, {name: 'a', value: backendRecord('a')});
	const draining = backendRecord('a', {state: BackendState.draining});
	state.replicas[Collection.backends].applyChanges({changes: [{record: {name: 'a', revision: 3, value: draining}, isRemoved: false}, {record: {name: 'a', revision: 4, value: draining}, isRemoved: true}], revision: 4});
	await settle();
	t.false(state.backends.has('a'));
});

test('a hold ends even if its timer fires a fraction of a millisecond early', async t => {
	// Guards against a server that left and stays in use until another one leaves.
	const {state, timers} = createState(true);
	const {after} = timers;
	timers.after = (delayMs, action) => after.call(timers, delayMs - 0.5, action);
	await put(state, Collection.backends, 2, {name: 'a', value: backendRecord('a')});
	await put(state, Collection.backends, 3, {name: 'a', value: undefined});
	await timers.advance(1900);
	t.false(state.backends.has('a'));
});

test('a draining server is not kept when its entry is removed after an outage', async t => {
	const {state} = createState(true);
	await put(state, Collection.backends, 2, {name: 'a', value: backendRecord('a', {state: BackendState.draining})});
	await put(state, Collection.backends, 3, {name: 'a', value: undefined});
	t.false(state.backends.has('a'));
});

test('a server whose entry cannot be decoded is not used', async t => {
	const {state} = createState();
	await put(state, Collection.backends, 2, {name: 'a', value: backendRecord('a')}, {name: 'b', value: backendRecord('b')});
	state.replicas[Collection.backends].applyChanges({changes: [{record: {name: 'a', revision: 3, value: undefined}, isRemoved: false}], revision: 3});
	await settle();
	t.deepEqual([...state.backends.keys()], ['b']);
});

test('a server is not kept longer by a VM that learned of its removal through peers', async t => {
	// Guards against a hold that begins when the change arrives from a peer: a VM that the store refused used a server 2,569 ms after it had left, because it counted the 1.9 s from then.
	const states = Array.from({length: 3}, () => createState(true));
	const replicas = states.map(({state}) => state.replicas[Collection.backends]);
	for (const {state} of states) {
		await put(state, Collection.backends, 2, {name: 'a', value: backendRecord('a')});
	}

	const advance = async (ms: number) => Promise.all(states.map(async ({timers}) => timers.advance(ms)));
	await put(states[0].state, Collection.backends, 3, {name: 'a', value: undefined});
	for (const peer of [1, 2]) {
		await advance(600);
		replicas[peer].adopt(replicas[peer - 1].changesSince(2));
		await settle();
		t.true(states[peer].state.backends.has('a'));
	}

	await advance(650);
	t.true(states.every(({state}) => state.backends.has('a')));
	await advance(50);
	t.false(states.some(({state}) => state.backends.has('a')));
});

test('a server whose removal is learned late is used no longer than one whose removal is learned at once', async t => {
	// Guards against a hold that begins when a VM learns of a removal that may be as old as the last answer of the store.
	for (const silentMs of [0, 600, 1300, 1900, 2300]) {
		const {state, timers} = createState(true);
		const replica = state.replicas[Collection.backends];
		await put(state, Collection.backends, 2, {name: 'a', value: backendRecord('a')}, {name: 'b', value: backendRecord('b')});
		replica.confirmRead(timers.nowMs());
		await timers.advance(silentMs);
		await put(state, Collection.backends, 3, {name: 'a', value: undefined});
		t.is(state.backends.has('a'), silentMs < drainMs - 100, 'its entry may have expired');
		await timers.advance(drainMs - silentMs);
		t.false(state.backends.has('a'), `silent for ${silentMs} ms`);
	}
});

test('a server whose entry was removed while the store did not answer for long is kept for the whole hold', async t => {
	// Guards against all servers being dropped after an outage in which their entries expired.
	const {state, timers} = createState(true);
	const replica = state.replicas[Collection.backends];
	await put(state, Collection.backends, 2, {name: 'a', value: backendRecord('a')});
	replica.confirmRead(timers.nowMs());
	await timers.advance(6000);
	await put(state, Collection.backends, 3, {name: 'a', value: undefined});
	await timers.advance(1850);
	t.true(state.backends.has('a'));
	await timers.advance(100);
	t.false(state.backends.has('a'));
});
