import test from 'ava';
import {FescuewickError, ManualTimerService, ResultCode} from '@fescuewick/core';
import {MemoryObjectStore} from '@fescuewick/store';
import {SliceManager, SliceOutcome} from './slice-manager.js';

/** A store whose writes can be delayed: the caller gets `storeOutcomeUnknown`, and the write takes effect later or never. */
class DelayedStore extends MemoryObjectStore {
	isDelayed = false;
	delayedWrites: Array<() => Promise<unknown>> = [];

	override async write(key: string, value: unknown, expectedVersion: number | undefined): Promise<number> {
		if (this.isDelayed) {
			this.delayedWrites.push(async () => super.write(key, value, expectedVersion));
			throw new FescuewickError(ResultCode.storeOutcomeUnknown, 'no answer');
		}

		return super.write(key, value, expectedVersion);
	}
}

function createManager(store: DelayedStore, domain: string, state: {wantedPerS: number}, incarnation = `${domain}.1`) {
	const rates = new Map([['w', {ratePerS: 100, burst: 100}]]);
	return new SliceManager({
		store, bucket: 0, domain, incarnation, domains: () => ['a', 'b'], workspaces: () => ['w'], nowMs: () => store.timers.nowMs(),
		settings: () => ({revision: 1, rates, servers: new Map()}),
		state: () => ({wantedPerS: state.wantedPerS, uncommitted: {ratePerS: 100, burst: 100}}),
	}, 1);
}

async function setUp() {
	const store = new DelayedStore(new ManualTimerService());
	const demand = {a: {wantedPerS: 50}, b: {wantedPerS: 50}};
	const a = createManager(store, 'a', demand.a);
	const b = createManager(store, 'b', demand.b);
	await a.claim(1);
	await b.claim(1);
	for (let round = 0; round < 3; round++) {
		await a.refresh();
		await b.refresh();
	}

	return {
		store, demand, a, b,
	};
}

// Guards against gained quota that is used although its write did not take effect and another domain has the quota.
test('gained quota is used only after the write is confirmed', async t => {
	const {store, demand, a, b} = await setUp();
	demand.a.wantedPerS = 0;
	demand.b.wantedPerS = 200;
	await b.refresh();
	await a.refresh();
	const before = b.sizeOf('w').ratePerS;
	store.isDelayed = true;
	await b.refresh();
	t.is(b.sizeOf('w').ratePerS, before);
	store.isDelayed = false;
	await store.delayedWrites[0]();
	await b.refresh();
	t.true(b.sizeOf('w').ratePerS > before);
	t.true(a.sizeOf('w').ratePerS + b.sizeOf('w').ratePerS <= 100 + 1e-9);
});

// Guards against released quota that is used again because a read still shows it, before the delayed write takes effect.
test('a release without an answer stays debited while its write may take effect', async t => {
	const {store, demand, a, b} = await setUp();
	const before = a.sizeOf('w').ratePerS;
	demand.a.wantedPerS = 0;
	demand.b.wantedPerS = 200;
	await b.refresh();
	store.isDelayed = true;
	await a.refresh();
	t.true(a.sizeOf('w').ratePerS < before);
	demand.a.wantedPerS = 200;
	await a.refresh();
	t.true(a.sizeOf('w').ratePerS < before, 'the version is unchanged');
	store.isDelayed = false;
	await store.delayedWrites[0]();
	await b.refresh();
	t.true(a.sizeOf('w').ratePerS + b.sizeOf('w').ratePerS <= 100 + 1e-9);
});

// Guards against slices that are used after a read alone, while a write of the former allocator is still in transit.
test('slices are known only once the claim is in the store', async t => {
	const {store} = await setUp();
	const successor = createManager(store, 'a', {wantedPerS: 50}, 'a.2');
	store.isDelayed = true;
	const {outcome} = await successor.claim(1);
	t.is(outcome, SliceOutcome.unavailable);
	t.false(successor.known);
	store.isDelayed = false;
	await successor.refresh();
	t.true(successor.known);
});

// Guards against an allocator that writes slices after its successor has claimed them.
test('an allocator is superseded when it reads the claim of its successor', async t => {
	const {store, a} = await setUp();
	const other = createManager(store, 'a', {wantedPerS: 0}, 'a.2');
	const claim = await other.claim(1);
	t.is(claim.outcome, SliceOutcome.current);
	t.false(claim.first);
	t.is(await a.refresh(), SliceOutcome.superseded);
});

// Guards against a release that waits for the store although another domain has announced its demand, and against an outdated announcement that overrides published demand.
test('quota is recalled as soon as another domain announces its demand, and published demand replaces the announcement', async t => {
	const {store, demand, a, b} = await setUp();
	demand.a.wantedPerS = 0;
	const before = a.grantableOf('w').ratePerS;
	demand.b.wantedPerS = 200;
	const wanted = b.takeDemandUpdates();
	t.deepEqual(wanted, [{workspace: 'w', wantedPerS: 200, publishedPerS: 50}]);
	t.deepEqual(b.takeDemandUpdates(), [], 'it is announced once');
	const {reads} = store.calls;
	t.false(a.receiveDemand({
		bucket: 0, domain: 'b', version: a.version, wanted,
	}));
	t.true(a.planAhead());
	t.true(a.grantableOf('w').ratePerS < before / 4);
	t.is(store.calls.reads, reads);
	demand.b.wantedPerS = 0;
	await b.refresh();
	await a.refresh();
	await b.refresh();
	await a.refresh();
	t.true(Math.abs(a.sizeOf('w').ratePerS - b.sizeOf('w').ratePerS) < 10);
	t.true(a.receiveDemand({
		bucket: 0, domain: 'b', version: a.version + 1, wanted: [],
	}), 'a newer version has to be read');
});
