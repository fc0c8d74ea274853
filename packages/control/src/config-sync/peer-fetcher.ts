import {type Buffer} from 'node:buffer';
import {toFescuewickError, type Logger, type TimerService} from '@fescuewick/core';
import {type ConfigurationHead} from '@fescuewick/config';
import {type PeerNetwork, type Random} from '@fescuewick/membership';
import {MessageType} from '@fescuewick/wire';
import {parseHead, type HeldConfiguration} from './held-configuration.js';
import {fetchPeerPart} from './part-transfer.js';
import {type PeerRevisions} from './peer-revisions.js';

const retryDelayMs = 250;
/** Timeout of small requests between control daemons. */
export const headTimeoutMs = 1000;

/** Dependencies of a peer fetcher. */
export type PeerFetcherOptions = {
	readonly peers: PeerNetwork;
	readonly held: HeldConfiguration;
	readonly revisions: PeerRevisions;
	readonly timers: TimerService;
	readonly logger: Logger;
	readonly random: Random;
	/** Fetches the parts of a head that a peer sent, and adopts it. */
	readonly fetchAndAdopt: (head: ConfigurationHead, source: string) => Promise<void>;
	/** Reads the head from the store if a read of this node is due. */
	readonly readStoreIfDue: () => Promise<void>;
};

/** Fetches the configuration from peers, then from the store, while a peer reports a higher revision than the held one. */
export class PeerFetcher {
	readonly #options: PeerFetcherOptions;
	#running = false;
	#stopped = false;

	constructor(options: PeerFetcherOptions) {
		this.#options = options;
	}

	/** Fetches until the highest known revision is held, unless a fetch is already running; `offer` is a head that a peer has just sent. */
	async run(offer?: {readonly vm: string; readonly head: ConfigurationHead}): Promise<void> {
		if (this.#running || this.#stopped) {
			return;
		}

		this.#running = true;
		try {
			if (offer !== undefined) {
				await this.#tryAdopt(offer.vm, async () => offer.head);
			}

			await this.#catchUp();
		} finally {
			this.#running = false;
		}
	}

	/** Fetches a part from the first of `vms` that delivers it; undefined if none does. */
	async fetchPart(hash: string, vms: Iterable<string | undefined>): Promise<Buffer | undefined> {
		const {peers, logger} = this.#options;
		for (const vm of new Set(vms)) {
			if (vm === undefined) {
				continue;
			}

			try {
				return await fetchPeerPart(peers, vm, hash);
			} catch (error) {
				logger.debug({err: error, vm, hash}, 'configuration part could not be fetched from a peer');
			}
		}

		return undefined;
	}

	stop(): void {
		this.#stopped = true;
	}

	async #catchUp(): Promise<void> {
		const {peers, held, revisions, timers, random, readStoreIfDue} = this.#options;
		let failures = 0;
		while (!this.#stopped && revisions.highestRevision() > held.revision) {
			const vm = revisions.pickHolder(held.revision + 1, random);
			if (vm !== undefined && await this.#tryAdopt(vm, async () => peers.request(vm, MessageType.configHeadRequest, {}, headTimeoutMs))) {
				continue;
			}

			failures++;
			if (failures > 1) {
				await readStoreIfDue();
			}

			await timers.sleep(retryDelayMs * (0.5 + random()));
		}
	}

	async #tryAdopt(vm: string, readHead: () => Promise<unknown>): Promise<boolean> {
		const {held, revisions, fetchAndAdopt, logger} = this.#options;
		try {
			const head = parseHead(await readHead());
			if (held.accepts(head)) {
				await fetchAndAdopt(head, vm);
			}

			return head.revision <= held.revision;
		} catch (error) {
			revisions.quarantine(vm);
			logger.info({err: error, code: toFescuewickError(error).code, vm}, 'configuration could not be fetched from a peer');
			return false;
		}
	}
}
