import {Buffer} from 'node:buffer';
import {FescuewickError, ResultCode, sha256Hex} from '@fescuewick/core';
import {z} from 'zod';
import {
	AddressFamily, makeBlock, parseClientBlock, type ClientBlock,
} from './address.js';
import {type BlockRecord} from './block-table.js';
import {prefixHash} from './prefix-hash-table.js';

/** Key of the index object in the platform's store. */
export const blockIndexKey = 'platform/blocks/index';
/** Rows per chunk; such a chunk has about 115 KB, so that a change of a few blocks transfers little data. */
export const rowsPerChunk = 12_000;

const rowBytes = {v4: 7, v6: 11} as const;
const packedRows = z.base64();

/** Content of a chunk; rows are packed as prefix (4 or 8 bytes), prefix length (1 byte) and index in `regions` (2 bytes), big-endian. */
const chunkSchema = z.strictObject({
	format: z.literal(1), regions: z.array(z.string().min(1)), v4: packedRows, v6: packedRows,
});

/** Schema of the object `platform/blocks/index`; chunk `n` is the object `platform/blocks/<n>`. */
export const blockIndexSchema = z.strictObject({version: z.int().min(1), chunkHashes: z.array(z.string().regex(/^[\da-f]{64}$/)).min(1)});

/** Version of the table and the hashes of its chunks' contents. */
export type BlockIndex = Readonly<{version: number; chunkHashes: readonly string[]}>;

/** The object `platform/blocks/<n>`: JSON text of the chunk and its SHA-256. */
export type BlockChunk = {readonly hash: string; readonly content: string};

/** An unpacked row of a chunk. */
export type BlockRow = {readonly block: ClientBlock; readonly region: string};

/** Key of a chunk in the platform's store. */
export function blockChunkKey(chunkNumber: number): string {
	return `platform/blocks/${chunkNumber}`;
}

/** Number of the chunk that holds a block; depends only on the block and the number of chunks, so that changing a block changes only its own chunk. */
export function chunkOf(block: ClientBlock, chunkCount: number): number {
	return prefixHash(block.high + block.prefixLength, block.low + (block.family === AddressFamily.v6 ? 1 : 0)) % chunkCount;
}

/** Number of chunks for a table of this size. */
export function chunkCountFor(entries: number): number {
	return Math.max(1, Math.ceil(entries / rowsPerChunk));
}

/** Packs records into chunks and their index; throws `malformedRequest` for a record whose block is malformed. */
export function encodeBlocks(records: Iterable<BlockRecord>, version: number, chunkCount: number): {index: BlockIndex; chunks: BlockChunk[]} {
	const groups: BlockRow[][] = Array.from({length: chunkCount}, () => []);
	for (const record of records) {
		const block = parseClientBlock(record.block);
		if (block === undefined) {
			throw new FescuewickError(ResultCode.malformedRequest, `client block ${record.block.slice(0, 64)} is malformed`);
		}

		groups[chunkOf(block, chunkCount)].push({block, region: record.region});
	}

	const chunks = groups.map(rows => encodeChunk(rows));
	return {index: {version, chunkHashes: chunks.map(chunk => chunk.hash)}, chunks};
}

/** Unpacks a chunk; throws `storeMalformed` if the content does not match the hash or the schema. */
export function decodeChunk(content: string, hash: string): BlockRow[] {
	if (sha256Hex(content) !== hash) {
		throw new FescuewickError(ResultCode.storeMalformed, `chunk of client blocks does not have the SHA-256 ${hash}`);
	}

	const parsed = chunkSchema.safeParse(JSON.parse(content));
	if (!parsed.success) {
		throw new FescuewickError(ResultCode.storeMalformed, `chunk of client blocks ${hash} is malformed: ${parsed.error.issues[0].message}`);
	}

	const {regions, v4, v6} = parsed.data;
	return [...unpack(AddressFamily.v4, Buffer.from(v4, 'base64'), regions), ...unpack(AddressFamily.v6, Buffer.from(v6, 'base64'), regions)];
}

function encodeChunk(rows: readonly BlockRow[]): BlockChunk {
	const regions = [...new Set(rows.map(row => row.region))].sort();
	const regionIndexes = new Map(regions.map((region, index) => [region, index]));
	const content = JSON.stringify({
		format: 1, regions, v4: pack(AddressFamily.v4, rows, regionIndexes), v6: pack(AddressFamily.v6, rows, regionIndexes),
	});
	return {hash: sha256Hex(content), content};
}

function pack(family: AddressFamily, rows: readonly BlockRow[], regionIndexes: ReadonlyMap<string, number>): string {
	const bytesPerRow = rowBytes[family];
	const packed = rows.filter(row => row.block.family === family).map(({block, region}) => {
		const bytes = Buffer.alloc(bytesPerRow);
		bytes.writeUInt32BE(block.high, 0);
		if (family === AddressFamily.v6) {
			bytes.writeUInt32BE(block.low, 4);
		}

		bytes.writeUInt8(block.prefixLength, bytesPerRow - 3);
		bytes.writeUInt16BE(regionIndexes.get(region)!, bytesPerRow - 2);
		return bytes;
	});
	// Rows are sorted, so that equal tables have equal hashes regardless of the order of their records.
	return Buffer.concat(packed.sort((a, b) => Buffer.compare(a, b))).toString('base64');
}

function * unpack(family: AddressFamily, bytes: Buffer, regions: readonly string[]): Generator<BlockRow> {
	const bytesPerRow = rowBytes[family];
	for (let offset = 0; offset + bytesPerRow <= bytes.length; offset += bytesPerRow) {
		const prefixLength = bytes.readUInt8(offset + bytesPerRow - 3);
		const region = regions[bytes.readUInt16BE(offset + bytesPerRow - 2)];
		if (region === undefined || prefixLength > (family === AddressFamily.v4 ? 32 : 64)) {
			throw new FescuewickError(ResultCode.storeMalformed, 'chunk of client blocks has a row with its prefix length or region index out of range');
		}

		yield {block: makeBlock(family, bytes.readUInt32BE(offset), family === AddressFamily.v6 ? bytes.readUInt32BE(offset + 4) : 0, prefixLength), region};
	}
}
