import {setTimeout as sleep} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {SystemTimerService} from '@fescuewick/core';
import {
	Collection, CollectionStore, type ChangeBatch, type Freshness, type Listing,
} from '@fescuewick/store';
import {BackendState} from './model/records.js';
import {
	backendRecord, configuration, route, workspace,
} from './testing/fixtures.js';
import {
	addBackend, start, statusOf, waitUntil,
} from './testing/gateway-steps.js';
import {type MemoryCollectionStore} from './testing/memory-collection-store.js';
import {RestrictedStore, StoreTreatment} from './testing/restricted-store.js';
import {storeWith, type StartedGateway} from './testing/start-gateway.js';

/** Time in which a change must be in force, in milliseconds. */
const inForceMs = 2500;

/** A configuration whose routes are served at the loopback host of the tests. */
const local = (version: number, changes: Parameters<typeof configuration>[1] = {}) => configuration(version, {routes: [route({host: '127.0.0.1'})], ...changes});

/** Writes records that raise the revision of a store without an effect on its VMs. */
function raiseRevision(store: MemoryCollectionStore, count: number): void {
	for (let index = 0; index < count; index++) {
		store.set(Collection.vms, 'other', undefined);
	}
}

function hasApplied({lines}: StartedGateway, version: number): boolean {
	return lines.some(line => line.event === 'configuration' && line.version === version);
}

/** Configuration versions that a VM applied, in order. */
function versionsOf({lines}: StartedGateway): unknown[] {
	return lines.filter(({event}) => event === 'configuration').map(({version}) => version);
}

/** Whether a condition becomes true within a time. */
async function isTrueWithin(timeoutMs: number, condition: () => boolean): Promise<boolean> {
	const endMs = performance.now() + timeoutMs;
	while (!condition() && performance.now() < endMs) {
		await sleep(20);
	}

	return condition();
}

/** Sends requests for a time and returns their statuses. */
async function callFor(durationMs: number, {call}: StartedGateway): Promise<Set<number>> {
	const statuses = new Set<number>();
	const endMs = performance.now() + durationMs;
	while (performance.now() < endMs) {
		statuses.add(await statusOf(call('/check/1')));
		await sleep(20);
	}

	return statuses;
}

/** Starts VMs of one region that know each other, each with its own access to the store. */
async function startFleet(t: ExecutionContext, shared: MemoryCollectionStore, names: readonly string[]) {
	const vms: Array<{readonly store: RestrictedStore; readonly gateway: StartedGateway}> = [];
	for (const [index, vm] of names.entries()) {
		const store = new RestrictedStore(shared, new SystemTimerService());
		vms.push({
			store, gateway: await start(t, {
				store, vm, failureDomain: `north-${1 + (index % 2)}`, seeds: index === 0 ? [] : [vms[0].gateway.settings.listen.peers],
			}),
		});
	}

	await waitUntil(() => vms.every(({gateway: {lines}}) => new Set(lines.filter(({event}) => event === 'peer-regained').map(({vm}) => vm)).size === names.length - 1));
	return vms;
}

test('a change after a restore is in force in time although its revision is below those known', async t => {
	// Guards against a VM that ignores the store until its revisions have caught up with those from before the restore.
	const store = storeWith(local(1));
	store.era = 1;
	const gateway = await start(t, {store});
	const copy = store.copy();
	raiseRevision(store, 20);
	store.set(Collection.configurations, 'main', local(2));
	await waitUntil(() => hasApplied(gateway, 2));
	store.restore(copy);
	await sleep(500);
	store.set(Collection.configurations, 'main', local(3));
	store.set(Collection.evacuations, 'north-1', {});
	t.true(await isTrueWithin(inForceMs, () => hasApplied(gateway, 3) && gateway.lines.some(({event}) => event === 'evacuation')));
	t.deepEqual(versionsOf(gateway), [1, 2, 3]);
});

test('the content of a revision that is given out again is not taken for known', async t => {
	// Guards against a VM that keeps a lost record because the store has reached its revision again with another record.
	const store = storeWith(local(1));
	store.era = 1;
	const gateway = await start(t, {store});
	const copy = store.copy();
	store.set(Collection.backends, 's1', backendRecord('s1'));
	store.set(Collection.configurations, 'main', local(2));
	await waitUntil(() => hasApplied(gateway, 2));
	const known = store.revision;
	store.setDown(true);
	store.restore(copy);
	store.set(Collection.configurations, 'main', local(3));
	store.set(Collection.backends, 's1', backendRecord('s1', {state: BackendState.draining, startedAtMs: 2}));
	t.is(store.revision, known);
	store.setDown(false);
	t.true(await isTrueWithin(inForceMs + 1000, () => hasApplied(gateway, 3)));
	t.true(await isTrueWithin(500, () => gateway.lines.some(({event, server, state}) => event === 'backend' && server === 's1' && state === BackendState.draining)));
});

test('a server that left is not used again because the copy lists it, and is used when it has registered again', async t => {
	// Guards against requests to a server that the copy still lists as ready although it left, and against one that is ignored for good.
	const store = storeWith(local(1));
	store.era = 1;
	const left = await addBackend(t, store, {id: 's1'});
	const draining = await addBackend(t, store, {id: 's2'});
	const ready = await addBackend(t, store, {id: 's3'});
	const gateway = await start(t, {store});
	const copy = store.copy();
	const [record] = copy.records.get(Collection.backends)!.values();
	const {address: drainingAddress} = store.recordValue(Collection.backends, 's2') as {address: string};
	store.unset(Collection.backends, 's1');
	store.set(Collection.backends, 's2', backendRecord('s2', {address: drainingAddress, state: BackendState.draining}));
	await waitUntil(() => gateway.lines.some(({event, server}) => event === 'backend-removed' && server === 's1') && gateway.lines.some(({event, state}) => event === 'backend' && state === BackendState.draining));
	await sleep(100);
	const before = left.requests.length + draining.requests.length;
	store.restore(copy);
	raiseRevision(store, 20);
	t.deepEqual([...await callFor(3000, gateway)], [200]);
	t.true(ready.requests.length > 0);
	t.is(left.requests.length + draining.requests.length, before);
	store.set(Collection.backends, 's1', {...record.value as object, startedAtMs: 2});
	store.set(Collection.backends, 's3', backendRecord('s3', {state: BackendState.draining}));
	t.true(await isTrueWithin(inForceMs, () => {
		void gateway.call('/check/1');
		return left.requests.length > 0;
	}));
});

test('a withdrawn key stays withdrawn when the copy holds the configuration before, also after the operator wrote the next version', async t => {
	// Guards against an older configuration that comes into force from the copy, and against a next version that never does.
	const store = storeWith(local(1));
	store.era = 1;
	await addBackend(t, store, {id: 's1'});
	const gateway = await start(t, {store});
	t.is(await statusOf(gateway.call('/check/1')), 200);
	const copy = store.copy();
	raiseRevision(store, 10);
	store.set(Collection.configurations, 'main', local(2, {workspaces: [workspace('acme', {keys: ['key-new']})]}));
	await waitUntil(() => hasApplied(gateway, 2));
	store.restore(copy);
	t.deepEqual([...await callFor(1500, gateway)], [401]);
	store.set(Collection.configurations, 'main', local(3, {workspaces: [workspace('acme', {keys: ['key-newer']})]}));
	t.true(await isTrueWithin(inForceMs, () => hasApplied(gateway, 3)));
	t.deepEqual([...await callFor(200, gateway)], [401]);
	t.deepEqual(versionsOf(gateway), [1, 2, 3]);
});

test('a configuration with a version that is given out again is applied', async t => {
	// Guards against VMs that disagree for good: those that knew the lost version, and those that started afterwards.
	const store = storeWith(local(1));
	store.era = 1;
	const gateway = await start(t, {store});
	const copy = store.copy();
	store.set(Collection.configurations, 'main', local(2));
	await waitUntil(() => hasApplied(gateway, 2));
	store.restore(copy);
	await sleep(200);
	store.set(Collection.configurations, 'main', local(2, {workspaces: [workspace('acme', {keys: ['key-new']})]}));
	t.true(await isTrueWithin(inForceMs, () => versionsOf(gateway).length === 3));
	t.is(await statusOf(gateway.call('/check/1')), 401);
});

test('a VM that starts after the restore takes the configuration in force from its peers', async t => {
	// Guards against a withdrawn key that works again at VMs that know only the copy.
	const store = storeWith(local(1));
	store.era = 1;
	await addBackend(t, store, {id: 's1'});
	const first = await start(t, {store, vm: 'a1'});
	const copy = store.copy();
	store.set(Collection.configurations, 'main', local(2, {workspaces: [workspace('acme', {keys: ['key-new']})]}));
	await waitUntil(() => hasApplied(first, 2));
	store.restore(copy);
	await waitUntil(() => first.lines.some(({event}) => event === 'store-era'));
	const second = await start(t, {store, vm: 'a2', seeds: [first.settings.listen.peers]});
	t.true(await isTrueWithin(inForceMs, () => hasApplied(second, 2)));
	const third = await start(t, {store, vm: 'a3', seeds: [second.settings.listen.peers]});
	await first.gateway.stop();
	t.true(await isTrueWithin(inForceMs, () => hasApplied(third, 2)));
	t.deepEqual([...await callFor(500, third)], [401]);
	store.set(Collection.configurations, 'main', local(3));
	t.true(await isTrueWithin(inForceMs, () => hasApplied(second, 3) && hasApplied(third, 3)));
	t.deepEqual([...await callFor(200, third)], [200]);
});

test('a running VM whose registration the copy lacks registers again', async t => {
	// Guards against a VM that starting VMs do not find in the store.
	const store = storeWith(local(1));
	store.era = 1;
	const copy = store.copy();
	const gateway = await start(t, {store, vm: 'a1'});
	await waitUntil(() => store.recordValue(Collection.vms, 'a1') !== undefined);
	store.restore(copy);
	t.true(await isTrueWithin(4000, () => store.recordValue(Collection.vms, 'a1') !== undefined));
	t.like(gateway.lines.filter(({event}) => event === 'store-era'), [{fromEra: 1, era: 2, source: 'store'}]);
	const response = await fetch(`http://${gateway.settings.listen.metrics}/metrics`);
	const metrics = await response.text();
	t.regex(metrics, /^fescuewick_store_era{[^}]*} 2$/m);
	t.regex(metrics, /^fescuewick_store_answers_without_era_total{[^}]*} 0$/m);
	t.regex(metrics, /^fescuewick_configuration_unknown_values{[^}]*} 0$/m);
});

test('a VM that is cut off from the store takes the restored state from its peers', async t => {
	// Guards against a cut-off VM that takes its state from before the restore for newer than that of its peers.
	const store = storeWith(local(1));
	store.era = 1;
	const vms = await startFleet(t, store, ['a1', 'a2', 'a3']);
	const copy = store.copy();
	raiseRevision(store, 20);
	store.set(Collection.configurations, 'main', local(2));
	await waitUntil(() => vms.every(({gateway}) => hasApplied(gateway, 2)));
	vms[0].store.treatment = StoreTreatment.silent;
	await sleep(200);
	store.restore(copy);
	await sleep(500);
	store.set(Collection.configurations, 'main', local(3));
	t.true(await isTrueWithin(inForceMs, () => vms.every(({gateway}) => hasApplied(gateway, 3))));
	t.deepEqual(vms.map(({gateway}) => versionsOf(gateway)), [[1, 2, 3], [1, 2, 3], [1, 2, 3]]);
});

/** A store whose calls go to another one when it is switched. */
class SwitchedStore extends CollectionStore {
	constructor(public store: CollectionStore) {
		super();
	}

	async list(collection: Collection, freshness: Freshness): Promise<Listing> {
		return this.store.list(collection, freshness);
	}

	async watch(...parameters: Parameters<CollectionStore['watch']>): Promise<ChangeBatch> {
		return this.store.watch(...parameters);
	}

	async put(collection: Collection, name: string, value: unknown): Promise<void> {
		return this.store.put(collection, name, value);
	}

	async remove(collection: Collection, name: string, revision: number): Promise<void> {
		return this.store.remove(collection, name, revision);
	}
}

test('VMs that the store answers from before the restore for some seconds neither hold back the others nor revert them', async t => {
	// Guards against answers and heartbeats of the earlier era that confirm or replace the state of the later one.
	const before = storeWith(local(1));
	before.era = 1;
	const after = storeWith(local(1));
	after.era = 1;
	const copy = after.copy();
	for (const store of [before, after]) {
		raiseRevision(store, 20);
		store.set(Collection.configurations, 'main', local(2));
	}

	const stores = ['a1', 'a2', 'a3', 'a4'].map((_, index) => new SwitchedStore(index < 2 ? before : after));
	const gateways: StartedGateway[] = [];
	for (const [index, store] of stores.entries()) {
		gateways.push(await start(t, {
			store, vm: `a${index}`, failureDomain: `north-${1 + (index % 2)}`, seeds: index === 0 ? [] : [gateways[0].settings.listen.peers],
		}));
	}

	await waitUntil(() => gateways.every(({lines}) => new Set(lines.filter(({event}) => event === 'peer-regained').map(({vm}) => vm)).size === 3));
	after.restore(copy);
	await sleep(500);
	after.set(Collection.configurations, 'main', local(3));
	t.true(await isTrueWithin(inForceMs, () => gateways.every(gateway => hasApplied(gateway, 3))));
	before.set(Collection.configurations, 'main', local(4));
	await sleep(1500);
	for (const store of stores) {
		store.store = after;
	}

	after.set(Collection.configurations, 'main', local(5));
	t.true(await isTrueWithin(inForceMs, () => gateways.every(gateway => hasApplied(gateway, 5))));
	for (const gateway of gateways) {
		t.deepEqual(versionsOf(gateway), [2, 3, 5]);
	}
});

test('requests are served while a restored store is away again during the new listing', async t => {
	// Guards against a VM that drops its state before it has the new one.
	const store = storeWith(local(1));
	store.era = 1;
	await addBackend(t, store, {id: 's1'});
	const gateway = await start(t, {store});
	const copy = store.copy();
	raiseRevision(store, 20);
	store.set(Collection.configurations, 'main', local(2));
	await waitUntil(() => hasApplied(gateway, 2));
	store.restore(copy);
	const {list} = store;
	store.list = async (...parameters) => {
		store.list = list;
		store.setDown(true);
		return store.list(...parameters);
	};

	t.deepEqual([...await callFor(1500, gateway)], [200]);
	t.true(store.isDown, 'the VM has begun to list');
	store.restore(copy);
	store.setDown(false);
	store.set(Collection.configurations, 'main', local(3));
	t.true(await isTrueWithin(inForceMs, () => hasApplied(gateway, 3)));
	t.deepEqual([...await callFor(200, gateway)], [200]);
});
