import {type Buffer} from 'node:buffer';
import {decode, encode} from 'cbor-x';
import {type ServerStart} from '../placement/server-statements.js';

/** What a notice says; the first field of its datagram, where a heartbeat has a number. */
export enum ServerNoticeKind {
	leaving = 'leaving',
	limit = 'limit',
}

/** What a backend server said about itself in its answers to a VM. */
export type ServerNotice =
	| {readonly kind: ServerNoticeKind.leaving; readonly start: ServerStart}
	| {
		readonly kind: ServerNoticeKind.limit;
		readonly start: ServerStart;
		/** Requests a second that it takes from all VMs; undefined if it has no limit any more. */
		readonly limitPerS: number | undefined;
	};

/** Encodes a datagram by which a VM tells its peers what a backend server said to it. */
export function encodeServerNotice(notice: ServerNotice): Buffer {
	const {kind, start: {id, startedAtMs}} = notice;
	return encode(kind === ServerNoticeKind.limit ? [kind, id, startedAtMs, notice.limitPerS ?? null] : [kind, id, startedAtMs]);
}

/** Whether a datagram begins like a notice in CBOR: an array whose first item is a text, where a heartbeat has a number. */
function beginsLikeNotice(datagram: Uint8Array): boolean {
	const [arrayType, textType] = [4, 3];
	// The upper three bits of an item's first byte are its type.
	const typeOf = (byte: number) => Math.floor(byte / 32);
	return typeOf(datagram[0]) === arrayType && typeOf(datagram[1]) === textType;
}

/** Decodes a datagram; undefined if it is no such notice. */
export function decodeServerNotice(datagram: Uint8Array): ServerNotice | undefined {
	// Nearly all datagrams are heartbeats, which would be decoded twice otherwise.
	if (!beginsLikeNotice(datagram)) {
		return undefined;
	}

	let fields: unknown;
	try {
		fields = decode(datagram);
	} catch {
		return undefined;
	}

	if (!Array.isArray(fields)) {
		return undefined;
	}

	const [kind, id, startedAtMs, limitPerS] = fields as unknown[];
	if (typeof id !== 'string' || typeof startedAtMs !== 'number') {
		return undefined;
	}

	const start = {id, startedAtMs};
	if (kind === ServerNoticeKind.leaving) {
		return {kind, start};
	}

	return kind === ServerNoticeKind.limit && isLimit(limitPerS) ? {kind, start, limitPerS: limitPerS ?? undefined} : undefined;
}

function isLimit(value: unknown): value is number | null {
	return value === null || (typeof value === 'number' && Number.isFinite(value) && value >= 0);
}
