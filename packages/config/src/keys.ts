import {Buffer} from 'node:buffer';
import {sha256Hex} from '@fescuewick/core';

/** Number of random bytes in a key. */
export const keyRandomBytes = 32;

/** A new key; `key` is shown to the operator once, and only `sha256` is stored. */
export type GeneratedKey = {readonly key: string; readonly sha256: string};

/** Generates a key from 256 random bits; its prefix allows secret scanners to detect leaked keys. */
export function generateKey(randomBytes: (count: number) => Uint8Array): GeneratedKey {
	const key = `fwk_${Buffer.from(randomBytes(keyRandomBytes)).toString('base64url')}`;
	return {key, sha256: sha256Hex(key)};
}
