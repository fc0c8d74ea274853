import {
	ResultCode, toFescuewickError, type Cancel, type Logger, type TimerService,
} from '@fescuewick/core';
import {Collection, Freshness, type CollectionStore} from '@fescuewick/store';
import {type VmRecord} from '../model/records.js';
import {type Replica} from '../state/replica.js';
import {type StoreGate} from '../state/store-gate.js';
import {type PeerClient} from './peer-client.js';
import {type PeerTable} from './peer-table.js';

/** A starting VM asks its seeds when the store has not answered for this time, in milliseconds. */
const seedDelayMs = 400;
/** Time between two readings of the list, in milliseconds; VMs that start together may have read it before the others wrote. */
const listPauseMs = 1000;

/** What registration needs. */
export type RegistrationOptions = {
	readonly store: CollectionStore;
	readonly gate: StoreGate;
	readonly vms: Replica;
	readonly table: PeerTable;
	readonly client: PeerClient;
	readonly seeds: readonly string[];
	readonly timers: TimerService;
	readonly logger: Logger;
	/** Whether this VM still needs peers to get its configuration from. */
	readonly needsPeers: () => boolean;
	/** Called when VMs were learned, so that they hear of this one. */
	readonly onLearned: () => void;
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

	/** Reads the other VMs' records and writes the own one if it is missing or differs. */
	async #register(): Promise<void> {
		const {gate, timers, logger, onLearned} = this.options;
		for (let isDone = false; !isDone && !this.#isStopped;) {
			await gate.turn(this.#caller);
			try {
				isDone = await this.#readAndWrite();
				gate.succeeded(this.#caller);
				onLearned();
				await timers.sleep(listPauseMs);
			} catch (error) {
				const {code, message} = toFescuewickError(error);
				logger.warn({event: 'register-failed', code, reason: message}, 'could not register this VM');
				gate.failed(this.#caller, message);
			}
		}
	}

	/** Returns whether the own record was there already. */
	async #readAndWrite(): Promise<boolean> {
		const {store, vms, table} = this.options;
		const listing = await store.list(Collection.vms, Freshness.latest);
		vms.applyListing(listing);
		for (const {value} of listing.records) {
			if (value !== undefined) {
				table.learn(value as VmRecord);
			}
		}

		const own = listing.records.find(({name}) => name === table.self.vm)?.value;
		if (JSON.stringify(own) !== JSON.stringify(table.self)) {
			await store.put(Collection.vms, table.self.vm, table.self);
		}

		return own !== undefined;
	}

	#scheduleSeeds(): void {
		this.#cancel = this.options.timers.after(seedDelayMs, () => {
			if (this.options.needsPeers() && !this.#isStopped) {
				void this.#askSeeds();
			}
		});
	}

	async #askSeeds(): Promise<void> {
		const {seeds, table, client, logger, onLearned} = this.options;
		for (const seed of seeds.filter(seed => seed !== table.self.peerAddress)) {
			try {
				for (const record of await client.members(seed)) {
					table.learn(record);
				}
			} catch (error) {
				const {code, message} = toFescuewickError(error, ResultCode.peerClosed);
				logger.info({
					event: 'seed-failed', seed, code, reason: message,
				}, 'a seed does not answer');
			}
		}

		// Peers answer with heartbeats, whose revisions lead to their copies.
		onLearned();
		this.#scheduleSeeds();
	}
}
