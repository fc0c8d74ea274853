import test from 'ava';
import {loadConfiguration} from '@fescuewick/config';
import {MessageType} from '@fescuewick/wire';
import {TestCluster, testDocument} from './cluster-fixture.js';

/** At the design size, an accepted change is in force on every node within this time. */
const propagationLimitMs = 10_000;

async function startCluster(domains = 3, nodesPerDomain = 2): Promise<TestCluster> {
	const cluster = new TestCluster(TestCluster.records(domains, nodesPerDomain));
	await cluster.apply(testDocument());
	await cluster.startAll();
	await cluster.timers.advance(4000);
	return cluster;
}

function everyNodeHolds(cluster: TestCluster, revision: number): boolean {
	return cluster.nodes.size > 0 && cluster.revisions().every(held => held === revision);
}

// Guards against a node that serves without a configuration, or that never serves because the store is down.
test('a node that starts during a store outage takes the highest revision of its peers', async t => {
	const cluster = await startCluster();
	cluster.kill('d2n1');
	cluster.store.faults.down = true;
	const node = await cluster.start(cluster.records.at(-1)!);
	await cluster.timers.advance(5000);
	t.true(node.sync.ready);
	t.is(node.sync.revision, 1);
	for (const vm of cluster.nodes.keys()) {
		cluster.kill(vm);
	}

	await cluster.startAll();
	await cluster.timers.advance(8000);
	t.true([...cluster.nodes.values()].every(({sync}) => !sync.ready && sync.document === undefined));
	cluster.heal();
	await cluster.timers.advance(propagationLimitMs);
	t.true([...cluster.nodes.values()].every(({sync}) => sync.ready));
	t.true(everyNodeHolds(cluster, 1));
	cluster.stop();
});

// Guards against a slow store or a lost answer that stops the relay or causes a change to be applied twice.
test('changes get through a slow store and lost answers', async t => {
	const cluster = await startCluster();
	cluster.store.faults.slowMs = 800;
	cluster.store.faults.loseAnswers = 1;
	const applied = cluster.apply(testDocument([], 2));
	await cluster.timers.advance(30_000);
	t.is(await applied, 2);
	t.true(everyNodeHolds(cluster, 2));
	cluster.store.faults.silent = true;
	await cluster.timers.advance(5000);
	cluster.heal();
	const next = cluster.apply(testDocument([], 3));
	await cluster.timers.advance(propagationLimitMs);
	t.is(await next, 3);
	t.true(everyNodeHolds(cluster, 3));
	cluster.stop();
});

// Guards against a failure domain that keeps an old revision after it was cut off from the store, its peers, or both.
test('a failure domain that was cut off holds the accepted revision within 10 s of its return', async t => {
	for (const [fromStore, fromPeers] of [[true, false], [false, true], [true, true]]) {
		const cluster = await startCluster();
		if (fromPeers) {
			cluster.partition('d0', 'd1');
			cluster.partition('d0', 'd2');
		}

		if (fromStore) {
			cluster.cutFromStore.add('d0n0').add('d0n1');
		}

		await cluster.timers.advance(20_000);
		const revision = await cluster.apply(testDocument([], 2));
		await cluster.timers.advance(propagationLimitMs);
		const isCutOff = fromStore && fromPeers;
		t.is(cluster.node('d0n0').sync.revision, isCutOff ? 1 : 2, `store ${fromStore}, peers ${fromPeers}`);
		t.is((cluster.node('d0n0').sync.freshnessAgeMs ?? 0) > 20_000, isCutOff);
		t.is(cluster.node('d1n0').sync.revision, 2);
		cluster.heal();
		await cluster.timers.advance(propagationLimitMs);
		t.true(everyNodeHolds(cluster, revision));
		t.true((cluster.node('d0n0').sync.freshnessAgeMs ?? propagationLimitMs) < 3000);
		cluster.stop();
	}
});

// Guards against a fleet that waits for readers that were killed or whose store calls do not return.
test('killed and silent readers are made up for', async t => {
	const cluster = await startCluster(2, 5);
	const readers = [...cluster.nodes.values()].filter(node => node.sync.isReader && node.record.failureDomain === 'd0');
	for (const reader of readers) {
		cluster.kill(reader.record.vm);
	}

	// Their successors and the readers of the other failure domain cannot reach the store either.
	await cluster.timers.advance(4000);
	for (const node of cluster.nodes.values()) {
		if (node.sync.isReader) {
			cluster.cutFromStore.add(node.record.vm);
		}
	}

	t.is(cluster.cutFromStore.size, 4);

	await cluster.apply(testDocument([], 2));
	await cluster.timers.advance(propagationLimitMs);
	t.true(everyNodeHolds(cluster, 2));
	cluster.stop();
});

// Guards against a configuration that is held only in the memory of processes and lost when they are replaced.
test('replacing all nodes, one by one and all at once, loses nothing', async t => {
	const cluster = await startCluster();
	for (const record of cluster.records) {
		cluster.kill(record.vm);
		await cluster.start(record);
		await cluster.timers.advance(1500);
	}

	await cluster.apply(testDocument([], 2));
	await cluster.timers.advance(propagationLimitMs);
	t.true(everyNodeHolds(cluster, 2));
	for (const vm of cluster.nodes.keys()) {
		cluster.kill(vm);
	}

	await cluster.startAll();
	await cluster.timers.advance(propagationLimitMs);
	t.true(everyNodeHolds(cluster, 2));
	t.true([...cluster.nodes.values()].every(node => node.mesh.linkCount === 5));
	cluster.stop();
});

// Guards against a thundering herd: without backoff and a call budget, every node would read the head and the parts as soon as the store recovers.
test('a store that recovers after a long outage is not called by all nodes at once', async t => {
	const cluster = await startCluster(2, 12);
	const totalCalls = () => [...cluster.nodes.values()].reduce((sum, node) => sum + node.store.calls, 0);
	cluster.store.faults.down = true;
	cluster.store.wakeAll();
	await cluster.timers.advance(60_000);
	const duringOutage = totalCalls();
	await cluster.timers.advance(10_000);
	// Each node calls the store at most once per 2 s.
	t.true(totalCalls() - duringOutage <= 24 * 5, `${totalCalls() - duringOutage} calls in 10 s of the outage`);
	cluster.store.faults.down = false;
	await cluster.apply(testDocument([], 2));
	let maxCallsPerS = 0;
	for (let second = 0; second < 10; second++) {
		const before = totalCalls();
		await cluster.timers.advance(1000);
		maxCallsPerS = Math.max(maxCallsPerS, totalCalls() - before);
	}

	// One call per node and 2 s; in addition each of the 4 readers makes a long poll, a read of a part and the next poll.
	t.true(maxCallsPerS <= (24 / 2) + (4 * 3), `${maxCallsPerS} calls in one second`);
	t.true(everyNodeHolds(cluster, 2));
	const callsBeforeSteadyState = totalCalls();
	await cluster.timers.advance(10_000);
	t.true(totalCalls() - callsBeforeSteadyState <= 4 * 12, `${totalCalls() - callsBeforeSteadyState} calls in 10 s of steady state`);
	cluster.stop();
});

// Guards against two accepted changes with the same revision, and nodes that disagree on which one was accepted.
test('of two operators that race, one is accepted everywhere', async t => {
	const cluster = await startCluster();
	cluster.store.faults.slowMs = 50;
	const results = Promise.allSettled([cluster.apply(testDocument(['a'], 2)), cluster.apply(testDocument(['b'], 3))]);
	await cluster.timers.advance(propagationLimitMs);
	const settled = await results;
	t.deepEqual(settled.map(result => result.status).sort((a, b) => a.localeCompare(b)), ['fulfilled', 'rejected']);
	const load = loadConfiguration(cluster.store);
	await cluster.timers.advance(1000);
	const accepted = await load;
	for (const node of cluster.nodes.values()) {
		t.deepEqual(node.sync.document, accepted?.document);
	}

	cluster.stop();
});

// Guards against a resumed process that treats heartbeats from its socket buffers as recent.
test('a paused node does not take old heartbeats for a confirmation', async t => {
	const cluster = await startCluster();
	cluster.pause('d0n0');
	cluster.cutFromStore.add('d0n0');
	await cluster.timers.advance(800);
	// All its links break while it is paused, so only buffered frames can reach it.
	for (const record of cluster.records) {
		cluster.network.cut('d0n0', record.vm);
	}

	await cluster.timers.advance(59_000);
	cluster.resume('d0n0');
	await cluster.timers.advance(300);
	const {sync, keys} = cluster.node('d0n0');
	t.true((sync.freshnessAgeMs ?? 0) >= 59_000, `freshness age ${sync.freshnessAgeMs}`);
	t.true((keys.keysAgeMs() ?? 60_000) >= 55_000, `keys age ${keys.keysAgeMs()}`);
	await cluster.apply(testDocument([], 2));
	cluster.heal();
	await cluster.timers.advance(propagationLimitMs);
	t.true(everyNodeHolds(cluster, 2));
	cluster.stop();
});

// Guards against a node that adopts any offer of a peer: an older copy, parts that do not match their hashes, or a malformed head.
test('an old copy or a damaged head from a peer is not adopted', async t => {
	const cluster = await startCluster();
	const {head} = cluster.node('d0n0').sync;
	await cluster.apply(testDocument(['k'], 2));
	await cluster.timers.advance(3000);
	const peer = cluster.node('d0n0').mesh;
	const adopted: number[] = [];
	cluster.node('d1n0').sync.onChange(({revision}) => {
		adopted.push(revision);
	});
	const damaged = {...head, revision: 9, parts: {...head.parts, keys: '0'.repeat(64)}};
	for (const offer of [head, damaged, {...damaged, parts: {keys: 'x'}}, {...damaged, revision: 'many' as never}]) {
		const answer = Promise.allSettled([peer.request('d1n0', MessageType.configHead, {...offer, freshnessAgeMs: 0}, 500)]);
		await cluster.timers.advance(3000);
		await answer;
		t.is(cluster.node('d1n0').sync.revision, 2);
		t.deepEqual(adopted, []);
	}

	await cluster.apply(testDocument([], 3));
	await cluster.timers.advance(propagationLimitMs);
	t.true(everyNodeHolds(cluster, 3));
	cluster.stop();
});
