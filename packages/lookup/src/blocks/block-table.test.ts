import {BlockList, isIPv4, isIPv6} from 'node:net';
import test from 'ava';
import fc from 'fast-check';
import {createSilentLogger, ManualTimerService} from '@fescuewick/core';
import {MemoryObjectStore} from '@fescuewick/store';
import {AddressFamily, formatBlock, parseClientBlock} from './address.js';
import {BlockLoader} from './block-loader.js';
import {BlockTable} from './block-table.js';
import {
	blockChunkKey, blockIndexKey, blockIndexSchema, decodeChunk, encodeBlocks, type BlockChunk, type BlockIndex,
} from './chunk.js';

// Guards against misparsed addresses and against accepting forms that parsers interpret differently.
test('addresses and blocks are parsed, and malformed ones are rejected', t => {
	const valid = [
		['10.1.2.3', '10.1.2.3/32'],
		['10.1.2.3/8', '10.0.0.0/8'],
		['255.255.255.255', '255.255.255.255/32'],
		['0.0.0.0/0', '0.0.0.0/0'],
		['2001:db8:1:2:3::', '2001:db8:1:2::/64'],
		['2001:db8::/32', '2001:db8:0:0::/32'],
		['::/0', '0:0:0:0::/0'],
		['::ffff:10.1.2.3', '10.1.2.3/32'],
		['::ffff:10.0.0.0/104', '10.0.0.0/8'],
	];
	const malformed = [
		'::ffff:0:0/95', '10.1.2', '10.1.2.3.4', '010.1.2.3', '10.1.2.3/33', '10.1.2.3/', '10.1.2.3/08', ' 10.1.2.3', '1::2::3', 'fe80::1%eth0', '::/129', '', '/8', 'localhost',
	];
	for (const text of malformed) {
		t.is(parseClientBlock(text), undefined, `for "${text}"`);
	}

	for (const [text, expected] of valid) {
		t.is(formatBlock(parseClientBlock(text)!), expected, `for "${text}"`);
	}

	fc.assert(fc.property(fc.oneof(fc.ipV4(), fc.ipV6(), fc.string({maxLength: 20})), text => {
		const family = parseClientBlock(text)?.family;
		return text.includes('/') || text.includes('%') || (family !== undefined) === (isIPv4(text) || isIPv6(text));
	}), {seed: 3, numRuns: 500});
});

const octet = fc.integer({min: 0, max: 3});
const entry = fc.record({
	block: fc.oneof(
		fc.tuple(octet, octet, octet, octet, fc.integer({min: 0, max: 32})).map(([a, b, c, d, length]) => `${a * 64}.${b}.${c}.${d * 64}/${length}`),
		fc.tuple(octet, octet, fc.integer({min: 0, max: 64})).map(([a, b, length]) => `2001:${a}:${b}::/${length}`),
	).map(text => formatBlock(parseClientBlock(text)!)),
	region: fc.constantFrom('addis', 'tigray', 'oromia'),
});

/** Reference implementation: longest-prefix match by a linear scan with the `BlockList` of Node.js. */
function linearMatch(records: ReadonlyMap<string, string>, address: string, family: AddressFamily): string | undefined {
	const type = family === AddressFamily.v4 ? 'ipv4' : 'ipv6';
	let best: {length: number; region: string} | undefined;
	for (const [text, region] of records) {
		const [prefix, length] = text.split('/');
		const list = new BlockList();
		list.addSubnet(prefix, Number(length), prefix.includes(':') ? 'ipv6' : 'ipv4');
		if (prefix.includes(':') === (type === 'ipv6') && list.check(address, type) && (best === undefined || Number(length) > best.length)) {
			best = {length: Number(length), region};
		}
	}

	return best?.region;
}

// Guards against lost or stale entries after inserts, replacements and removals in the hash tables.
test('the longest prefix wins after any updates', t => {
	const address = fc.tuple(octet, octet, octet, octet);
	fc.assert(fc.property(fc.array(entry, {maxLength: 40}), fc.array(entry, {maxLength: 20}), fc.array(address, {minLength: 5, maxLength: 20}), (first, second, probes) => {
		const table = BlockTable.from(first);
		const removed = first.filter((_, index) => index % 3 === 0).map(record => record.block);
		table.update(second, removed);
		const expected = new Map([...first, ...second].map(record => [record.block, record.region]));
		for (const block of removed) {
			expected.delete(block);
		}

		return table.size === expected.size && probes.every(([a, b, c, d]) => {
			const v4 = `${a * 64}.${b}.${c}.${d * 64}`;
			const v6 = `2001:${a}:${b}::${c}`;
			return table.match(parseClientBlock(v4)!)?.region === linearMatch(expected, v4, AddressFamily.v4)
				&& table.match(parseClientBlock(v6)!)?.region === linearMatch(expected, v6, AddressFamily.v6);
		});
	}), {seed: 7, numRuns: 150});
	t.pass();
});

function setUp(chunks: () => readonly BlockChunk[]) {
	const timers = new ManualTimerService();
	const table = new BlockTable();
	const fetched: string[] = [];
	const loader = new BlockLoader({
		table, timers, logger: createSilentLogger(),
		async fetchChunk(hash) {
			fetched.push(hash);
			return chunks().find(chunk => chunk.hash === hash)?.content;
		},
	});
	return {
		timers, table, loader, fetched,
	};
}

// Guards against updates that fetch the whole table for a few changed blocks, and against rows that stay after their removal.
test('chunks are loaded by their hash, and a change fetches only the changed ones', async t => {
	const records = Array.from({length: 2000}, (_, index) => ({block: `10.${index % 200}.${Math.floor(index / 200)}.0/24`, region: `region-${index % 3}`}));
	let stored = encodeBlocks(records, 1, 16);
	const {timers, table, loader, fetched} = setUp(() => stored.chunks);
	loader.update(stored.index);
	await timers.advance(10);
	t.is(table.size, 2000);
	t.is(loader.loadedVersion, 1);
	t.is(fetched.length, 16);
	stored = encodeBlocks([{...records[0], region: 'region-9'}, ...records.slice(2)].reverse(), 2, 16);
	loader.update(stored.index);
	await timers.advance(10);
	t.true(fetched.length <= 18);
	t.is(table.size, 1999);
	t.is(table.match(parseClientBlock('10.0.0.9')!)?.region, 'region-9');
	t.is(table.match(parseClientBlock('10.1.0.9')!), undefined);
	const repartitioned = encodeBlocks(records.slice(0, 500), 3, 4);
	stored = repartitioned;
	loader.update(repartitioned.index);
	await timers.advance(10);
	t.is(table.size, 500);
	loader.update({...stored.index, version: 2});
	t.is(loader.loadedVersion, 3);
});

// Guards against a loader that gives up on a temporarily missing chunk or accepts a chunk that was altered in transit.
test('a missing chunk is fetched again, and an altered one is rejected', async t => {
	const stored = encodeBlocks([{block: '10.0.0.0/8', region: 'addis'}], 1, 1);
	let available: BlockChunk[] = [];
	const {timers, table, loader} = setUp(() => available);
	loader.update(stored.index);
	await timers.advance(3000);
	t.is(table.size, 0);
	available = [{hash: stored.chunks[0].hash, content: stored.chunks[0].content.replace('addis', 'cairo')}];
	await timers.advance(3000);
	t.is(table.size, 0);
	available = stored.chunks;
	await timers.advance(3000);
	t.is(table.size, 1);
	loader.stop();
	t.throws(() => decodeChunk('{}', stored.chunks[0].hash), {any: true});
});

// Guards against chunks that exceed the maximum value size of the platform's store.
test('the store accepts chunks and index and returns them unchanged', async t => {
	const timers = new ManualTimerService();
	const store = new MemoryObjectStore(timers);
	const records = Array.from({length: 15_000}, (_, index) => ({block: `2001:${(index % 5000).toString(16)}:${Math.floor(index / 5000)}::/48`, region: `site-${index % 1900}`}));
	const {index, chunks} = encodeBlocks(records, 7, 1);
	await store.write(blockIndexKey, index, undefined);
	await store.write(blockChunkKey(0), chunks[0], undefined);
	const readIndex = blockIndexSchema.parse((await store.read(blockIndexKey))!.value) as BlockIndex;
	const readChunk = (await store.read(blockChunkKey(0)))!.value as BlockChunk;
	t.is(decodeChunk(readChunk.content, readIndex.chunkHashes[0]).length, 15_000);
});
