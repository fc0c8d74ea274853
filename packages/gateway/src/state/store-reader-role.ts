import {type Logger, type TimerService} from '@fescuewick/core';
import {type VmRecord} from '../model/records.js';
import {type PeerTable} from '../peers/peer-table.js';
import {readerRank, readersPerRegion, StoreAccess} from '../peers/store-readers.js';
import {type StoreFollower} from './store-follower.js';
import {type StoreCircuitBreaker} from './store-circuit-breaker.js';

/** A VM goes on reading for this time after another one has replaced it as a reader, in milliseconds; two heartbeats, in which the new reader learns of its role and starts. */
const readerHandoverMs = 1000;

type StoreReaderRoleOptions = {
	readonly self: VmRecord;
	readonly isReady: () => boolean;
	readonly peers: PeerTable;
	readonly breaker: StoreCircuitBreaker;
	readonly followers: readonly StoreFollower[];
	readonly timers: TimerService;
	readonly logger: Logger;
};

/** Starts and ends the watches of this VM as it becomes a store reader of its region or is replaced; a starting VM reads until it has discovered the others. */
export class StoreReaderRole {
	#isReading = true;
	#readsUntilMs = 0;
	#rank = 0;

	constructor(private readonly options: StoreReaderRoleOptions) {}

	/** Whether this VM watches the store. */
	get isReading(): boolean {
		return this.#isReading;
	}

	/** Position of this VM in the order in which the VMs of its region read the store. */
	get rank(): number {
		return this.#rank;
	}

	/** Store access of this VM, for its heartbeats. */
	get access(): StoreAccess {
		if (this.options.breaker.isFailing) {
			return StoreAccess.refused;
		}

		return this.#isReading ? StoreAccess.reading : StoreAccess.idle;
	}

	/** Updates the role after peers came, left or were refused by the store; to be called regularly. */
	update(): void {
		const {self, isReady, peers, followers, timers, logger} = this.options;
		const nowMs = timers.nowMs();
		const others = [...peers.alive()]
			.filter(({record}) => record.region === self.region)
			.map(heartbeat => ({record: heartbeat.record, isReady: heartbeat.isReady, access: heartbeat.storeAccess}));
		this.#rank = readerRank(self.vm, [...others, {record: self, isReady: isReady(), access: this.access}]);
		if (this.#rank < readersPerRegion) {
			this.#readsUntilMs = nowMs + readerHandoverMs;
		}

		const isReading = nowMs < this.#readsUntilMs;
		if (isReading === this.#isReading) {
			return;
		}

		this.#isReading = isReading;
		logger.info({
			event: 'store-reading', isReading, peers: others.length, refused: others.filter(({access}) => access === StoreAccess.refused).length,
		}, isReading ? 'this VM watches the store' : 'this VM takes changes from its peers');
		for (const follower of followers) {
			follower.setReading(isReading);
		}
	}
}
