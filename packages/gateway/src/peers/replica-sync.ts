import {toFescuewickError, type Logger, type TimerService} from '@fescuewick/core';
import {type Collection} from '@fescuewick/store';
import {followedCollections} from '../state/followed-collections.js';
import {type Replica} from '../state/replica.js';
import {type Heartbeat} from './heartbeat.js';
import {type PeerClient} from './peer-client.js';
import {StoreAccess} from './store-readers.js';

/** Time left to the own watch to bring a change that a peer already has, in milliseconds; a little more than the longest time between two watches. */
const watchHeadStartMs = 250;
/** Time left to the readers of the own region to bring a change that another VM has, in milliseconds; they know the changes, and bytes between regions are dear. */
const regionReaderHeadStartMs = 600;

type ReplicaSyncOptions = {
	readonly replicas: Readonly<Record<Collection, Replica>>;
	readonly client: PeerClient;
	readonly timers: TimerService;
	readonly logger: Logger;
	/** Region of this VM. */
	readonly region: string;
	/** Whether this VM watches the store itself. */
	readonly isReading: () => boolean;
	/** Called after a copy was taken over. */
	readonly onAdopted: (collection: Collection) => void;
};

/** Takes copies over from peers that know of changes which the store has not told this VM. */
export class ReplicaSync {
	readonly #running = new Set<Collection>();

	constructor(private readonly options: ReplicaSyncOptions) {}

	/** Compares a peer's revisions with the own ones and fetches what is missing; a copy that misses nothing is valid as far as the peer's. */
	onHeartbeat({record, storeAccess, revisions}: Heartbeat): void {
		for (const collection of followedCollections) {
			const replica = this.options.replicas[collection];
			replica.confirm(revisions[collection]);
			if (!this.#running.has(collection) && replica.isBehind(revisions[collection])) {
				this.#running.add(collection);
				const isReaderOfOwnRegion = record.region === this.options.region && storeAccess === StoreAccess.reading;
				void this.#fetch(collection, record.peerAddress, revisions[collection].changed, isReaderOfOwnRegion);
			}
		}
	}

	async #fetch(collection: Collection, peerAddress: string, changed: number, isReaderOfOwnRegion: boolean): Promise<void> {
		const {replicas, client, timers, logger, isReading, onAdopted} = this.options;
		const replica = replicas[collection];
		try {
			if (replica.isLoaded && (isReading() || !isReaderOfOwnRegion)) {
				await timers.sleep(isReading() ? watchHeadStartMs : regionReaderHeadStartMs);
			}

			if (!replica.isBehind({valid: changed, changed})) {
				return;
			}

			const heldRevision = replica.revisions.valid;
			if (replica.adopt(await client.readCollection(peerAddress, collection, heldRevision))) {
				logger.info({
					event: 'relayed', collection, from: peerAddress, heldRevision, ...replica.revisions,
				}, 'took a newer copy over from a peer');
				onAdopted(collection);
			}
		} catch (error) {
			logger.warn({
				event: 'relay-failed', collection, from: peerAddress, reason: toFescuewickError(error).message,
			}, 'could not read a copy from a peer');
		} finally {
			this.#running.delete(collection);
		}
	}
}
