import {Buffer} from 'node:buffer';
import {sha256Hex, type Logger, type TimerService} from '@fescuewick/core';
import {type PeerNetwork} from '@fescuewick/membership';
import {type ObjectStore} from '@fescuewick/store';
import {fetchPeerPart, relayOrder, relayRoots} from './config-sync/index.js';
import {type BlockIndex} from './platform-lists.js';

/** Time for which a chunk is cached after it was read; the nodes of a failure domain request a changed chunk within seconds of each other. */
const retentionMs = 60_000;

/** Dependencies of the chunk cache. */
export type BlockChunksOptions = {
	readonly peers: PeerNetwork;
	readonly store: ObjectStore;
	readonly timers: TimerService;
	readonly logger: Logger;
	readonly index: () => BlockIndex | undefined;
	/** Whether this node watches the store for its failure domain. */
	readonly isReader: () => boolean;
};

/** Caches chunks of the table of client blocks; readers read them from the store, the other nodes fetch them from readers. */
export class BlockChunks {
	readonly #options: BlockChunksOptions;
	readonly #chunks = new Map<string, Promise<Buffer | undefined>>();

	constructor(options: BlockChunksOptions) {
		this.#options = options;
	}

	/** Content of a chunk of the current index, from a reader of the failure domain or else from the store; undefined if neither has it. */
	async read(hash: string): Promise<Buffer | undefined> {
		return this.#readShared(hash, async () => await this.#fromReaders(hash) ?? this.#fromStore(hash));
	}

	/** Content of a chunk for a peer; only readers read the store for it, so that each chunk causes at most one store call per reader. */
	async readForPeer(hash: string): Promise<Buffer | undefined> {
		return this.#options.isReader() ? this.#readShared(hash, async () => this.#fromStore(hash)) : this.#chunks.get(hash);
	}

	/** Requests for the same chunk share one read; a read without a result is not cached. */
	async #readShared(hash: string, read: () => Promise<Buffer | undefined>): Promise<Buffer | undefined> {
		const known = this.#chunks.get(hash);
		if (known !== undefined) {
			return known;
		}

		const reading = read();
		this.#chunks.set(hash, reading);
		let chunk: Buffer | undefined;
		try {
			chunk = await reading;
			return chunk;
		} finally {
			if (chunk === undefined) {
				this.#chunks.delete(hash);
			} else {
				this.#options.timers.after(retentionMs, () => {
					this.#chunks.delete(hash);
				});
			}
		}
	}

	async #fromReaders(hash: string): Promise<Buffer | undefined> {
		const {peers, logger, isReader} = this.#options;
		if (isReader()) {
			return undefined;
		}

		for (const vm of relayRoots(relayOrder(peers.liveVms(peers.self.failureDomain)))) {
			try {
				return await fetchPeerPart(peers, vm, hash);
			} catch (error) {
				logger.debug({err: error, vm, hash}, 'chunk of client blocks could not be fetched from a reader');
			}
		}

		return undefined;
	}

	async #fromStore(hash: string): Promise<Buffer | undefined> {
		const chunkNumber = this.#options.index()?.chunkHashes.indexOf(hash) ?? -1;
		if (chunkNumber === -1) {
			return undefined;
		}

		const object = await this.#options.store.read(`platform/blocks/${chunkNumber}`);
		const {content} = (object?.value ?? {}) as {content?: string};
		return content !== undefined && sha256Hex(content) === hash ? Buffer.from(content) : undefined;
	}
}
