import test from 'ava';
import {createSilentLogger, ManualTimerService} from '@fescuewick/core';
import {vmRecord} from '../testing/fixtures.js';
import {type Heartbeat} from './heartbeat.js';
import {PeerTable} from './peer-table.js';
import {StoreAccess} from './store-readers.js';

function createTable() {
	const timers = new ManualTimerService();
	const table = new PeerTable({self: vmRecord('a1', 'north-1'), timers, logger: createSilentLogger()});
	const recordHeartbeat = (vm: string, changes: Partial<Heartbeat> = {}) => table.recordHeartbeat({
		record: vmRecord(vm, 'north-2'), incarnation: 1, sequence: timers.nowMs(), isReady: true, storeAccess: StoreAccess.idle, storeEra: 0, revisions: {}, storeReadings: {}, buckets: {}, slotDemand: {free: {}, bound: {}}, shiftedFractions: {}, ...changes,
	});
	return {timers, table, recordHeartbeat};
}

test('a silent peer no longer counts as alive but keeps its share of the limits', async t => {
	// Guards against a workspace that exceeds its rate limit because a partitioned VM goes on serving.
	const {timers, table, recordHeartbeat} = createTable();
	recordHeartbeat('b1', {sequence: 1});
	recordHeartbeat('c1', {sequence: 1});
	for (let second = 1; second <= 5; second++) {
		await timers.advance(1000);
		recordHeartbeat('c1', {sequence: second + 1});
		table.expire();
	}

	t.deepEqual([...table.alive()].map(({record}) => record.vm), ['c1']);
	t.deepEqual([...table.limitSharers()].map(({vm}) => vm), ['a1', 'b1', 'c1']);
});

test('a VM without live peers keeps the shares of all others reserved', async t => {
	// Guards against a partitioned VM that takes the whole rate limit.
	const {timers, table, recordHeartbeat} = createTable();
	recordHeartbeat('b1', {sequence: 1});
	await timers.advance(120_000);
	table.expire();
	t.is([...table.limitSharers()].length, 2);
});

test('older heartbeats of an incarnation are ignored, lower sequences of a new incarnation are not', t => {
	const {table, recordHeartbeat} = createTable();
	t.true(recordHeartbeat('b1', {sequence: 5}));
	t.false(recordHeartbeat('b1', {sequence: 4}));
	t.true(recordHeartbeat('b1', {sequence: 1, incarnation: 2}));
	t.false(table.recordHeartbeat({
		record: table.self, incarnation: 1, sequence: 1, isReady: true, storeAccess: StoreAccess.idle, storeEra: 0, revisions: {}, storeReadings: {}, buckets: {}, slotDemand: {free: {}, bound: {}}, shiftedFractions: {},
	}));
});

test('the VMs that share limits are computed once between two changes', async t => {
	// Guards against a scan of all peers for each server and request, which took half of the CPU time of a VM in a fleet of 60, and against a cached list that misses a change.
	const {timers, table, recordHeartbeat} = createTable();
	recordHeartbeat('b1', {sequence: 1});
	const before = table.limitSharersIn('north');
	t.deepEqual(before, ['a1', 'b1']);
	recordHeartbeat('b1', {sequence: 2});
	t.is(table.limitSharersIn('north'), before);
	recordHeartbeat('c1', {sequence: 1});
	t.deepEqual(table.limitSharersIn('north'), ['a1', 'b1', 'c1']);
	await timers.advance(35_000);
	recordHeartbeat('c1', {sequence: 2});
	table.expire();
	t.deepEqual(table.limitSharersIn('north'), ['a1', 'c1']);
	t.deepEqual(table.limitSharersIn('south'), []);
});

test('the store counts as mostly refusing only if it refused most of the VMs that read it', async t => {
	// Guards against a fleet that goes on using servers that left, because the store refused a few VMs.
	const {timers, table, recordHeartbeat} = createTable();
	recordHeartbeat('b1', {sequence: 1, storeAccess: StoreAccess.refused});
	recordHeartbeat('b2', {sequence: 1, storeAccess: StoreAccess.reading});
	recordHeartbeat('b3', {sequence: 1, storeAccess: StoreAccess.reading});
	recordHeartbeat('b4', {sequence: 1});
	t.false(table.areMostReadersRefused(3000));
	recordHeartbeat('b2', {sequence: 2, storeAccess: StoreAccess.refused});
	t.true(table.areMostReadersRefused(3000));
	await timers.advance(2000);
	recordHeartbeat('b1', {sequence: 2, storeAccess: StoreAccess.reading});
	recordHeartbeat('b2', {sequence: 3, storeAccess: StoreAccess.reading});
	t.true(table.areMostReadersRefused(3000), 'the store refused b1 and b2 less than 3 s ago');
	await timers.advance(2000);
	t.false(table.areMostReadersRefused(3000));
});

test('a peer in a large region is alive for 3.5 s after its last heartbeat, as relays that have stopped may lose two in a row', async t => {
	// Guards against a serving VM that is not named to callers because two of its heartbeats were lost with their relays.
	const {timers, table, recordHeartbeat} = createTable();
	for (let vm = 0; vm < 10; vm++) {
		recordHeartbeat(`b${vm}`, {sequence: 1});
	}

	await timers.advance(3400);
	table.expire();
	t.is([...table.alive()].length, 10);
	await timers.advance(200);
	table.expire();
	t.is([...table.alive()].length, 0);
});
