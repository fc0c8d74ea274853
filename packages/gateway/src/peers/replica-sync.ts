import {toFescuewickError, type Logger, type TimerService} from '@fescuewick/core';
import {type Collection} from '@fescuewick/store';
import {followedCollections} from '../state/followed-collections.js';
import {type FleetState} from '../state/fleet-state.js';
import {type ReplicaRevisions} from '../state/replica.js';
import {type Heartbeat} from './heartbeat.js';
import {type PeerClient} from './peer-client.js';
import {StoreAccess} from './store-readers.js';

/** Delay before a VM that watches the store fetches a change from a peer, in milliseconds; a little more than the longest gap between two watches, so that its own watch can deliver the change first. */
const readerFetchDelayMs = 250;
/** Delay before a VM that does not watch the store fetches a change from a peer that is not a store reader of its region, in milliseconds; the readers know the changes, and traffic between regions is expensive. */
const nonReaderFetchDelayMs = 600;

/** A peer that read the store at most this long ago has its changes, in milliseconds, also if it does not watch the store. */
const freshReadingMs = 300;

type ReplicaSyncOptions = {
	readonly state: Pick<FleetState, 'replicas' | 'storeEra' | 'configuration' | 'adoptHeldConfiguration'>;
	readonly client: Pick<PeerClient, 'readCollection' | 'readHeldConfiguration'>;
	readonly timers: TimerService;
	readonly logger: Logger;
	/** Region of this VM. */
	readonly region: string;
	/** Whether this VM watches the store. */
	readonly isReading: () => boolean;
	/** Called after a replica was updated from a peer. */
	readonly onAdopted: (collection: Collection) => void;
};

/** Updates the replicas from peers that have changes which this VM has not received from the store. */
export class ReplicaSync {
	readonly #running = new Set<Collection>();
	#isFetchingConfiguration = false;

	constructor(private readonly options: ReplicaSyncOptions) {}

	/** Compares a peer's revisions with those of the replicas and fetches missing changes; a replica that lacks none is complete up to the peer's revision. A peer in an earlier era of the store confirms nothing and has nothing that is missing here. */
	onHeartbeat({record, storeAccess, storeEra: era, heldVersion = -1, revisions, storeReadings}: Heartbeat): void {
		const {state} = this.options;
		state.storeEra.observePeer({era, revision: Math.max(...followedCollections.map(collection => revisions[collection].valid))}, record.peerAddress);
		for (const collection of followedCollections) {
			const replica = state.replicas[collection];
			const peer = {...revisions[collection], era};
			replica.confirm(peer);
			if (storeReadings[collection] !== undefined) {
				replica.confirmPeerReading(storeReadings[collection], era);
			}

			if (!this.#running.has(collection) && replica.isBehind(peer)) {
				this.#running.add(collection);
				const hasRead = storeAccess === StoreAccess.reading || (storeReadings[collection]?.ageMs ?? Number.POSITIVE_INFINITY) <= freshReadingMs;
				void this.#fetch(collection, record.peerAddress, peer, hasRead && record.region === this.options.region);
			}
		}

		if (!this.#isFetchingConfiguration && heldVersion > (state.configuration?.configuration.version ?? -1)) {
			void this.#fetchHeldConfiguration(record.peerAddress);
		}
	}

	/** Takes over the configuration that a peer holds since the store was restored from a copy with an earlier one. */
	async #fetchHeldConfiguration(peerAddress: string): Promise<void> {
		const {state, client, logger} = this.options;
		this.#isFetchingConfiguration = true;
		try {
			state.adoptHeldConfiguration(await client.readHeldConfiguration(peerAddress));
		} catch (error) {
			logger.warn({event: 'held-configuration-failed', from: peerAddress, reason: toFescuewickError(error).message}, 'could not read from a peer the configuration that it holds');
		} finally {
			this.#isFetchingConfiguration = false;
		}
	}

	async #fetch(collection: Collection, peerAddress: string, peer: ReplicaRevisions, isReaderOfOwnRegion: boolean): Promise<void> {
		const {state: {replicas, storeEra}, client, timers, logger, isReading, onAdopted} = this.options;
		const replica = replicas[collection];
		try {
			if (replica.isLoaded && (isReading() || !isReaderOfOwnRegion)) {
				await timers.sleep(isReading() ? readerFetchDelayMs : nonReaderFetchDelayMs);
			}

			if (!replica.isBehind(peer)) {
				return;
			}

			const {position} = replica;
			const answer = await client.readCollection(peerAddress, collection, position);
			storeEra.observePeer({era: answer.era ?? 0, revision: answer.valid}, peerAddress);
			if (replica.adopt(answer)) {
				logger.info({
					event: 'relayed', collection, from: peerAddress, heldRevision: position.revision, ...replica.revisions,
				}, 'updated a replica from a peer');
				onAdopted(collection);
			}
		} catch (error) {
			logger.warn({
				event: 'relay-failed', collection, from: peerAddress, reason: toFescuewickError(error).message,
			}, 'could not read a collection from a peer');
		} finally {
			this.#running.delete(collection);
		}
	}
}
