import {toFescuewickError, type Logger, type TimerService} from '@fescuewick/core';
import {Collection} from '@fescuewick/store';
import {type Replica} from '../state/replica.js';
import {type Heartbeat} from './heartbeat.js';
import {type PeerClient} from './peer-client.js';

/** Time left to the own watch to bring a change that a peer already has, in milliseconds. */
const graceMs = 150;

type CatchUpOptions = {
	readonly replicas: Readonly<Record<Collection, Replica>>;
	readonly client: PeerClient;
	readonly timers: TimerService;
	readonly logger: Logger;
	/** Called after a copy was taken over. */
	readonly onAdopted: (collection: Collection) => void;
};

const relayed = [Collection.configurations, Collection.backends, Collection.evacuations] as const;

/** Takes copies over from peers that know of changes which the store has not told this VM. */
export class CatchUp {
	readonly #running = new Set<Collection>();

	constructor(private readonly options: CatchUpOptions) {}

	/** Compares a peer's revisions with the own ones and fetches what is missing. */
	onHeartbeat({record, revisions}: Heartbeat): void {
		for (const collection of relayed) {
			if (!this.#running.has(collection) && this.options.replicas[collection].isBehind(revisions[collection])) {
				this.#running.add(collection);
				void this.#fetch(collection, record.peerAddress, revisions[collection].changed);
			}
		}
	}

	async #fetch(collection: Collection, peerAddress: string, changed: number): Promise<void> {
		const {replicas, client, timers, logger, onAdopted} = this.options;
		const replica = replicas[collection];
		try {
			if (replica.isLoaded) {
				await timers.sleep(graceMs);
			}

			if (!replica.isBehind({valid: changed, changed})) {
				return;
			}

			const heldRevision = replica.revisions.valid;
			if (replica.adopt(await client.collection(peerAddress, collection))) {
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
