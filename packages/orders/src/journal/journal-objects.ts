import {type Buffer} from 'node:buffer';
import {FescuewickError, ResultCode} from '@fescuewick/core';
import {absentVersion, type ObjectStore} from '@fescuewick/store';
import {BloomFilter} from '../claim-table/bloom-filter.js';
import {
	emptyTail, parseContent, parseTail, type Tail,
} from './tail.js';

/** Reads and writes a partition's objects in the store. */
export class JournalObjects {
	readonly tailKey: string;
	readonly #store: ObjectStore;
	readonly #prefix: string;

	constructor(store: ObjectStore, partition: number, readonly readConcurrency: number) {
		this.#store = store;
		this.#prefix = `orders/${partition}`;
		this.tailKey = `${this.#prefix}/tail`;
	}

	/** Reads the tail; returns an empty tail if the partition was never written. */
	async readTail(): Promise<{tail: Tail; version: number}> {
		const object = await this.#store.read(this.tailKey);
		return object === undefined ? {tail: emptyTail, version: absentVersion} : {tail: parseTail(object.value), version: object.version};
	}

	/** Replaces the tail if it has the given version. */
	async writeTail(tail: Tail, version: number): Promise<number> {
		return this.#store.write(this.tailKey, tail, version);
	}

	/** Creates an immutable segment or filter; fails if the name exists. */
	async create(name: string, content: Buffer): Promise<void> {
		await this.#store.write(`${this.#prefix}/${name}`, {content: content.toString('base64')}, absentVersion);
	}

	async remove(name: string): Promise<void> {
		await this.#store.remove(`${this.#prefix}/${name}`, undefined);
	}

	/** Reads segments or filters, at most `readConcurrency` at a time; throws `storeNotFound` if one does not exist. */
	async readContents(names: readonly string[]): Promise<Buffer[]> {
		const contents: Buffer[] = [];
		for (let start = 0; start < names.length; start += this.readConcurrency) {
			const chunk = names.slice(start, start + this.readConcurrency);
			contents.push(...await Promise.all(chunk.map(async name => this.#readContent(name))));
		}

		return contents;
	}

	async readFilters(filters: Tail['filters']): Promise<BloomFilter[]> {
		const contents = await this.readContents(filters.map(({name}) => name));
		return contents.map((content, index) => new BloomFilter(content, filters[index].count));
	}

	async #readContent(name: string): Promise<Buffer> {
		const object = await this.#store.read(`${this.#prefix}/${name}`);
		if (object === undefined) {
			throw new FescuewickError(ResultCode.storeNotFound, `journal object ${this.#prefix}/${name} does not exist`);
		}

		return parseContent(object.value);
	}
}
