import {type Buffer} from 'node:buffer';
import {FescuewickError, ResultCode, sha256Hex} from '@fescuewick/core';
import {type PeerNetwork} from '@fescuewick/membership';
import {
	fetchConfigPart, MessageType, type ConfigPartReplyBody, type ConfigPartRequestBody,
} from '@fescuewick/wire';

/** Maximum size of a section of a part in one frame; a quarter of the frame limit, so that heartbeats are not delayed behind it. */
export const maxSectionBytes = 256 * 1024;
/** Larger parts are rejected. The store accepts 1 MiB of JSON text, which is never shorter than the part that it encodes, so no stored part is larger. */
const maxPartBytes = 1024 * 1024;
const sectionTimeoutMs = 1000;

/** Reply to a request for a section of a part; without `content` if the part is not held. */
export function sectionOf(content: Buffer | undefined, {hash, offsetBytes}: ConfigPartRequestBody): ConfigPartReplyBody {
	return {hash, content: content?.subarray(offsetBytes, offsetBytes + maxSectionBytes), sizeBytes: content?.length ?? 0};
}

/** Fetches a part from a peer section by section and checks its hash; throws `configurationUnreadable` or the error of the request. */
export async function fetchPeerPart(peers: PeerNetwork, vm: string, hash: string): Promise<Buffer> {
	const part = await fetchConfigPart(async offsetBytes => peers.request(vm, MessageType.configPartRequest, {hash, offsetBytes}, sectionTimeoutMs), maxPartBytes);
	if (part === undefined) {
		throw new FescuewickError(ResultCode.configurationUnreadable, `${vm} does not hold configuration part ${hash}`);
	}

	if (sha256Hex(part.toString('utf8')) !== hash) {
		throw new FescuewickError(ResultCode.configurationUnreadable, `configuration part ${hash} from ${vm} does not match its hash`);
	}

	return part;
}
