import {type Buffer} from 'node:buffer';
import {decode, encode} from 'cbor-x';

/** First byte of a datagram with a message about a pool, where a heartbeat has its scope. */
export const poolMessageMark = 16;

/** What a message about a pool says. */
export enum PoolMessageKind {
	/** A VM asks the owner of its failure domain's pool for a token. */
	tokenRequest = 0,
	tokenReply = 1,
	/** An owner tells the owner of another pool how many requests it has admitted. */
	grantReport = 2,
	grantConfirmation = 3,
}

/** A message between the VMs that share a workspace's rate; `vm` is its sender. */
export type PoolMessage =
	| {readonly kind: PoolMessageKind.tokenRequest; readonly vm: string; readonly workspace: string; readonly id: number}
	| {readonly kind: PoolMessageKind.tokenReply; readonly vm: string; readonly id: number; readonly isGranted: boolean}
	| {readonly kind: PoolMessageKind.grantReport; readonly vm: string; readonly workspace: string; readonly incarnation: number; readonly passed: number}
	| {readonly kind: PoolMessageKind.grantConfirmation; readonly vm: string; readonly workspace: string; readonly passed: number};

/** Encodes a message; its fields are encoded by position. */
export function encodePoolMessage(message: PoolMessage): Buffer {
	const {kind, vm} = message;
	switch (kind) {
		case PoolMessageKind.tokenRequest: {
			return encode([kind, vm, message.workspace, message.id]);
		}

		case PoolMessageKind.tokenReply: {
			return encode([kind, vm, message.isGranted, message.id]);
		}

		case PoolMessageKind.grantReport: {
			return encode([kind, vm, message.workspace, message.passed, message.incarnation]);
		}

		case PoolMessageKind.grantConfirmation: {
			return encode([kind, vm, message.workspace, message.passed]);
		}
	}
}

/** Decodes a message; undefined if it is none. */
export function decodePoolMessage(content: Uint8Array): PoolMessage | undefined {
	let fields: unknown;
	try {
		fields = decode(content);
	} catch {
		return undefined;
	}

	if (!Array.isArray(fields)) {
		return undefined;
	}

	const [kind, vm, subject, number, incarnation] = fields as unknown[];
	if (typeof vm !== 'string' || !isCount(number)) {
		return undefined;
	}

	if (kind === PoolMessageKind.tokenReply) {
		return typeof subject === 'boolean'
			? {
				kind, vm, id: number, isGranted: subject,
			}
			: undefined;
	}

	if (typeof subject !== 'string') {
		return undefined;
	}

	if (kind === PoolMessageKind.tokenRequest) {
		return {
			kind, vm, workspace: subject, id: number,
		};
	}

	if (kind === PoolMessageKind.grantReport) {
		return isCount(incarnation)
			? {
				kind, vm, workspace: subject, incarnation, passed: number,
			}
			: undefined;
	}

	return kind === PoolMessageKind.grantConfirmation
		? {
			kind, vm, workspace: subject, passed: number,
		}
		: undefined;
}

function isCount(value: unknown): value is number {
	return typeof value === 'number' && Number.isSafeInteger(value) && value >= 0;
}
