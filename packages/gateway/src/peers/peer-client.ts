import {decode} from 'cbor-x';
import {Agent, request} from 'undici';
import {FescuewickError, ResultCode} from '@fescuewick/core';
import {readBounded, rejectInvalidStatuses} from '@fescuewick/entry/http';
import {type Collection, type StorePosition} from '@fescuewick/store';
import {type Configuration} from '../model/configuration.js';
import {type VmRecord} from '../model/records.js';
import {type ReplicaDelta, type ReplicaSnapshot} from '../state/replica.js';

/** Timeout of a call to a peer, in milliseconds; a few round trips between regions. */
const callTimeoutMs = 700;
/** Idle connections are closed after this time, in milliseconds, whatever the peer proposes, so that a call does not wait on one that has gone silent. */
const idleTimeoutMs = 1000;

/** Longest answer of a peer, in bytes. */
const maxAnswerBytes = 33_554_432;

/** Reads collections and known VMs from peers. */
export class PeerClient {
	readonly #agent = new Agent({
		connections: 1, pipelining: 1, keepAliveTimeout: idleTimeoutMs, keepAliveMaxTimeout: idleTimeoutMs, connect: {timeout: callTimeoutMs / 2},
	});

	readonly #dispatcher = this.#agent.compose(rejectInvalidStatuses);

	/** Reads a collection from a peer: the changes after a position, or all records if the peer no longer has all of these changes. */
	async readCollection(peerAddress: string, collection: Collection, {revision, era = 0}: StorePosition): Promise<ReplicaSnapshot | ReplicaDelta> {
		const answer = await this.#get(peerAddress, `/v1/collections/${collection}?since=${revision}&era=${era}`) as ReplicaSnapshot | ReplicaDelta | undefined;
		if (typeof answer?.valid !== 'number' || typeof answer.changed !== 'number' || typeof (answer.era ?? 0) !== 'number' || !Array.isArray('records' in answer ? answer.records : answer.changes)) {
			throw new FescuewickError(ResultCode.frameMalformed, `${peerAddress} sent a malformed answer for collection ${collection}`);
		}

		return answer;
	}

	/** Reads the configuration that a peer holds although the store has lost it; fails if the peer holds none. */
	async readHeldConfiguration(peerAddress: string): Promise<Configuration> {
		const configuration = await this.#get(peerAddress, '/v1/held-configuration') as Partial<Configuration> | undefined;
		if (typeof configuration?.version !== 'number' || !Array.isArray(configuration.routes) || !Array.isArray(configuration.workspaces) || !Array.isArray(configuration.services)) {
			throw new FescuewickError(ResultCode.frameMalformed, `${peerAddress} sent a malformed configuration`);
		}

		return configuration as Configuration;
	}

	/** Reads the VMs that a peer knows, including itself. */
	async readMembers(peerAddress: string): Promise<VmRecord[]> {
		const members = await this.#get(peerAddress, '/v1/members');
		if (!Array.isArray(members)) {
			throw new FescuewickError(ResultCode.frameMalformed, `${peerAddress} sent a malformed list of VMs`);
		}

		return members as VmRecord[];
	}

	async close(): Promise<void> {
		await this.#agent.destroy();
	}

	async #get(peerAddress: string, path: string): Promise<unknown> {
		const {statusCode, body} = await request(`http://${peerAddress}${path}`, {dispatcher: this.#dispatcher, signal: AbortSignal.timeout(callTimeoutMs)});
		const content = await readBounded(body, maxAnswerBytes, ResultCode.frameMalformed);
		if (statusCode !== 200) {
			throw new FescuewickError(ResultCode.peerClosed, `${peerAddress} answered ${path} with status ${statusCode}`);
		}

		return decode(content);
	}
}
