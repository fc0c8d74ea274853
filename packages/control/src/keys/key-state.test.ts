import test from 'ava';
import {loadConfiguration, type ConfigurationDocument} from '@fescuewick/config';
import {TestCluster, testDocument, testKeyHash} from '../config-sync/cluster-fixture.js';

const keyHash = testKeyHash('k1');
const otherKeyHash = testKeyHash('k2');
/** A revoked key is rejected on every node within this time, the default of `staleKeysServeMs` for at-most-once classes. */
const propagationLimitMs = 5000;
/** Keys are current while their age is less than this. */
const maxCurrentAgeMs = 5000;

async function startCluster(domains = 3, nodesPerDomain = 2): Promise<TestCluster> {
	const cluster = new TestCluster(TestCluster.records(domains, nodesPerDomain));
	await cluster.apply(testDocument(['k1', 'k2']));
	await cluster.startAll();
	await cluster.timers.advance(4000);
	return cluster;
}

function validAt(cluster: TestCluster, hash: string): string[] {
	return [...cluster.nodes.values()].filter(node => node.keys.validKey(hash) !== undefined).map(node => node.record.vm);
}

async function storedDocument(cluster: TestCluster): Promise<ConfigurationDocument> {
	const load = loadConfiguration(cluster.store);
	await cluster.timers.advance(100);
	const loaded = await load;
	return loaded!.document;
}

// Guards against a key that was removed from the configuration and becomes valid again when an older copy is applied.
test('a key removed from the configuration is revoked permanently', async t => {
	const cluster = await startCluster();
	t.is(validAt(cluster, keyHash).length, 6);
	await cluster.apply(testDocument(['k2'], 2));
	await cluster.timers.advance(propagationLimitMs);
	t.deepEqual(validAt(cluster, keyHash), []);
	t.is(validAt(cluster, otherKeyHash).length, 6);
	// An operator applies an older copy; the key stays revoked, and the readers remove it from the configuration again.
	await cluster.apply(testDocument(['k1', 'k2'], 3));
	await cluster.timers.advance(500);
	t.deepEqual(validAt(cluster, keyHash), []);
	await cluster.timers.advance(10_000);
	t.deepEqual(validAt(cluster, keyHash), []);
	const document = await storedDocument(cluster);
	t.deepEqual(document.keys.map(entry => entry.id), ['k2']);
	t.is(document.classes[0].latenessTargetMs, 103);
	cluster.stop();
});

// Guards against a revocation that waits for the store, or that is not propagated beyond the region in which it was issued.
test('a revocation during a store outage reaches every node and is written when the store recovers', async t => {
	const cluster = await startCluster();
	cluster.store.faults.down = true;
	cluster.store.wakeAll();
	// Keys stay current from the start of the outage: at first by the last confirmation, then because all failure domains receive heartbeats of each other.
	for (let step = 0; step < 100; step++) {
		await cluster.timers.advance(100);
		t.true([...cluster.nodes.values()].every(node => (node.keys.keysAgeMs() ?? maxCurrentAgeMs) < maxCurrentAgeMs), `keys are current ${step * 100} ms into the outage`);
	}

	cluster.node('d1n1').keys.revoke([keyHash]);
	await cluster.timers.advance(propagationLimitMs);
	t.deepEqual(validAt(cluster, keyHash), []);
	t.true(cluster.node('d1n1').keys.confirmations(keyHash).every(({confirmed}) => confirmed));
	await cluster.timers.advance(30_000);
	cluster.heal();
	const concurrentChange = Promise.allSettled([cluster.apply(testDocument(['k1', 'k2'], 5))]);
	await cluster.timers.advance(12_000);
	await concurrentChange;
	const document = await storedDocument(cluster);
	t.deepEqual(document.keys.map(entry => entry.id), ['k2']);
	t.deepEqual(validAt(cluster, keyHash), []);
	// All nodes hold the revision without the key, so a node that starts later gets the revocation from the store alone.
	t.is(new Set(cluster.revisions()).size, 1);
	cluster.stop();
});

// Guards against a cut-off failure domain that treats its keys as current while it misses revocations, and against reporting a confirmation that no member gave.
test('the keys of a cut-off failure domain are not current, and it merges revocations when it is connected again', async t => {
	const cluster = await startCluster();
	cluster.store.faults.down = true;
	cluster.store.wakeAll();
	await cluster.timers.advance(10_000);
	cluster.partition('d0', 'd1');
	cluster.partition('d0', 'd2');
	await cluster.timers.advance(1000);
	cluster.node('d1n0').keys.revoke([keyHash]);
	cluster.node('d0n0').keys.revoke([otherKeyHash]);
	await cluster.timers.advance(6000);
	t.deepEqual(validAt(cluster, keyHash), ['d0n0', 'd0n1']);
	t.true((cluster.node('d0n1').keys.keysAgeMs() ?? maxCurrentAgeMs) >= maxCurrentAgeMs);
	t.true((cluster.node('d1n1').keys.keysAgeMs() ?? maxCurrentAgeMs) >= maxCurrentAgeMs, 'a revocation issued on the other side of the partition would not arrive here either');
	const unconfirmed = cluster.node('d1n0').keys.confirmations(keyHash).filter(({confirmed}) => !confirmed).map(({vm}) => vm);
	t.deepEqual(unconfirmed.sort((a, b) => a.localeCompare(b)), ['d0n0', 'd0n1']);
	cluster.network.heal();
	await cluster.timers.advance(propagationLimitMs);
	t.deepEqual([...validAt(cluster, keyHash), ...validAt(cluster, otherKeyHash)], []);
	t.true(cluster.node('d1n0').keys.confirmations(keyHash).every(({confirmed}) => confirmed));
	t.true((cluster.node('d0n1').keys.keysAgeMs() ?? maxCurrentAgeMs) < maxCurrentAgeMs);
	cluster.stop();
});

// Guards against treating keys as current because of heartbeats while some node can reach the store: a revocation may be in the store only.
test('heartbeats of peers do not make keys current while any node reports contact with the store', async t => {
	const cluster = await startCluster(2, 2);
	// The nodes of d0 lose the store, but d1 still confirms the configuration in its heartbeats, so their keys stay current.
	cluster.cutFromStore.add('d0n0').add('d0n1');
	await cluster.timers.advance(8000);
	t.true((cluster.node('d0n0').keys.keysAgeMs() ?? maxCurrentAgeMs) < maxCurrentAgeMs);
	t.true(cluster.node('d0n0').sync.storeContactReported(3000));
	// Cut off from d1 as well, they receive no confirmation.
	cluster.partition('d0', 'd1');
	await cluster.timers.advance(8000);
	t.true((cluster.node('d0n0').keys.keysAgeMs() ?? maxCurrentAgeMs) >= 7000);
	cluster.stop();
});

// Guards against a node that starts during an outage with a configuration that still contains the revoked key.
test('a node that starts after a revocation during an outage does not accept the key', async t => {
	const cluster = await startCluster();
	cluster.store.faults.down = true;
	cluster.store.wakeAll();
	cluster.node('d1n0').keys.revoke([keyHash]);
	await cluster.timers.advance(5000);
	cluster.kill('d2n1');
	const node = await cluster.start(cluster.records.at(-1)!);
	for (let step = 0; step < 100; step++) {
		await cluster.timers.advance(100);
		if (node.keys.keysAgeMs() !== undefined) {
			t.is(node.keys.validKey(keyHash), undefined);
		}
	}

	t.true((node.keys.keysAgeMs() ?? maxCurrentAgeMs) < maxCurrentAgeMs);
	t.truthy(node.keys.validKey(otherKeyHash));
	cluster.stop();
});

// Guards against malformed hashes from peers, which would be propagated indefinitely.
test('only SHA-256 hashes are accepted', async t => {
	const cluster = await startCluster(1, 2);
	t.throws(() => {
		cluster.node('d0n0').keys.revoke(['abc']);
	}, {any: true});
	cluster.node('d0n0').mesh.send('d0n1', 12, {keyHashes: ['abc', 7 as never, keyHash]});
	await cluster.timers.advance(100);
	t.deepEqual(cluster.node('d0n1').keys.revokedKeyHashes, [keyHash]);
	cluster.stop();
});
