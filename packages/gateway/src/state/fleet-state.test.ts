import test from 'ava';
import {createSilentLogger, ManualTimerService, settle} from '@fescuewick/core';
import {Collection} from '@fescuewick/store';
import {BackendState, type BackendRecord} from '../model/records.js';
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

/** Replaces a replica by a copy of the store, as after a restore. */
async function restore(state: FleetState, collection: Collection, era: number, ...values: ReadonlyArray<{readonly name: string; readonly value: unknown}>) {
	state.replicas[collection].applyListing({records: values.map(({name, value}) => ({name, revision: 1, value})), revision: 1, era});
	await settle();
}

async function applyBackends(state: FleetState, revision: number, era: number, changes: ReadonlyArray<{readonly name: string; readonly value: unknown}>, isRemoved: boolean) {
	state.replicas[Collection.backends].applyChanges({changes: changes.map(({name, value}) => ({record: {name, revision, value}, isRemoved})), revision, era});
	await settle();
}

const entry = (id: string, changes: Partial<BackendRecord> = {}) => ({name: id, value: backendRecord(id, changes)});

test('an entry in a copy is passed over if this VM knows that the server has left, drained or restarted since', async t => {
	// Guards against requests to servers that are gone because the copy still lists them as ready.
	const {state, timers} = createState();
	await restore(state, Collection.backends, 1, entry('left'), entry('draining'), entry('restarted', {address: '127.0.0.1:1'}), entry('counted', {sequence: 5}), entry('warm', {sequence: 2}), entry('same'));
	await applyBackends(state, 2, 1, [entry('draining', {state: BackendState.draining}), entry('restarted', {startedAtMs: 2, address: '127.0.0.1:2'})], false);
	await applyBackends(state, 3, 1, [entry('left')], true);
	await timers.advance(2000);
	await applyBackends(state, 4, 1, [entry('counted', {sequence: 5})], true);
	await restore(state, Collection.backends, 2, entry('left'), entry('draining'), entry('restarted', {address: '127.0.0.1:1'}), entry('counted', {sequence: 5}), entry('warm', {sequence: 1, coldForMs: 5000}), entry('same'));
	t.false(state.backends.has('left'));
	t.false(state.backends.has('counted'));
	t.is(state.backends.get('draining')?.record.state, BackendState.draining);
	t.is(state.backends.get('restarted')?.record.address, '127.0.0.1:2');
	t.true(state.backends.has('same'));
	t.is(state.backends.get('warm')?.record.coldForMs, 0);
});

test('an entry in a copy counts if it was written after the one that this VM has seen removed', async t => {
	// Guards against a server that has registered again before the VM listed the store, and is not used.
	const {state} = createState();
	await restore(state, Collection.backends, 1, entry('restarted'), entry('counted', {sequence: 5}));
	await applyBackends(state, 3, 1, [entry('restarted')], true);
	await applyBackends(state, 4, 1, [entry('counted', {sequence: 5})], true);
	await restore(state, Collection.backends, 2, entry('restarted', {startedAtMs: 2}), entry('counted', {sequence: 6}));
	t.deepEqual([...state.backends.keys()].sort(), ['counted', 'restarted']);
});

test('a server whose outdated entry is written again is used, and so is one whose entry is still there after 30 s', async t => {
	// Guards against servers that are ignored for good because their entries had expired before the restore.
	const {state, timers} = createState();
	await restore(state, Collection.backends, 1, entry('a'), entry('b'), entry('c'));
	for (const [index, name] of ['a', 'b', 'c'].entries()) {
		await applyBackends(state, 2 + index, 1, [entry(name)], true);
		await timers.advance(2000);
	}

	await restore(state, Collection.backends, 2, entry('a'), entry('b'), entry('c'));
	t.is(state.backends.size, 0);
	await applyBackends(state, 2, 2, [entry('a')], false);
	t.deepEqual([...state.backends.keys()], ['a']);
	await applyBackends(state, 3, 2, [entry('c')], true);
	await timers.advance(29_000);
	t.deepEqual([...state.backends.keys()], ['a']);
	await timers.advance(2000);
	t.deepEqual([...state.backends.keys()], ['a', 'b']);
});

test('a server that the copy lacks is kept as long as one whose entry may have expired', async t => {
	// Guards against the loss of servers that registered after the copy and have not written their entries again yet.
	const {state, timers} = createState();
	await restore(state, Collection.backends, 1, entry('a'), entry('b'));
	await restore(state, Collection.backends, 2, entry('a'));
	t.true(state.backends.has('b'));
	await timers.advance(1850);
	t.true(state.backends.has('b'));
	await timers.advance(100);
	t.false(state.backends.has('b'));
});

test('a configuration of the copy does not replace a later one, which is held until the store has it again', async t => {
	// Guards against a withdrawn key that works again, and against VMs that never apply the next configuration.
	const {state} = createState();
	const config = (version: number, changes = {}) => ({name: 'main', value: configuration(version, changes)});
	await restore(state, Collection.configurations, 1, config(8));
	t.is(state.heldConfiguration, undefined);
	await restore(state, Collection.configurations, 2, config(7));
	t.is(state.configuration?.configuration.version, 8);
	t.is(state.advertised().heldVersion, 8);
	state.replicas[Collection.configurations].applyChanges({changes: [{record: {name: 'main', revision: 2, value: configuration(8)}, isRemoved: false}], revision: 2, era: 2});
	await settle();
	t.is(state.heldConfiguration, undefined);
	await restore(state, Collection.configurations, 3, config(7));
	t.is(state.heldConfiguration?.version, 8);
	state.replicas[Collection.configurations].applyChanges({changes: [{record: {name: 'main', revision: 2, value: configuration(8, {workspaces: []})}, isRemoved: false}], revision: 2, era: 3});
	await settle();
	t.is(state.configuration?.configuration.workspaces.length, 0, 'the version was given out again');
	t.is(state.heldConfiguration, undefined);
});

test('a configuration that a peer holds is applied if it is newer, and gives way to one of its version that is written later', async t => {
	const {state} = createState();
	await restore(state, Collection.configurations, 2, {name: 'main', value: configuration(7)});
	state.adoptHeldConfiguration(configuration(8));
	t.is(state.configuration?.configuration.version, 8);
	t.is(state.heldConfiguration?.version, 8);
	state.adoptHeldConfiguration(configuration(6));
	t.is(state.configuration?.configuration.version, 8);
	state.replicas[Collection.configurations].applyChanges({changes: [{record: {name: 'main', revision: 2, value: configuration(8, {workspaces: []})}, isRemoved: false}], revision: 2, era: 2});
	await settle();
	t.is(state.configuration?.configuration.workspaces.length, 0);
});
