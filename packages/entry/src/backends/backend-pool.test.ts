import test from 'ava';
import {createSilentLogger, ManualTimerService} from '@fescuewick/core';
import {type BackendRecord} from '@fescuewick/wire';
import {SlotGrants} from '../limits/slot-grants.js';
import {seededRandom} from '../testing/deployment.js';
import {type Backend, slowStartMs} from './backend.js';
import {BackendPool} from './backend-pool.js';

class FixedSlotGrants extends SlotGrants {
	readonly granted = new Map<string, number>();
	limit = 100;

	slots(server: string): number {
		return this.granted.get(server) ?? 10;
	}

	connections(): number {
		return this.limit;
	}
}

const record = (index: number, changes: Partial<BackendRecord> = {}): BackendRecord => ({
	server: `s${index}`, service: 'booking', failureDomain: 'a', region: 'r', address: `127.0.0.1:${index + 1}`, slots: 10, connections: 100, leaving: false, ...changes,
});

function setup(count: number) {
	const timers = new ManualTimerService();
	const slotGrants = new FixedSlotGrants();
	const pool = new BackendPool({
		service: 'booking', timers, logger: createSilentLogger(), slotGrants, random: seededRandom(5), connectTimeoutMs: 1000, onCapacityFreed() {/* No requests are queued. */},
	});
	const records = Array.from({length: count}, (_, index) => record(index));
	pool.applyRecords(records);
	return {
		timers, slotGrants, pool, records, backends: [...pool.backends],
	};
}

const failThreeTimes = (pool: BackendPool, backend: Backend) => {
	for (let count = 0; count < 3; count++) {
		pool.observeFailure(backend);
	}
};

const pickNames = (pool: BackendPool, count: number) => Array.from({length: count}, () => pool.pick()?.backend.name);

// Guards against more requests in flight than the slots and connections granted on a server.
test('a pool takes no more slots and connections than granted', t => {
	const {pool, slotGrants} = setup(3);
	slotGrants.granted.set('s0', 2).set('s1', 0).set('s2', 3);
	const names = pickNames(pool, 10);
	t.deepEqual(names.filter(name => name !== undefined).sort(), ['s0', 's0', 's2', 's2', 's2']);
	const limited = setup(1);
	limited.slotGrants.limit = 4;
	// One connection is reserved for the probe.
	t.is(pickNames(limited.pool, 10).filter(name => name !== undefined).length, 3);
});

// Guards against ejecting a whole pool because of a fault that all its servers share.
test('at most half of a pool is ejected', async t => {
	const {pool, backends, timers} = setup(5);
	for (const backend of backends) {
		failThreeTimes(pool, backend);
	}

	t.is(backends.filter(backend => backend.ejected).length, 2);
	await timers.advance(1000);
	t.is(backends.filter(backend => backend.ejected).length, 0);
	failThreeTimes(pool, backends[0]);
	await timers.advance(1500);
	t.true(backends[0].ejected, 'the second ejection is twice as long');
});

// Guards against overloading a cold server with its full share of requests at once.
test('returning and new servers start slowly, those of the first list do not', async t => {
	const {pool, backends, timers, records} = setup(2);
	t.is(backends[0].usableSlots(10), 10);
	failThreeTimes(pool, backends[0]);
	await timers.advance(1000);
	t.is(backends[0].usableSlots(10), 1);
	await timers.advance(slowStartMs / 2);
	t.is(backends[0].usableSlots(10), 5);
	pool.applyRecords([...records, record(7)]);
	t.is([...pool.backends].at(-1)?.usableSlots(10), 1);
});

// Guards against new requests to a server that shuts down, whichever signal announces it.
for (const [signal, start, end] of [
	['the list', (pool: BackendPool) => {
		pool.applyRecords([record(0, {leaving: true}), record(1)]);
	}, (pool: BackendPool) => {
		pool.applyRecords([record(0), record(1)]);
	}],
	['its answer', (pool: BackendPool, backend: Backend) => {
		pool.observeDraining(backend, true);
	}, (pool: BackendPool, backend: Backend) => {
		pool.observeDraining(backend, false);
	}],
	['a failed probe', (pool: BackendPool, backend: Backend) => {
		pool.observeProbe(backend, false);
	}, (pool: BackendPool, backend: Backend) => {
		pool.observeProbe(backend, true);
	}],
] as const) {
	test(`a server that is leaving by ${signal} gets no new requests`, t => {
		const {pool, backends} = setup(2);
		start(pool, backends[0]);
		t.deepEqual([...new Set(pickNames(pool, 20))], ['s1', undefined]);
		end(pool, backends[0]);
		t.is(pool.pick()?.backend.name, 's0');
	});
}

// Guards against selecting a slow server as often as a fast one.
test('a server with higher latency is selected less often', t => {
	const {pool, backends} = setup(2);
	for (let count = 0; count < 50; count++) {
		backends[0].observeSuccess(100);
		backends[1].observeSuccess(10);
	}

	const names = pickNames(pool, 10);
	t.true(names.filter(name => name === 's1').length >= 8);
});

// Guards against reusing a slot while its server still works on the cancelled request.
test('the slot of a cancelled request is released only after the mean latency of the server', async t => {
	const {pool, slotGrants, timers} = setup(1);
	slotGrants.granted.set('s0', 1);
	const lease = pool.pick()!;
	pool.releaseAfterCancel(lease);
	t.is(pool.pick(), undefined);
	await timers.advance(lease.backend.latencyMs);
	t.truthy(pool.pick());
});

// Guards against computing the capacity from the initial latency of 10 ms, which made it several times too high for slower servers.
test('capacity uses measured latencies, and the given latency for servers without answers', t => {
	const {pool, backends, slotGrants} = setup(2);
	t.is(pool.capacityPerS(500), 40);
	backends[0].observeSuccess(50);
	t.is(Math.round(backends[0].measuredLatencyMs!), 50);
	t.is(Math.round(pool.capacityPerS(500)), 200 + 20);
	backends[0].observeMinLatency(1);
	t.is(Math.round(backends[0].measuredLatencyMs!), 50);
	backends[1].observeSuccess(20);
	backends[1].observeSuccess(20);
	t.is(Math.round(pool.capacityPerS(500)), 200 + 500);
	slotGrants.granted.set('s1', 0);
	t.is(Math.round(pool.capacityPerS(500)), 200);
});
