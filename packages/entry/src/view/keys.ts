import {Buffer} from 'node:buffer';
import {hash, timingSafeEqual} from 'node:crypto';
import {type KeySettings} from '@fescuewick/config';

type KeyEntry = {readonly digest: Buffer; readonly workspace: string};

/** SHA-256 of a presented key. */
export function keyDigest(key: string): Buffer {
	return hash('sha256', key, 'buffer');
}

/** The issued keys by their hashes. */
export class IssuedKeys {
	// Entries that share the first two bytes are all compared, without an early exit.
	readonly #buckets = new Map<number, KeyEntry[]>();

	constructor(keys: readonly KeySettings[]) {
		for (const {sha256, workspace} of keys) {
			const digest = Buffer.from(sha256, 'hex');
			const bucket = digest.readUInt16BE(0);
			this.#buckets.set(bucket, [...this.#buckets.get(bucket) ?? [], {digest, workspace}]);
		}
	}

	/** The workspace of a key; undefined if the key was never issued or its entry was removed. */
	workspaceOf(digest: Buffer): string | undefined {
		let workspace: string | undefined;
		for (const entry of this.#buckets.get(digest.readUInt16BE(0)) ?? []) {
			if (timingSafeEqual(entry.digest, digest)) {
				workspace = entry.workspace;
			}
		}

		return workspace;
	}
}

/** Hashes of revoked keys; it only grows. */
export class RevokedKeys {
	readonly #hashes = new Set<string>();

	/** Adds hashes and returns those that are new. */
	merge(hashes: readonly string[]): string[] {
		const added = hashes.filter(hash => !this.#hashes.has(hash));
		for (const hash of added) {
			this.#hashes.add(hash);
		}

		return added;
	}

	has(digestHex: string): boolean {
		return this.#hashes.has(digestHex);
	}
}
