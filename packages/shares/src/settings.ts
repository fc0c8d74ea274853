import {hash64} from '@fescuewick/core';
import {type ShareKind} from '@fescuewick/wire';
import {bucketCount} from './limits.js';

/** Rate and burst of a workspace, for the whole fleet. */
export type WorkspaceRate = {readonly ratePerS: number; readonly burst: number};
/** Capacity of a backend server. */
export type ServerCapacity = {readonly slots: number; readonly connections: number};

/** Rates and servers to share, as known to one VM from the configuration and the platform's list. */
export type ShareSettings = {
	/** Revision of the configuration; a lower one never overrides a higher one. */
	readonly revision: number;
	readonly rates: ReadonlyMap<string, WorkspaceRate>;
	/** Backend servers of this VM's failure domain; undefined until the platform's list of them is known. */
	readonly servers: ReadonlyMap<string, ServerCapacity> | undefined;
};

/** Hash bucket of a resource, below `bucketCount`. */
export function bucketOf(kind: ShareKind, resource: string): number {
	return Number(hash64(`${kind}/${resource}`) % BigInt(bucketCount));
}

/** Rendezvous hashing key that selects the allocator of a bucket. */
export function allocatorKey(bucket: number): string {
	return `shares/${bucket}`;
}
