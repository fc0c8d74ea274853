import {Buffer} from 'node:buffer';
import {createHash, timingSafeEqual} from 'node:crypto';
import xxhash from 'xxhash-wasm';

const {h64} = await xxhash();

/** 64-bit xxHash of a string; stable across processes and releases. */
export function hash64(text: string): bigint {
	return h64(text);
}

/** Hashes a string to a number in [0, 1); stable across processes and releases. */
export function hashFraction(text: string): number {
	// Keeps the top 53 bits, which a double represents exactly.
	return Number(h64(text) / 2048n) / (2 ** 53);
}

/** Lower-case hexadecimal SHA-256 of a string. */
export function sha256Hex(text: string): string {
	return createHash('sha256').update(text).digest('hex');
}

/** Compares two hexadecimal digests in constant time; digests of different length are unequal. */
export function digestsEqual(first: string, second: string): boolean {
	const firstBytes = Buffer.from(first, 'hex');
	const secondBytes = Buffer.from(second, 'hex');
	return firstBytes.length === secondBytes.length && timingSafeEqual(firstBytes, secondBytes);
}

/** Orders members by rendezvous (highest random weight) hashing for a key, highest weight first. */
export function rendezvousOrder(key: string, members: Iterable<string>): string[] {
	return [...members]
		.map(member => ({member, weight: h64(`${key}\u0000${member}`)}))
		.sort((a, b) => (a.weight === b.weight ? (a.member < b.member ? -1 : 1) : (a.weight > b.weight ? -1 : 1)))
		.map(({member}) => member);
}
