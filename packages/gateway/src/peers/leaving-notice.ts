import {type Buffer} from 'node:buffer';
import {decode, encode} from 'cbor-x';
import {type ServerStart} from '../placement/server-statements.js';

/** First field of a notice; a heartbeat begins with a number. */
const noticeTag = 'leaving';

/** Encodes a datagram by which a VM tells its peers that a backend server says that it is leaving. */
export function encodeLeavingNotice({id, startedAtMs}: ServerStart): Buffer {
	return encode([noticeTag, id, startedAtMs]);
}

/** Decodes a datagram; undefined if it is no such notice. */
export function decodeLeavingNotice(datagram: Uint8Array): ServerStart | undefined {
	let fields: unknown;
	try {
		fields = decode(datagram);
	} catch {
		return undefined;
	}

	if (!Array.isArray(fields)) {
		return undefined;
	}

	const [tag, id, startedAtMs] = fields as unknown[];
	return tag === noticeTag && typeof id === 'string' && typeof startedAtMs === 'number' ? {id, startedAtMs} : undefined;
}
