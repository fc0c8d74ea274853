import {type Logger, type TimerService} from '@fescuewick/core';
import {StoreAccess} from '../peers/store-readers.js';
import {type FleetState} from './fleet-state.js';
import {followedCollections, type FollowedCollection} from './followed-collections.js';

/** Age from which a replica is reported, as a fraction of the time in which a change has to be in force. */
const reportedFraction = 0.8;

type ReplicaAgeMonitorOptions = {
	readonly replicas: FleetState['replicas'];
	readonly timers: TimerService;
	readonly logger: Logger;
	/** Access of this VM to the store. */
	readonly storeAccess: () => StoreAccess;
	/** Time in which a change has to be in force, in milliseconds. */
	readonly inForceMs: () => number;
};

/** Reports replicas that may lack a change because nothing has confirmed them for too long. */
export class ReplicaAgeMonitor {
	readonly #unconfirmed = new Map<FollowedCollection, number>();

	constructor(private readonly options: ReplicaAgeMonitorOptions) {}

	/** Logs each replica once when it is too old, and when it is confirmed again; to be called regularly. */
	check(): void {
		const {replicas, timers, logger, storeAccess, inForceMs} = this.options;
		const reportedAgeMs = inForceMs() * reportedFraction;
		const nowMs = timers.nowMs();
		for (const collection of followedCollections) {
			const {isLoaded, confirmedAtMs, revisions: {valid}} = replicas[collection];
			const sinceMs = this.#unconfirmed.get(collection);
			if (isLoaded && sinceMs === undefined && nowMs - confirmedAtMs > reportedAgeMs) {
				this.#unconfirmed.set(collection, confirmedAtMs);
				logger.info({
					event: 'replica-unconfirmed', collection, valid, ageMs: Math.round(nowMs - confirmedAtMs), storeAccess: StoreAccess[storeAccess()],
				}, 'nothing has shown for too long that a replica is complete');
			} else if (sinceMs !== undefined && nowMs - confirmedAtMs <= reportedAgeMs) {
				this.#unconfirmed.delete(collection);
				logger.info({
					event: 'replica-confirmed', collection, valid, unconfirmedMs: Math.round(confirmedAtMs - sinceMs),
				}, 'a replica is known to be complete again');
			}
		}
	}
}
