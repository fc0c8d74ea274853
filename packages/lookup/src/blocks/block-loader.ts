import {type Cancel, type Logger, type TimerService} from '@fescuewick/core';
import {formatBlock} from './address.js';
import {type BlockTable} from './block-table.js';
import {
	chunkOf, decodeChunk, type BlockIndex, type BlockRow,
} from './chunk.js';

const retryMs = 1000;
const maxLoadAttempts = 3;

/** Dependencies of a block loader. */
export type BlockLoaderOptions = {
	readonly table: BlockTable;
	readonly timers: TimerService;
	readonly logger: Logger;
	/** Resolves with the content of a chunk; undefined if no peer holds it yet. */
	readonly fetchChunk: (hash: string) => Promise<string | undefined>;
};

/** Keeps the table of client blocks up to date with the latest index; fetches only chunks whose hash has changed. */
export class BlockLoader {
	readonly #options: BlockLoaderOptions;
	#latestIndex: BlockIndex | undefined;
	#loadedVersion = 0;
	#loadedHashes: Array<string | undefined> = [];
	/** Whether the table may contain entries of an earlier index with another number of chunks. */
	#isRepartitioned = false;
	#isRunning = false;
	#cancelRetry: Cancel | undefined;
	#isStopped = false;

	constructor(options: BlockLoaderOptions) {
		this.#options = options;
	}

	/** Version of the last index of which all chunks were loaded; 0 before the first. */
	get loadedVersion(): number {
		return this.#loadedVersion;
	}

	/** Starts loading a newer index; an older one is ignored. */
	update(index: BlockIndex): void {
		if (index.version > (this.#latestIndex?.version ?? 0)) {
			this.#latestIndex = index;
			void this.#run();
		}
	}

	stop(): void {
		this.#isStopped = true;
		this.#cancelRetry?.();
	}

	async #run(): Promise<void> {
		if (this.#isRunning || this.#isStopped) {
			return;
		}

		this.#isRunning = true;
		this.#cancelRetry?.();
		const isComplete = await this.#load();
		this.#isRunning = false;
		if (!isComplete && !this.#isStopped) {
			this.#cancelRetry = this.#options.timers.after(retryMs, () => {
				void this.#run();
			});
		}
	}

	async #load(): Promise<boolean> {
		for (let attempt = 0; attempt < maxLoadAttempts; attempt++) {
			const index = this.#latestIndex!;
			const failedChunks = await this.#loadChunks(index);
			if (this.#latestIndex === index && failedChunks === 0) {
				this.#loadedVersion = index.version;
				this.#options.logger.info({version: index.version, entries: this.#options.table.size}, 'table of client blocks loaded');
				return true;
			}
		}

		return false;
	}

	async #loadChunks(index: BlockIndex): Promise<number> {
		if (this.#loadedHashes.length !== index.chunkHashes.length) {
			this.#isRepartitioned = this.#options.table.size > 0;
			this.#loadedHashes = index.chunkHashes.map(() => undefined);
		}

		let failedChunks = 0;
		for (const [chunkNumber, hash] of index.chunkHashes.entries()) {
			if (this.#loadedHashes[chunkNumber] === hash || this.#isStopped) {
				continue;
			}

			try {
				const content = await this.#options.fetchChunk(hash);
				if (content === undefined) {
					failedChunks++;
					continue;
				}

				this.#replaceChunk(chunkNumber, index.chunkHashes.length, content, hash);
			} catch (error) {
				failedChunks++;
				this.#options.logger.warn({err: error, chunk: chunkNumber, hash}, 'failed to load chunk of client blocks');
			}
		}

		return failedChunks;
	}

	#replaceChunk(chunkNumber: number, chunkCount: number, content: string, hash: string): void {
		const {table} = this.#options;
		const rows = decodeChunk(content, hash);
		if (this.#isRepartitioned || this.#loadedHashes[chunkNumber] !== undefined) {
			removeStaleBlocks(table, chunkNumber, chunkCount, rows);
		}

		table.reserve(rows.map(row => row.block));
		for (const {block, region} of rows) {
			table.set(block, region);
		}

		this.#loadedHashes[chunkNumber] = hash;
	}
}

/** Removes the blocks that a chunk no longer has. Finds them by scanning the table, because keeping old chunks would double the memory. */
function removeStaleBlocks(table: BlockTable, chunkNumber: number, chunkCount: number, rows: readonly BlockRow[]): void {
	const kept = new Set(rows.map(row => formatBlock(row.block)));
	const staleBlocks = [];
	for (const block of table.blocks()) {
		if (chunkOf(block, chunkCount) === chunkNumber && !kept.has(formatBlock(block))) {
			staleBlocks.push(block);
		}
	}

	for (const block of staleBlocks) {
		table.delete(block);
	}
}
