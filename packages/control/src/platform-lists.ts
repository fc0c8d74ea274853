import {type Cancel, type Logger, type TimerService} from '@fescuewick/core';
import {type PeerNetwork} from '@fescuewick/membership';
import {type ObjectStore} from '@fescuewick/store';
import {
	backendListKey, MessageType, vmListKey, type BackendRecord, type PlatformListBody, type VmRecord,
} from '@fescuewick/wire';
import {relayPosition} from './config-sync/index.js';

/** Duration of a watch. On a connection that went silent, a watch ends only one store timeout after this, and changes are missed until then; with 10 s, new requests were sent to a leaving server for 5.6 s. */
const watchWaitMs = 2000;
const retryIntervalMs = 1000;
const requestTimeoutMs = 1000;
/** Interval at which a node that does not read the store compares its versions with those of a random peer of its failure domain. */
const compareIntervalMs = 5000;

/** Key of the index of the table of client blocks. */
export const blockIndexKey = 'platform/blocks/index';

/** Version of the table of client blocks and the hashes of its chunks. */
export type BlockIndex = {readonly version: number; readonly chunkHashes: readonly string[]};

/** Dependencies of the platform lists. */
export type PlatformListsOptions = {
	readonly peers: PeerNetwork;
	readonly store: ObjectStore;
	readonly timers: TimerService;
	readonly logger: Logger;
	readonly random: () => number;
	/** Whether this node watches the store for its failure domain. */
	readonly isReader: () => boolean;
	readonly onChange: () => void;
};

type HeldList = {readonly version: number; readonly value: unknown};

/** Keeps the platform's lists for this failure domain: readers watch the store and relay the lists to the other nodes. */
export class PlatformLists {
	readonly #options: PlatformListsOptions;
	readonly #keys: readonly string[];
	readonly #held = new Map<string, HeldList>();
	readonly #watchedKeys = new Set<string>();
	readonly #abort = new AbortController();
	readonly #cancels: Cancel[] = [];

	constructor(options: PlatformListsOptions) {
		this.#options = options;
		const {failureDomain} = options.peers.self;
		this.#keys = [vmListKey(failureDomain), backendListKey(failureDomain), blockIndexKey];
		options.peers.handle(MessageType.platformList, async body => {
			this.#update(body);
			return {version: this.#held.get(body.key)?.version ?? 0};
		});
		options.peers.handle(MessageType.platformListRequest, async ({versions}) => ({lists: this.#listsNewerThan(versions)}));
	}

	/** VMs of this failure domain; changes appear in the list with a delay. */
	get vms(): readonly VmRecord[] {
		return (this.#held.get(vmListKey(this.#options.peers.self.failureDomain))?.value ?? []) as VmRecord[];
	}

	/** Backend servers of this failure domain; undefined until the list is known. */
	get backends(): readonly BackendRecord[] | undefined {
		return this.#held.get(backendListKey(this.#options.peers.self.failureDomain))?.value as BackendRecord[] | undefined;
	}

	/** Index of the table of client blocks; undefined if there is none. */
	get blocks(): BlockIndex | undefined {
		return this.#held.get(blockIndexKey)?.value as BlockIndex | undefined;
	}

	start(): void {
		const {timers} = this.#options;
		this.#watchIfReader();
		this.#cancels.push(
			timers.repeat(retryIntervalMs, () => {
				this.#watchIfReader();
				if (this.#held.size === 0) {
					void this.#compareVersions();
				}
			}),
			timers.repeat(compareIntervalMs, () => {
				void this.#compareVersions();
			}),
		);
	}

	/** Cancels watches and timers. */
	stop(): void {
		this.#abort.abort();
		for (const cancel of this.#cancels) {
			cancel();
		}
	}

	#watchIfReader(): void {
		// A node that does not have a list yet reads it from the store itself, so that the first node needs no peer.
		for (const key of this.#keys) {
			if (!this.#watchedKeys.has(key) && (this.#options.isReader() || !this.#held.has(key))) {
				this.#watchedKeys.add(key);
				void this.#watch(key);
			}
		}
	}

	async #watch(key: string): Promise<void> {
		const {store, logger} = this.#options;
		try {
			do {
				const object = await store.watch(key, this.#held.get(key)?.version ?? 0, this.#options.isReader() ? watchWaitMs : 0, this.#abort.signal);
				if (object !== undefined) {
					this.#update({key, version: object.version, value: object.value});
				}
			} while (this.#options.isReader() && !this.#abort.signal.aborted);
		} catch (error) {
			logger.debug({err: error, key}, 'platform list could not be read from the store');
		}

		this.#watchedKeys.delete(key);
	}

	#update(body: PlatformListBody): void {
		if (body.version <= (this.#held.get(body.key)?.version ?? 0)) {
			return;
		}

		this.#held.set(body.key, {version: body.version, value: body.value});
		this.#options.onChange();
		const {peers} = this.#options;
		for (const vm of relayPosition(peers.self.vm, peers.liveVms(peers.self.failureDomain)).children) {
			void this.#sendList(vm, body);
		}
	}

	async #sendList(vm: string, body: PlatformListBody): Promise<void> {
		try {
			await this.#options.peers.request(vm, MessageType.platformList, body, requestTimeoutMs);
		} catch (error) {
			// The node detects the difference when it compares versions.
			this.#options.logger.debug({err: error, vm, key: body.key}, 'platform list could not be relayed');
		}
	}

	async #compareVersions(): Promise<void> {
		const {peers, random} = this.#options;
		const others = peers.liveVms(peers.self.failureDomain).filter(vm => vm !== peers.self.vm);
		const vm = others[Math.floor(random() * others.length)];
		if (vm === undefined || this.#options.isReader()) {
			return;
		}

		try {
			const versions = Object.fromEntries([...this.#held].map(([key, {version}]) => [key, version]));
			const {lists} = await peers.request(vm, MessageType.platformListRequest, {versions}, requestTimeoutMs);
			for (const body of lists) {
				this.#update(body);
			}
		} catch (error) {
			this.#options.logger.debug({err: error, vm}, 'versions of the platform lists could not be compared');
		}
	}

	#listsNewerThan(versions: Readonly<Record<string, number>>): PlatformListBody[] {
		return [...this.#held]
			.filter(([key, {version}]) => version > (versions[key] ?? 0))
			.map(([key, {version, value}]) => ({key, version, value}));
	}
}
