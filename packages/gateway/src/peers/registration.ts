import {
	ResultCode, toFescuewickError, type Cancel, type Logger, type TimerService,
} from '@fescuewick/core';
import {
	Collection, Freshness, type Listing,
} from '@fescuewick/store';
import {type EraCheckedStore} from '../state/era-checked-store.js';
import {type Replica} from '../state/replica.js';
import {type StoreCircuitBreaker} from '../state/store-circuit-breaker.js';
import {type PeerClient} from './peer-client.js';
import {type PeerTable} from './peer-table.js';

/** Interval at which a starting VM without a configuration queries its seeds, in milliseconds. */
const seedQueryIntervalMs = 400;
/** Pause between queries for known VMs, in milliseconds; VMs that start at the same time become known one after the other, so a later query finds more of them. */
const queryPauseMs = 1000;
/** Number of queries after the registration; the second one finds VMs that no peer knew at the first one. */
const queryRounds = 2;
/** Longest pause before a VM registers again with a restored store, in milliseconds; all VMs do so at about the same time. */
const maxRenewalDelayMs = 1000;
/** Number of peers queried in a round; one of them may have stopped. */
const peersPerQuery = 2;

/** Dependencies of the registration. */
export type RegistrationOptions = {
	readonly store: EraCheckedStore;
	readonly breaker: StoreCircuitBreaker;
	readonly vms: Replica;
	readonly table: PeerTable;
	readonly client: Pick<PeerClient, 'readMembers'>;
	readonly seeds: readonly string[];
	readonly timers: TimerService;
	readonly logger: Logger;
	readonly random: () => number;
	/** Whether this VM has no configuration yet and needs peers to get it from. */
	readonly needsPeers: () => boolean;
	/** Called after VMs were discovered, so that a heartbeat makes this VM known to them. */
	readonly onDiscovered: () => void;
};

/** Registers this VM in the store, again after each restore of the store from a copy, and discovers the others: from the store, from peers, and from seeds while there is no configuration. */
export class Registration {
	readonly #caller = Symbol('registration');
	readonly #renewalCaller = Symbol('registration-renewal');
	#cancel: Cancel | undefined;
	#unsubscribe: (() => void) | undefined;
	#isRenewing = false;
	#isStopped = false;

	constructor(private readonly options: RegistrationOptions) {}

	start(): void {
		this.#unsubscribe = this.options.store.era.events.on('raised', () => {
			void this.#renew();
		});
		void this.#register();
		this.#scheduleSeeds();
	}

	stop(): void {
		this.#isStopped = true;
		this.#unsubscribe?.();
		this.#cancel?.();
	}

	/** Writes this VM's record if it is missing or differs, and discovers the other VMs. */
	async #register(): Promise<void> {
		// VMs that start at the same time write their records at the same time, so a listing contains only some of them; the seeds know all of them.
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

	/** Writes this VM's record to a restored store, whose copy may lack it. */
	async #renew(): Promise<void> {
		const {store, table, timers, random, logger} = this.options;
		if (this.#isRenewing) {
			return;
		}

		this.#isRenewing = true;
		let writtenEra: number;
		do {
			await timers.sleep(random() * maxRenewalDelayMs);
			// A record that is written after the VM knows of an era is part of that era.
			writtenEra = store.era.value;
			await this.#callStore(async () => store.put(Collection.vms, table.self.vm, table.self), this.#renewalCaller);
		} while (writtenEra < store.era.value && !this.#isStopped);

		this.#isRenewing = false;
		if (this.#isStopped) {
			return;
		}

		logger.info({event: 'registered-again', era: writtenEra}, 'wrote the record of this VM to the restored store');
	}

	#notifyDiscovered(): void {
		if (!this.#isStopped) {
			this.options.onDiscovered();
		}
	}

	/** Repeats a store call until it succeeds. */
	async #callStore(call: () => Promise<void>, caller = this.#caller): Promise<void> {
		const {breaker, logger} = this.options;
		for (let isDone = false; !isDone && !this.#isStopped;) {
			await breaker.waitForTurn(caller);
			try {
				await call();
				isDone = true;
				breaker.succeeded(caller);
			} catch (error) {
				const {code, message} = toFescuewickError(error);
				logger.warn({event: 'register-failed', code, reason: message}, 'could not register this VM');
				breaker.failed(caller, message);
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
				table.addDiscovered(value);
			}
		}
	}

	/** Queries some live peers, or the seeds if there is none, for the VMs they know; returns whether one of them answered. */
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
			}, 'could not read the known VMs of a peer');
			return false;
		}
	}

	#scheduleSeeds(): void {
		this.#cancel = this.options.timers.after(seedQueryIntervalMs, () => {
			if (this.options.needsPeers() && !this.#isStopped) {
				void this.#querySeeds();
			}
		});
	}

	async #querySeeds(): Promise<void> {
		await Promise.all(this.options.seeds.map(async seed => this.#queryPeer(seed)));
		// A heartbeat makes this VM known to its peers; the revisions in their heartbeats start the fetch of their replicas.
		this.#notifyDiscovered();
		this.#scheduleSeeds();
	}
}
