import {Buffer} from 'node:buffer';
import {FescuewickError, ResultCode, type TimerService} from '@fescuewick/core';
import {type StoredAnswer} from '@fescuewick/wire';
import {AnswerCache} from '../answers/answer-cache.js';
import {type BloomFilter} from '../claim-table/bloom-filter.js';
import {expireGenerations} from './expiry.js';
import {JournalIndex} from './journal-index.js';
import {type JournalObjects} from './journal-objects.js';
import {type JournalOptions} from './journal-options.js';
import {decodeRecords, encodeRecords, type JournalRecord} from './journal-record.js';
import {sealTail} from './sealing.js';
import {
	emptyTail, fromTailAnswer, toTailAnswer, type Tail,
} from './tail.js';
import {type TailDraft} from './tail-draft.js';
import {type WritePacer} from './write-pacer.js';

/** Number of tables of exact entries per repeat window; entries stay in them for up to an eighth of the window longer. */
const generationsPerWindow = 8;
/** Another owner may merge and remove segments while they are read; the tail is then read again. */
const maxLoadAttempts = 3;

/** A record and the answer to store with it. */
export type BatchItem = {readonly record: JournalRecord; readonly answerId: string; readonly answer: StoredAnswer | undefined};

/** Dependencies of a `PartitionLog`. */
export type PartitionLogDependencies = {
	readonly timers: TimerService;
	readonly objects: JournalObjects;
	readonly options: JournalOptions;
	readonly pacer: WritePacer;
	/** Returns a new name that no other writer of the partition uses. */
	readonly nextName: () => string;
};

/**
The journal of one partition: the state that the store confirmed, and conditional writes that extend it.

The index contains only records that were written. `load` and `append` must not run concurrently.
*/
export class PartitionLog {
	index: JournalIndex;
	/** False until the tail was read, while it is read again, and after a failed write. */
	isLoaded = false;
	/** Names of objects that the tail no longer refers to. */
	readonly garbage: string[] = [];
	readonly #timers: TimerService;
	readonly #options: JournalOptions;
	readonly #objects: JournalObjects;
	readonly #pacer: WritePacer;
	readonly #nextName: () => string;
	readonly #tailAnswers: AnswerCache;
	readonly #appliedSegments = new Set<string>();
	#filters = new Map<string, BloomFilter>();
	#segments = new Map<string, Buffer>();
	#tail: Tail = emptyTail;
	#records: Buffer = Buffer.alloc(0);
	#version = -1;
	#confirmedAtMs = Number.NEGATIVE_INFINITY;

	constructor({timers, objects, options, pacer, nextName}: PartitionLogDependencies) {
		this.#timers = timers;
		this.#objects = objects;
		this.#options = options;
		this.#pacer = pacer;
		this.#nextName = nextName;
		this.#tailAnswers = new AnswerCache(options.maxTailAnswersBytes, options.maxTailAnswerBytes);
		this.index = this.#newIndex(emptyTail);
	}

	/** Monotonic time at which the last read or write that confirmed this state was sent. */
	get confirmedAtMs(): number {
		return this.#confirmedAtMs;
	}

	/** Time for records and their ages: the wall clock, but never before the time of an earlier record of any owner. */
	get nowS(): number {
		return Math.max(Math.floor(this.#timers.wallClockMs() / 1000), this.#tail.timeS);
	}

	get sizeBytes(): number {
		let bytes = this.index.sizeBytes + this.#records.length + this.#tailAnswers.sizeBytes;
		for (const segment of this.#segments.values()) {
			bytes += segment.length;
		}

		return bytes;
	}

	/** The first answer of an order, if the tail contains it. */
	answerOf(id: string): StoredAnswer | undefined {
		return this.#tailAnswers.get(id);
	}

	/** Reads what was written since the last load; throws store errors. */
	async load(): Promise<void> {
		this.isLoaded = false;
		for (let attempt = 1; ; attempt++) {
			const sentMs = this.#timers.nowMs();
			const {tail, version} = await this.#objects.readTail();
			if (version < this.#version) {
				throw new FescuewickError(ResultCode.storeMalformed, `${this.#objects.tailKey} decreased from version ${this.#version} to ${version}`);
			}

			try {
				await this.#applyTail(tail, version);
				this.#confirmedAtMs = sentMs;
				return;
			} catch (error) {
				const isReplaced = error instanceof FescuewickError && error.code === ResultCode.storeNotFound;
				if (!isReplaced || attempt === maxLoadAttempts) {
					throw error;
				}
			}
		}
	}

	/** Writes and applies a batch of at least one record, all with the same time, conditional on the loaded state. After an error the batch may or may not be in the journal; `load` shows which. */
	async append(items: readonly BatchItem[]): Promise<void> {
		const sentMs = this.#timers.nowMs();
		const batch = this.#nextName();
		let draft: TailDraft;
		try {
			draft = await this.#buildDraft(items, batch);
			this.#commit(draft, await this.#write(draft.tail));
		} catch (error) {
			this.isLoaded = false;
			throw error;
		}

		for (const {record} of items) {
			this.index.apply(record);
		}

		this.#confirmedAtMs = sentMs;
	}

	/** Removes one unreferenced object; after a failure it stays in the store. */
	async removeGarbage(): Promise<void> {
		const name = this.garbage.shift();
		if (name !== undefined) {
			await this.#pacer.run(async () => this.#objects.remove(name));
		}
	}

	async #applyTail(tail: Tail, version: number): Promise<void> {
		if (version === this.#version) {
			this.isLoaded = true;
			return;
		}

		const isExtension = this.#version >= 0 && tail.expiredThrough === this.#tail.expiredThrough;
		const firstUnknown = isExtension ? tail.segments.findIndex(({name}) => !this.#appliedSegments.has(name)) : 0;
		const missing = firstUnknown === -1 ? [] : tail.segments.slice(firstUnknown);
		const filters = await this.#readFilters(tail);
		const contents = await this.#objects.readContents(missing.map(({name}) => name));
		const records = Buffer.from(tail.records, 'base64');
		const index = isExtension ? this.index : this.#newIndex(tail);
		for (const content of [...contents, records]) {
			for (const record of decodeRecords(content)) {
				index.apply(record);
			}

			// A large segment takes about 20 ms; yields to the event loop so that the process can renew its leases.
			await this.#timers.sleep(0);
		}

		index.filters = [...filters.values()];
		this.index = index;
		this.#filters = filters;
		this.#setTail(tail, version, records, new Map(missing.map(({name}, position) => [name, contents[position]])));
		for (const answer of tail.answers) {
			this.#tailAnswers.add(answer.id, fromTailAnswer(answer));
		}

		this.isLoaded = true;
	}

	async #readFilters(tail: Tail): Promise<Map<string, BloomFilter>> {
		const missing = tail.filters.filter(({name}) => !this.#filters.has(name));
		const read = await this.#objects.readFilters(missing);
		const added = new Map(missing.map(({name}, index) => [name, read[index]]));
		return new Map(tail.filters.map(({name}) => [name, (this.#filters.get(name) ?? added.get(name))!]));
	}

	async #buildDraft(items: readonly BatchItem[], batch: string): Promise<TailDraft> {
		const create = async (name: string, content: Buffer) => this.#pacer.run(async () => this.#objects.create(name, content));
		const draft: TailDraft = {
			tail: this.#tail, records: this.#records, filters: new Map(this.#filters), segments: new Map(), garbage: [],
		};
		const nowS = Math.max(this.#tail.timeS, items[0].record.timeS);
		await expireGenerations(draft, this.index, {nowS, repeatWindowS: this.#options.repeatWindowMs / 1000, batchName: batch}, create);
		const added = encodeRecords(items.map(({record}) => record));
		const hasNewGeneration = this.index.generationOf(nowS) !== this.index.generationOf(this.#tail.timeS);
		if (draft.records.length > 0 && (hasNewGeneration || draft.records.length + added.length > this.#options.maxTailBytes)) {
			await sealTail(draft, {
				name: batch, generation: this.index.generationOf(this.#tail.timeS), isGenerationEnd: hasNewGeneration, smallSegments: this.#segments, options: this.#options,
			}, create);
		}

		for (const {answerId, answer} of items) {
			if (answer !== undefined) {
				this.#tailAnswers.add(answerId, answer);
			}
		}

		draft.records = Buffer.concat([draft.records, added]);
		draft.tail = {
			...draft.tail,
			batch,
			timeS: nowS,
			answers: [...this.#tailAnswers.entries()].map(([id, answer]) => toTailAnswer(id, answer)),
			records: draft.records.toString('base64'),
		};
		return draft;
	}

	async #write(tail: Tail): Promise<number> {
		const version = this.#version;
		try {
			return await this.#pacer.run(async () => this.#objects.writeTail(tail, version));
		} catch (error) {
			if (!(error instanceof FescuewickError) || error.code !== ResultCode.storeOutcomeUnknown) {
				throw error;
			}

			const current = await this.#objects.readTail();
			if (current.tail.batch !== tail.batch) {
				// The write did not take effect, or another owner has written since; the next load shows which claims were written.
				throw error;
			}

			return current.version;
		}
	}

	#commit(draft: TailDraft, version: number): void {
		this.#filters = draft.filters;
		this.index.filters = [...draft.filters.values()];
		this.index.deleteTablesThrough(draft.tail.expiredThrough);
		this.#setTail(draft.tail, version, draft.records, draft.segments);
		this.garbage.push(...draft.garbage);
	}

	#setTail(tail: Tail, version: number, records: Buffer, added: ReadonlyMap<string, Buffer>): void {
		const contents = new Map([...this.#segments, ...added]);
		this.#tail = tail;
		this.#version = version;
		this.#records = records;
		this.#appliedSegments.clear();
		this.#segments = new Map();
		for (const {name, sizeBytes} of tail.segments) {
			this.#appliedSegments.add(name);
			const content = contents.get(name);
			// Only small segments are kept, because only those are merged later.
			if (content !== undefined && sizeBytes < this.#options.minMergedBytes) {
				this.#segments.set(name, content);
			}
		}
	}

	#newIndex({expiredThrough}: Tail): JournalIndex {
		const generationS = Math.max(1, Math.ceil(this.#options.repeatWindowMs / 1000 / generationsPerWindow));
		return new JournalIndex(generationS, expiredThrough);
	}
}
