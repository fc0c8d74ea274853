import {FescuewickError, ResultCode} from '@fescuewick/core';

/** Longest accepted order key, in characters. */
export const maxOrderKeyLength = 255;

const ticketVersionPrefix = 'fw1.';
const visibleAscii = /^[\u0021-\u007E]+$/;
const ticketPattern = /^fw1\.(?<vm>[^.]+)\.(?<incarnation>[\da-z]+-[\da-z]+)\.(?<issuedAt>\d{1,15})\.(?<rest>.+)$/;

/** Form of an order key; it selects the authority that decides the order. */
export enum OrderKeyForm {
	caller = 'caller',
	ticket = 'ticket',
}

/** The parts of a ticket key. */
export type Ticket = {
	readonly vm: string;
	/** Start time and nonce of the only control daemon that may grant the order. */
	readonly incarnation: string;
	readonly issuedAtMs: number;
};

/** A well-formed order key; `ticket` is undefined for a key chosen by the caller. */
export type OrderKey = {
	readonly text: string;
	readonly form: OrderKeyForm;
	readonly ticket: Ticket | undefined;
};

/** Parses the value of an `Idempotency-Key` header; throws `orderKeyInvalid` if it is empty, too long, not visible ASCII, or a malformed ticket. */
export function parseOrderKey(text: string): OrderKey {
	if (text.length === 0 || text.length > maxOrderKeyLength) {
		throw invalidKey(`an order key has 1 to ${maxOrderKeyLength} characters`);
	}

	if (!visibleAscii.test(text)) {
		throw invalidKey('an order key consists of visible ASCII characters');
	}

	if (!text.startsWith(ticketVersionPrefix)) {
		return {text, form: OrderKeyForm.caller, ticket: undefined};
	}

	return {text, form: OrderKeyForm.ticket, ticket: parseTicket(text)};
}

/**
Builds the `orderKeyPrefix` of a lookup response, to which the caller appends characters of its own.

`controlIncarnation` is the text form of an incarnation (`incarnationId` in `core`), `issuedAtMs` the wall-clock time.
*/
export function makeOrderKeyPrefix(vm: string, controlIncarnation: string, issuedAtMs: number): string {
	return `${orderKeyPrefixHead(vm, controlIncarnation)}${Math.floor(issuedAtMs)}.`;
}

/** The part of `orderKeyPrefix` before the time of issue, which is precomputed for lookup responses. */
export function orderKeyPrefixHead(vm: string, controlIncarnation: string): string {
	return `${ticketVersionPrefix}${encodeVm(vm)}.${ticketIncarnation(controlIncarnation)}.`;
}

/** The form of an incarnation in a ticket: its start time and nonce, without the VM. */
export function ticketIncarnation(controlIncarnation: string): string {
	return controlIncarnation.split('.').slice(-2).join('-');
}

function parseTicket(text: string): Ticket {
	const groups = ticketPattern.exec(text)?.groups;
	if (groups === undefined) {
		throw invalidKey('an order key that starts with "fw1." has the form fw1.<vm>.<incarnation>.<issuedAtMs>.<rest>');
	}

	return {vm: decodeVm(groups.vm), incarnation: groups.incarnation, issuedAtMs: Number(groups.issuedAt)};
}

// Dots separate the parts of a ticket, so a dot in the name of a VM is escaped.
function encodeVm(vm: string): string {
	return encodeURIComponent(vm).replaceAll('.', '%2E');
}

function decodeVm(encoded: string): string {
	try {
		return decodeURIComponent(encoded);
	} catch {
		throw invalidKey('the VM named in the order key is malformed');
	}
}

function invalidKey(message: string): FescuewickError {
	return new FescuewickError(ResultCode.orderKeyInvalid, message);
}
