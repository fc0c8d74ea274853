import {Buffer} from 'node:buffer';
import {decode} from 'cbor-x';
import {Agent, request} from 'undici';
import {FescuewickError, ResultCode} from '@fescuewick/core';
import {type Collection} from '@fescuewick/store';
import {type VmRecord} from '../model/records.js';
import {type ReplicaDelta, type ReplicaImage} from '../state/replica.js';

/** Longest time for one call to a peer, in milliseconds; a few round trips between regions. */
const callTimeoutMs = 700;

/** Reads collections and members from other VMs. */
export class PeerClient {
	readonly #agent = new Agent({
		connections: 1, pipelining: 1, keepAliveTimeout: 1000, connect: {timeout: callTimeoutMs / 2},
	});

	/** What a peer's copy of a collection has beyond `sinceRevision`: the changes, or the whole copy if the peer does not know them all. */
	async readCollection(peerAddress: string, collection: Collection, sinceRevision: number): Promise<ReplicaImage | ReplicaDelta> {
		const image = await this.#get(peerAddress, `/v1/collections/${collection}?since=${sinceRevision}`) as ReplicaImage | ReplicaDelta | undefined;
		if (typeof image?.valid !== 'number' || typeof image.changed !== 'number' || !Array.isArray('records' in image ? image.records : image.changes)) {
			throw new FescuewickError(ResultCode.frameMalformed, `${peerAddress} sent a malformed copy of ${collection}`);
		}

		return image;
	}

	/** The VMs a peer knows, itself included. */
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
		const {statusCode, body} = await request(`http://${peerAddress}${path}`, {dispatcher: this.#agent, signal: AbortSignal.timeout(callTimeoutMs)});
		const content = Buffer.from(await body.arrayBuffer());
		if (statusCode !== 200) {
			throw new FescuewickError(ResultCode.peerClosed, `${peerAddress} answered ${path} with status ${statusCode}`);
		}

		return decode(content);
	}
}
