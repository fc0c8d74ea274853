import {decode} from 'cbor-x';
import {Agent, request} from 'undici';
import {FescuewickError, ResultCode} from '@fescuewick/core';
import {readBounded, rejectInvalidStatuses} from '@fescuewick/entry/http';
import {type Collection} from '@fescuewick/store';
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

	/** Reads a collection from a peer: the changes after `sinceRevision`, or all records if the peer no longer has all of these changes. */
	async readCollection(peerAddress: string, collection: Collection, sinceRevision: number): Promise<ReplicaSnapshot | ReplicaDelta> {
		const answer = await this.#get(peerAddress, `/v1/collections/${collection}?since=${sinceRevision}`) as ReplicaSnapshot | ReplicaDelta | undefined;
		if (typeof answer?.valid !== 'number' || typeof answer.changed !== 'number' || !Array.isArray('records' in answer ? answer.records : answer.changes)) {
			throw new FescuewickError(ResultCode.frameMalformed, `${peerAddress} sent a malformed answer for collection ${collection}`);
		}

		return answer;
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
