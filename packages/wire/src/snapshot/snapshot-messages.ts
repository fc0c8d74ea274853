import {type VmRecord, type BackendRecord, type LoadEntry} from '../records.js';
import {type HeldShiftGrant} from '../shift-messages.js';

/** What entry and look-up daemons know of the fleet. */
export type SnapshotBody = {
	readonly revision: number;
	/** The configuration document, as checked by `@fescuewick/config`. */
	readonly configuration: unknown;
	readonly members: readonly VmRecord[];
	/** Undefined while the control daemon does not know the platform's list yet, as after its restart; receivers keep the servers they know. */
	readonly backends: readonly BackendRecord[] | undefined;
	readonly revokedKeyHashes: readonly string[];
	/** Time since keys were last confirmed to be current; undefined if never. */
	readonly keysAgeMs: number | undefined;
	readonly loads: readonly LoadEntry[];
	readonly shiftGrants: readonly HeldShiftGrant[];
	readonly controlIncarnation: string;
	/** Liveness of the members and the incarnations of their control daemons; a member that is not listed counts as ready. */
	readonly vmStates?: ReadonlyArray<{readonly vm: string; readonly ready: boolean; readonly incarnation: string | undefined}>;
	/** Version of the table of client blocks and the hashes of its chunks, fetched with `configPartRequest`. */
	readonly blocks?: {readonly version: number; readonly chunkHashes: readonly string[]};
};

/** Kinds of change of a snapshot's rows; the numbers are part of the protocol. */
export enum RowChange {
	set = 1,
	remove = 2,
	/** Adds a table without rows, for a list that is empty. */
	addTable = 3,
	dropTable = 4,
}

/** A page of changes to the snapshot that the receiver holds; the changes count once the last page has come. */
export type SnapshotDeltaBody = {
	/** The pages hold the whole snapshot; what the receiver held before does not count. */
	readonly whole: boolean;
	readonly first: boolean;
	readonly last: boolean;
	/** CBOR arrays of `RowChange`, table, key and value, as far as the kind of change has them. */
	readonly rows: readonly Uint8Array[];
};
