import {FescuewickError, ResultCode} from '@fescuewick/core';
import {
	AddressFamily, maskHigh, maskLow, parseClientBlock, type ClientBlock,
} from './address.js';
import {PrefixHashTable} from './prefix-hash-table.js';

/** A block of client addresses and the region with the lowest latency to it. */
export type BlockRecord = {readonly block: string; readonly region: string};

/** Region and prefix length of a matched entry. */
export type BlockMatch = {readonly region: string; readonly prefixLength: number};

/** Region numbers are stored in 16 bits, and 0 marks an empty slot. */
const maxRegions = 65_535;
/** Added to IPv6 prefix lengths in keys that stand for a family and a prefix length. */
const ipv6KeyOffset = 256;
const noLengths: readonly number[] = [];

/** Longest-prefix-match table from client blocks to home regions. */
export class BlockTable {
	readonly #tables = {v4: new Map<number, PrefixHashTable>(), v6: new Map<number, PrefixHashTable>()};
	/** Prefix lengths in use, longest first. */
	readonly #lengths: Record<AddressFamily, readonly number[]> = {v4: noLengths, v6: noLengths};
	readonly #regions: string[] = [];
	readonly #regionNumbers = new Map<string, number>();
	/** Cached matches by prefix length and region number, so that a look-up does not allocate one. */
	readonly #matches = new Map<number, BlockMatch>();

	/** Builds a table; throws `malformedRequest` for a record whose block is malformed. */
	static from(records: readonly BlockRecord[]): BlockTable {
		const table = new BlockTable();
		table.update(records, []);
		return table;
	}

	get size(): number {
		return this.#sum(table => table.size);
	}

	/** Size of the typed arrays. */
	get sizeBytes(): number {
		return this.#sum(table => table.sizeBytes);
	}

	get regions(): readonly string[] {
		return this.#regions;
	}

	/** The entry with the longest prefix that contains the block; undefined if there is none. */
	match(block: ClientBlock): BlockMatch | undefined {
		const tables = this.#tables[block.family];
		for (const length of this.#lengths[block.family]) {
			if (length > block.prefixLength) {
				continue;
			}

			const regionNumber = tables.get(length)!.get(maskHigh(block.high, length), maskLow(block.low, length));
			if (regionNumber !== 0) {
				return this.#matchOf(length, regionNumber);
			}
		}

		return undefined;
	}

	/** Adds or replaces the records, then removes the blocks in `removed`; throws `malformedRequest` for a malformed block. */
	update(records: readonly BlockRecord[], removed: readonly string[]): void {
		const blocks = records.map(({block}) => parseEntry(block));
		this.reserve(blocks);
		for (const [index, block] of blocks.entries()) {
			this.set(block, records[index].region);
		}

		for (const text of removed) {
			this.delete(parseEntry(text));
		}
	}

	/** Creates missing hash tables with capacity for the blocks that are about to be added. */
	reserve(blocks: readonly ClientBlock[]): void {
		const counts = new Map<number, number>();
		for (const {family, prefixLength} of blocks) {
			const key = (family === AddressFamily.v6 ? ipv6KeyOffset : 0) + prefixLength;
			counts.set(key, (counts.get(key) ?? 0) + 1);
		}

		for (const [key, count] of counts) {
			this.#tableOf(key >= ipv6KeyOffset ? AddressFamily.v6 : AddressFamily.v4, key % ipv6KeyOffset, count);
		}
	}

	/** Adds or replaces one entry. */
	set(block: ClientBlock, region: string): void {
		this.#tableOf(block.family, block.prefixLength, 0).set(block.high, block.low, this.#regionNumberOf(region));
	}

	/** Removes one entry; returns whether it existed. */
	delete(block: ClientBlock): boolean {
		return this.#tables[block.family].get(block.prefixLength)?.delete(block.high, block.low) ?? false;
	}

	/** All blocks in the table. */
	* blocks(): Generator<ClientBlock> {
		for (const family of Object.values(AddressFamily)) {
			for (const [prefixLength, table] of this.#tables[family]) {
				for (const {high, low} of table.entries()) {
					yield {
						family, high, low, prefixLength,
					};
				}
			}
		}
	}

	#sum(measureOf: (table: PrefixHashTable) => number): number {
		return [...this.#tables.v4.values(), ...this.#tables.v6.values()].reduce((sum, table) => sum + measureOf(table), 0);
	}

	#matchOf(prefixLength: number, regionNumber: number): BlockMatch {
		const key = (prefixLength * (maxRegions + 1)) + regionNumber;
		let match = this.#matches.get(key);
		if (match === undefined) {
			match = {region: this.#regions[regionNumber - 1], prefixLength};
			this.#matches.set(key, match);
		}

		return match;
	}

	#tableOf(family: AddressFamily, length: number, expectedEntries: number): PrefixHashTable {
		let table = this.#tables[family].get(length);
		if (table === undefined) {
			table = new PrefixHashTable(family === AddressFamily.v6, expectedEntries);
			this.#tables[family].set(length, table);
			this.#lengths[family] = [...this.#tables[family].keys()].sort((a, b) => b - a);
		}

		return table;
	}

	#regionNumberOf(region: string): number {
		let regionNumber = this.#regionNumbers.get(region);
		if (regionNumber === undefined) {
			if (this.#regions.length >= maxRegions) {
				throw new FescuewickError(ResultCode.malformedRequest, `more than ${maxRegions} regions in the table of client blocks`);
			}

			this.#regions.push(region);
			regionNumber = this.#regions.length;
			this.#regionNumbers.set(region, regionNumber);
		}

		return regionNumber;
	}
}

function parseEntry(text: string): ClientBlock {
	const block = parseClientBlock(text);
	if (block === undefined) {
		throw new FescuewickError(ResultCode.malformedRequest, `client block ${text.slice(0, 64)} is malformed`);
	}

	return block;
}

