import {Buffer} from 'node:buffer';
import {hash, timingSafeEqual} from 'node:crypto';
import {type KeySettings} from '@fescuewick/config';

type KeyEntry = {readonly digest: Buffer; readonly workspace: string};

/** SHA-256 digest of a key. */
export function keyDigest(key: string): Buffer {
	return hash('sha256', key, 'buffer');
}

/** Index of the issued keys by digest. */
export class IssuedKeys {
	// Buckets by the first two bytes; all entries of a bucket are compared, so that the look-up time does not reveal which entry matches.
	readonly #buckets = new Map<number, KeyEntry[]>();

	constructor(keys: readonly KeySettings[]) {
		for (const {sha256, workspace} of keys) {
			const digest = Buffer.from(sha256, 'hex');
			const bucket = digest.readUInt16BE(0);
			this.#buckets.set(bucket, [...this.#buckets.get(bucket) ?? [], {digest, workspace}]);
		}
	}

	/** The workspace of a key; undefined if the key is not in the configuration. */
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

/** Hashes of revoked keys; entries are never removed. */
export class RevokedKeys {
	readonly #hashes = new Set<string>();

	/** Adds hashes; returns those that were not present. */
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
