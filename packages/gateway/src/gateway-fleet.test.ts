import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {Collection} from '@fescuewick/store';
import {configuration, route} from './testing/fixtures.js';
import {start, statusOf, waitUntil} from './testing/gateway-steps.js';
import {startGateway, storeWith, type StartedGateway} from './testing/start-gateway.js';

test('a few VMs of a region watch the store and the others take changes from them', async t => {
	// Guards against store calls that grow with the fleet, and against VMs that miss a change or do not notice that a reader has stopped.
	const store = storeWith(configuration(1));
	const first = await start(t, {store, vm: 'a1'});
	const others = await Promise.all(['a2', 'a3', 'a4', 'a5', 'a6'].map(async vm => start(t, {
		store, vm, failureDomain: 'north-2', seeds: [first.settings.listen.peers],
	})));
	const gateways = [first, ...others];
	const readers = () => gateways.filter(({lines}) => lines.findLast(({event}) => event === 'store-reading')?.isReading !== false);
	await waitUntil(() => readers().length === 3);
	await sleep(200);
	store.calls.length = 0;
	const hasChanged = ({lines}: StartedGateway, version: number) => lines.some(line => line.event === 'configuration' && line.version === version);
	store.set(Collection.configurations, 'main', configuration(2));
	const startedAtMs = performance.now();
	await waitUntil(() => gateways.every(gateway => hasChanged(gateway, 2)));
	t.true(performance.now() - startedAtMs < 1000, 'the change takes one heartbeat and one call to a peer');
	t.true(store.calls.length <= 6, `calls: ${store.calls.join(', ')}`);
	const [stopping] = readers();
	await stopping.gateway.stop();
	const remaining = gateways.filter(gateway => gateway !== stopping);
	await waitUntil(() => remaining.filter(gateway => readers().includes(gateway)).length === 3);
	store.set(Collection.configurations, 'main', configuration(3));
	await waitUntil(() => remaining.every(gateway => hasChanged(gateway, 3)));
	t.false(store.calls.some(call => call.startsWith('list')), 'no VM lists a collection again');
});

test('VMs of large regions get heartbeats through relays, also when some relays stop', async t => {
	// Guards against a region or failure domain whose VMs count as lost when some relays stop.
	const store = storeWith(configuration(1));
	const first = await start(t, {store, vm: 'n0'});
	const failureDomains = Array.from({length: 20}, (_, index) => index < 10 ? `north-${1 + (index % 2)}` : 'south-1');
	const gateways = [first, ...await Promise.all(failureDomains.slice(1).map(async (failureDomain, index) => startGateway({
		store, vm: `vm-${index}`, failureDomain, seeds: [first.settings.listen.peers],
	})))];
	t.teardown(async () => Promise.all(gateways.map(async ({gateway}) => gateway.stop())));
	const knownPeerCount = ({lines}: StartedGateway) => new Set(lines.filter(({event}) => event === 'peer-regained').map(({vm}) => vm)).size;
	await waitUntil(() => gateways.every(gateway => knownPeerCount(gateway) === gateways.length - 1));
	const stoppedGateways = [gateways[3], gateways[15]];
	await Promise.all(stoppedGateways.map(async ({gateway}) => gateway.stop()));
	const stoppedVms = new Set(stoppedGateways.map(({settings}) => settings.location.vm));
	await sleep(5000);
	const remaining = gateways.filter(gateway => !stoppedGateways.includes(gateway));
	const lostVms = remaining.flatMap(({lines}) => lines.filter(({event}) => event === 'peer-lost').map(({vm}) => String(vm)));
	t.deepEqual([...new Set(lostVms)].filter(vm => !stoppedVms.has(vm)), []);
	t.is(lostVms.length, stoppedGateways.length * remaining.length);
});

test('VMs that start at the same time discover each other through a seed', async t => {
	// Guards against VMs that stay unknown because the listing they read was older than the records of the others, and against repeated listings by each of them.
	const store = storeWith(configuration(1));
	store.staleListing = {collection: Collection.vms, listing: {records: [], revision: 1}};
	const first = await start(t, {store, vm: 'a1'});
	const names = ['a2', 'a3', 'a4', 'a5', 'a6'];
	const others = await Promise.all(names.map(async vm => start(t, {store, vm, seeds: [first.settings.listen.peers]})));
	const knownPeerCount = ({lines}: StartedGateway) => lines.filter(({event}) => event === 'peer-regained').length;
	await waitUntil(() => [first, ...others].every(gateway => knownPeerCount(gateway) === names.length));
	await sleep(2500);
	// The first VM has no peers to query while it starts, so it lists the VMs again.
	t.true(store.calls.filter(call => call === 'list vms').length <= names.length + 3, `${store.calls.filter(call => call === 'list vms').length} listings`);
});

test('a VM that the store refuses takes changes from its peers', async t => {
	const shared = storeWith(configuration(1));
	const first = await start(t, {store: shared, vm: 'a1'});
	const refusingStore = storeWith(configuration(1));
	refusingStore.setDown(true);
	const second = await start(t, {store: refusingStore, vm: 'a2', seeds: [first.settings.listen.peers]});
	await waitUntil(async () => await statusOf(second.call('/check/1')) !== 503 || second.lines.some(({event}) => event === 'configuration'));
	shared.set(Collection.configurations, 'main', configuration(5, {routes: [route({host: '127.0.0.1', pathPrefix: '/new/'})]}));
	await waitUntil(() => second.lines.some(({event, version}) => event === 'configuration' && version === 5));
	t.is(await statusOf(second.call('/check/1')), 404);
});

test('the directory names ready VMs of the caller\'s failure domain, or else of its region', async t => {
	const store = storeWith(configuration(1));
	const first = await start(t, {store, vm: 'a1', failureDomain: 'north-1'});
	const second = await start(t, {store, vm: 'b1', failureDomain: 'north-2'});
	const requestAddresses = async (domain: string) => {
		const response = await fetch(`http://${first.settings.listen.directory}/directory?domain=${domain}&region=north`);
		return ((await response.json()) as {addresses: string[]}).addresses;
	};

	await waitUntil(async () => {
		const [address] = await requestAddresses('north-2');
		return address === second.settings.listen.entry;
	});
	t.deepEqual(await requestAddresses('north-1'), [first.settings.listen.entry]);
	const both = await requestAddresses('north-3');
	t.is(both.length, 2);
});
