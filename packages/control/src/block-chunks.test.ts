import {Buffer} from 'node:buffer';
import test from 'ava';
import {
	createIncarnation, createSilentLogger, ManualTimerService, sha256Hex,
} from '@fescuewick/core';
import {FakePeerHub, memoryRecord} from '@fescuewick/membership';
import {MemoryObjectStore, type StoredObject} from '@fescuewick/store';
import {MessageType} from '@fescuewick/wire';
import {BlockChunks} from './block-chunks.js';
import {relayPosition, sectionOf} from './config-sync/index.js';

const content = 'rows';
const hash = sha256Hex(content);

class CountingStore extends MemoryObjectStore {
	reads = 0;

	override async read(key: string): Promise<StoredObject | undefined> {
		this.reads++;
		return super.read(key);
	}
}

async function startDomain(size: number) {
	const timers = new ManualTimerService();
	const store = new CountingStore(timers);
	await store.write('platform/blocks/0', {hash, content}, undefined);
	const hub = new FakePeerHub(timers);
	const nodes = Array.from({length: size}, (_, index) => {
		const record = memoryRecord(`vm-${index}`, 'd');
		const peers = hub.add(record, createIncarnation(record.vm, timers));
		const chunks = new BlockChunks({
			peers, store, timers, logger: createSilentLogger(), index: () => ({version: 1, chunkHashes: [hash]}),
			isReader: () => relayPosition(record.vm, peers.liveVms('d')).isReader,
		});
		peers.handle(MessageType.configPartRequest, async body => sectionOf(await chunks.readForPeer(body.hash), body));
		return chunks;
	});
	const readAll = async () => {
		const reads = Promise.all(nodes.map(async chunks => chunks.read(hash)));
		await timers.advance(2000);
		return reads;
	};

	return {
		timers, store, nodes, hub, readAll,
	};
}

// Guards against a changed chunk that is read from the store by each of 7,600 nodes.
test('a chunk that all nodes of a failure domain request causes one store read per reader', async t => {
	const {store, readAll} = await startDomain(12);
	const chunks = await readAll();
	t.true(chunks.every(chunk => chunk?.equals(Buffer.from(content))));
	t.true(store.reads <= 2, `${store.reads} reads`);
});

// Guards against a chunk that is cached indefinitely, and against one that is read again for each request.
test('a chunk is cached for one minute', async t => {
	const {store, nodes, timers} = await startDomain(1);
	await nodes[0].read(hash);
	await nodes[0].read(hash);
	t.is(store.reads, 1);
	await timers.advance(61_000);
	await nodes[0].read(hash);
	t.is(store.reads, 2);
});

// Guards against returning the content of an older chunk for the hash of a new one, and against caching a failed read.
test('a chunk whose content does not match its hash is not returned, and the next request reads it again', async t => {
	const {store, nodes} = await startDomain(1);
	const [{version}] = await store.list('platform/blocks/0');
	await store.write('platform/blocks/0', {hash, content: 'other rows'}, version);
	t.is(await nodes[0].read(hash), undefined);
	await store.write('platform/blocks/0', {hash, content}, version + 1);
	t.deepEqual(await nodes[0].read(hash), Buffer.from(content));
});
