import {
	BlockTable, chunkCountFor, decodeChunk, encodeBlocks, parseClientBlock,
} from '@fescuewick/lookup';
import {
	cpuUsPerCall, fitSlope, measureMemory, type Section,
} from './measure.js';
import {designSize} from './sizes.js';

const tableSizes = [7700, 77_000, 770_000] as const;
const queryCount = 10_000;
const ipv6Fraction = 0.3;

/** Measures the client-block table: memory, build, updates, matches, and the bytes that a replaced VM reads to refill it. */
export async function measureBlocks(): Promise<Section> {
	const rows = tableSizes.map(size => measureSize(size));
	return {
		role: 'Client-block table',
		tables: [{
			title: 'Table with this many entries, 30 % of them IPv6',
			columns: [
				'entries',
				'memory, bytes per entry',
				'build from chunks, CPU ms',
				'one entry replaced, CPU µs',
				'one chunk replaced, CPU ms',
				'matches/s per core',
				'refill, bytes',
				'chunks',
			],
			rows,
		}],
		slopes: [
			fitSlope('memory of the table', 'B per entry', rows.map(row => [row[0], row[1] * row[0]])),
			fitSlope('processor time of a build', 'µs per entry', rows.map(row => [row[0], row[2] * 1000])),
			fitSlope('bytes of a refill', 'B per entry', rows.map(row => [row[0], row[6]])),
		],
	};
}

function measureSize(size: number): number[] {
	const {chunks} = encodeBlocks(records(size), 1, chunkCountFor(size));
	const refillBytes = chunks.reduce((sum, chunk) => sum + chunk.content.length, 0);
	build(chunks);
	const {value: table, sizeBytes: memoryBytes} = measureMemory(() => build(chunks));
	const buildUs = cpuUsPerCall(() => build(chunks), 50);
	const [first] = chunks;
	const chunkUs = cpuUsPerCall(() => {
		for (const {block, region} of decodeChunk(first.content, first.hash)) {
			table.set(block, region);
		}
	});
	const queriedBlocks = [...records(size)].slice(0, queryCount).map(({block}) => parseClientBlock(block)!);
	let next = 0;
	const updateUs = cpuUsPerCall(() => {
		table.set(queriedBlocks[next++ % queriedBlocks.length], 'region-3');
	}, 50);
	const matchUs = cpuUsPerCall(() => {
		for (const block of queriedBlocks) {
			table.match(block);
		}
	}) / queriedBlocks.length;
	return [size, memoryBytes / size, buildUs / 1000, updateUs, chunkUs / 1000, 1e6 / matchUs, refillBytes, chunks.length];
}

function build(chunks: ReadonlyArray<{readonly content: string; readonly hash: string}>): BlockTable {
	const table = new BlockTable();
	for (const {content, hash} of chunks) {
		const rows = decodeChunk(content, hash);
		table.reserve(rows.map(row => row.block));
		for (const {block, region} of rows) {
			table.set(block, region);
		}
	}

	return table;
}

function ipv4Block(index: number): string {
	return `${1 + Math.floor(index / 65_536)}.${Math.floor(index / 256) % 256}.${index % 256}.0/24`;
}

function ipv6Block(index: number): string {
	return `2001:${(index % 65_536).toString(16)}:${Math.floor(index / 65_536).toString(16)}::/48`;
}

function * records(size: number): Generator<{block: string; region: string}> {
	const firstIpv6Index = Math.floor(size * (1 - ipv6Fraction));
	for (let index = 0; index < size; index++) {
		const region = `region-${index % designSize.regions}`;
		yield {block: index < firstIpv6Index ? ipv4Block(index) : ipv6Block(index), region};
	}
}
