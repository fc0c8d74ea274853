import {
	ResultCode, toFescuewickError, type Cancel, type Logger, type TimerService,
} from '@fescuewick/core';
import {
	Collection, Freshness, type CollectionStore, type Listing,
} from '@fescuewick/store';
import {type VmRecord} from '../model/records.js';
import {type Replica} from '../state/replica.js';
import {type StoreCircuitBreaker} from '../state/store-circuit-breaker.js';
import {type PeerClient} from './peer-client.js';
import {type PeerTable} from './peer-table.js';

/** A starting VM asks its seeds when the store has not answered for this time, in milliseconds. */
const seedDelayMs = 400;
/** Pause after which peers are asked again whom they know, in milliseconds; VMs that start together learn of each other one after the other. */
const queryPauseMs = 1000;
/** How often peers are asked after the registration; the second time finds VMs that were not known to anyone the first time. */
const queryRounds = 2;
/** Peers that are asked in a round; one may have ended. */
const peersPerQuery = 2;

/** What registration needs. */
export type RegistrationOptions = {
	readonly store: CollectionStore;
	readonly breaker: StoreCircuitBreaker;
	readonly vms: Replica;
	readonly table: PeerTable;
	readonly client: PeerClient;
	readonly seeds: readonly string[];
	readonly timers: TimerService;
	readonly logger: Logger;
	readonly random: () => number;
	/** Whether this VM still needs peers to get its configuration from. */
	readonly needsPeers: () => boolean;
	/** Called when VMs were learned, so that they hear of this one. */
	readonly onDiscovered: () => void;
};

/** Makes this VM known and learns of the others: from the store, and from seeds while the store does not answer. */
export class Registration {
	readonly #caller = Symbol('registration');
	#cancel: Cancel | undefined;
	#isStopped = false;

	constructor(private readonly options: RegistrationOptions) {}

	start(): void {
		void this.#register();
		this.#scheduleSeeds();
	}

	stop(): void {
		this.#isStopped = true;
		this.#cancel?.();
	}

	/** Writes the own record if it is missing or differs, and learns of the other VMs. */
	async #register(): Promise<void> {
		// VMs that start together write at the same time, so a listing shows only some of them; the seeds hear of all.
		await Promise.all([this.#callStore(async () => this.#readAndWrite()), this.#queryPeers()]);
		for (let round = 0; round < queryRounds && !this.#isStopped; round++) {
			this.#notifyDiscovered();
			await this.options.timers.sleep(queryPauseMs);
			if (!await this.#queryPeers()) {
				await this.#callStore(async () => {
					this.#addListed(await this.options.store.list(Collection.vms, Freshness.latest));
				});
			}
		}

		this.#notifyDiscovered();
	}

	#notifyDiscovered(): void {
		if (!this.#isStopped) {
			this.options.onDiscovered();
		}
	}

	/** Repeats a call until the store has answered. */
	async #callStore(call: () => Promise<void>): Promise<void> {
		const {breaker, logger} = this.options;
		for (let isDone = false; !isDone && !this.#isStopped;) {
			await breaker.waitForTurn(this.#caller);
			try {
				await call();
				isDone = true;
				breaker.succeeded(this.#caller);
			} catch (error) {
				const {code, message} = toFescuewickError(error);
				logger.warn({event: 'register-failed', code, reason: message}, 'could not register this VM');
				breaker.failed(this.#caller, message);
			}
		}
	}

	async #readAndWrite(): Promise<void> {
		const {store, table} = this.options;
		const listing = await store.list(Collection.vms, Freshness.recent);
		this.#addListed(listing);
		const own = listing.records.find(({name}) => name === table.self.vm)?.value;
		if (JSON.stringify(own) !== JSON.stringify(table.self)) {
			await store.put(Collection.vms, table.self.vm, table.self);
		}
	}

	#addListed(listing: Listing): void {
		const {vms, table} = this.options;
		vms.applyListing(listing);
		for (const {value} of listing.records) {
			if (value !== undefined) {
				table.addDiscovered(value as VmRecord);
			}
		}
	}

	/** Asks some live peers, or the seeds while none is known, for the VMs they know; returns whether one answered. */
	async #queryPeers(): Promise<boolean> {
		const {table, seeds, random} = this.options;
		const alive = [...table.alive()].map(({record}) => record.peerAddress);
		const chosen = Array.from({length: Math.min(peersPerQuery, alive.length)}, () => alive[Math.floor(random() * alive.length)]);
		const answers = await Promise.all((chosen.length > 0 ? chosen : seeds).map(async address => this.#queryPeer(address)));
		return answers.includes(true);
	}

	async #queryPeer(address: string): Promise<boolean> {
		const {table, client, logger} = this.options;
		if (address === table.self.peerAddress) {
			return false;
		}

		try {
			for (const record of await client.readMembers(address)) {
				table.addDiscovered(record);
			}

			return true;
		} catch (error) {
			const {code, message} = toFescuewickError(error, ResultCode.peerClosed);
			logger.info({
				event: 'peer-unasked', address, code, reason: message,
			}, 'a peer did not say which VMs it knows');
			return false;
		}
	}

	#scheduleSeeds(): void {
		this.#cancel = this.options.timers.after(seedDelayMs, () => {
			if (this.options.needsPeers() && !this.#isStopped) {
				void this.#querySeeds();
			}
		});
	}

	async #querySeeds(): Promise<void> {
		await Promise.all(this.options.seeds.map(async seed => this.#queryPeer(seed)));
		// Peers answer with heartbeats, whose revisions lead to their copies.
		this.#notifyDiscovered();
		this.#scheduleSeeds();
	}
}
