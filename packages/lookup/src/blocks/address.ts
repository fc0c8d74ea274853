/* eslint-disable no-bitwise -- addresses are bit strings */
import {isIPv6} from 'node:net';

/** Address family of a client. */
export enum AddressFamily {
	v4 = 'v4',
	v6 = 'v6',
}

/** A client address or CIDR block; only the first 64 bits of an IPv6 address are kept. */
export type ClientBlock = {
	readonly family: AddressFamily;
	/** First 32 bits, unsigned. */
	readonly high: number;
	/** Bits 32 to 63 of an IPv6 address; 0 for IPv4. */
	readonly low: number;
	/** At most 32 for IPv4 and 64 for IPv6. */
	readonly prefixLength: number;
};

/** Longest textual IPv6 address (45 characters) with a prefix length. */
const maxTextLength = 49;
const zeroCodePoint = 48;
/** Code point of the dot relative to that of the digit 0. */
const dotOffset = -2;

/** Parses an IPv4 or IPv6 address or CIDR block; undefined if it is malformed. Bits after the prefix are cleared. */
export function parseClientBlock(text: string): ClientBlock | undefined {
	if (text.length > maxTextLength) {
		return undefined;
	}

	const slash = text.indexOf('/');
	const address = slash === -1 ? text : text.slice(0, slash);
	if (address.includes(':')) {
		const length = slash === -1 ? 128 : parsePrefixLength(text.slice(slash + 1), 128);
		return length === undefined ? undefined : parseIpv6(address, length);
	}

	const length = slash === -1 ? 32 : parsePrefixLength(text.slice(slash + 1), 32);
	const high = length === undefined ? undefined : parseIpv4(address);
	return length === undefined || high === undefined ? undefined : makeBlock(AddressFamily.v4, high, 0, length);
}

/** Builds a block and clears the bits after its prefix. */
export function makeBlock(family: AddressFamily, high: number, low: number, prefixLength: number): ClientBlock {
	return {
		family, high: maskHigh(high, prefixLength), low: maskLow(low, prefixLength), prefixLength,
	};
}

/** Text form of a block, as in `10.1.2.0/24` or `2001:db8:0:1::/64`. */
export function formatBlock(block: ClientBlock): string {
	if (block.family === AddressFamily.v4) {
		return `${block.high >>> 24}.${(block.high >>> 16) & 255}.${(block.high >>> 8) & 255}.${block.high & 255}/${block.prefixLength}`;
	}

	const groups = [block.high >>> 16, block.high & 0xFF_FF, block.low >>> 16, block.low & 0xFF_FF];
	return `${groups.map(group => group.toString(16)).join(':')}::/${block.prefixLength}`;
}

/** The first `length` bits of bits 0 to 31. */
export function maskHigh(high: number, length: number): number {
	return length === 0 ? 0 : (length >= 32 ? high : (high & (-1 << (32 - length)))) >>> 0;
}

/** The part of bits 32 to 63 that belongs to a prefix of `length` bits. */
export function maskLow(low: number, length: number): number {
	return length <= 32 ? 0 : maskHigh(low, length - 32);
}

function parsePrefixLength(text: string, max: number): number | undefined {
	if (!/^(?:0|[1-9]\d{0,2})$/.test(text)) {
		return undefined;
	}

	const length = Number(text);
	return length <= max ? length : undefined;
}

/** Parses a dotted quad in one pass, as it runs for each look-up; leading zeros are rejected because some parsers read them as octal. */
function parseIpv4(text: string): number | undefined {
	let value = 0;
	let octet = -1;
	let dots = 0;
	for (let index = 0; index < text.length; index++) {
		const digit = text.codePointAt(index)! - zeroCodePoint;
		if (digit === dotOffset) {
			if (octet < 0) {
				return undefined;
			}

			value = (value * 256) + octet;
			octet = -1;
			dots++;
		} else if (digit >= 0 && digit <= 9 && octet !== 0) {
			octet = octet < 0 ? digit : (octet * 10) + digit;
			if (octet > 255) {
				return undefined;
			}
		} else {
			return undefined;
		}
	}

	return dots === 3 && octet >= 0 ? (value * 256) + octet : undefined;
}

function parseIpv6(text: string, length: number): ClientBlock | undefined {
	if (!isIPv6(text) || text.includes('%')) {
		return undefined;
	}

	const groups = parseIpv6Groups(text);
	const isMappedIpv4 = groups[5] === 0xFF_FF && groups.slice(0, 5).every(group => group === 0);
	if (isMappedIpv4) {
		return length < 96 ? undefined : makeBlock(AddressFamily.v4, (groups[6] * 65_536) + groups[7], 0, length - 96);
	}

	return makeBlock(AddressFamily.v6, (groups[0] * 65_536) + groups[1], (groups[2] * 65_536) + groups[3], Math.min(length, 64));
}

function parseIpv6Groups(text: string): number[] {
	const [head, tail] = text.split('::');
	const first = parseGroups(head);
	if (tail === undefined) {
		return first;
	}

	const last = parseGroups(tail);
	return [...first, ...Array.from({length: 8 - first.length - last.length}, () => 0), ...last];
}

function parseGroups(text: string): number[] {
	if (text === '') {
		return [];
	}

	return text.split(':').flatMap(group => {
		if (!group.includes('.')) {
			return [Number.parseInt(group, 16)];
		}

		const value = parseIpv4(group)!;
		return [Math.floor(value / 65_536), value % 65_536];
	});
}
