import {FescuewickError, ResultCode} from '@fescuewick/core';
import {type HeartbeatBody} from './messages.js';

/** Fields of a heartbeat in the order in which they are sent. Most frames are heartbeats, and most bytes of a map would be field names, so an array is sent. */
type PackedHeartbeat = [
	revision: number, freshnessAgeMs: number | undefined, storeReachable: boolean, sequence?: number, echo?: number, echoHeldMs?: number,
	keySummary?: number, epochs?: Readonly<Record<string, number>>,
];

/** Encodes a heartbeat as an array; undefined fields at the end are left out. */
export function packHeartbeat(body: HeartbeatBody): unknown[] {
	const packed: PackedHeartbeat = [body.revision, body.freshnessAgeMs, body.storeReachable, body.sequence, body.echo, body.echoHeldMs, body.keySummary, body.epochs];
	while (packed.at(-1) === undefined) {
		packed.pop();
	}

	return packed;
}

/** Decodes a heartbeat from its array; throws `frameMalformed`. */
export function unpackHeartbeat(value: unknown): HeartbeatBody {
	if (!Array.isArray(value) || typeof value[0] !== 'number') {
		throw new FescuewickError(ResultCode.frameMalformed, 'heartbeat is not an array that starts with a revision');
	}

	const [revision, freshnessAgeMs, storeReachable, sequence, echo, echoHeldMs, keySummary, epochs] = value as PackedHeartbeat;
	return {
		revision, freshnessAgeMs: freshnessAgeMs ?? undefined, storeReachable, sequence, echo, echoHeldMs, keySummary, epochs,
	};
}
