import {type VmRecord, type BackendRecord, type LoadEntry} from '../records.js';
import {type HeldShiftGrant} from '../shift-messages.js';

/** State of the fleet that the control daemon sends to entry and look-up daemons. */
export type SnapshotBody = {
	readonly revision: number;
	/** The configuration document, validated by `@fescuewick/config`. */
	readonly configuration: unknown;
	readonly members: readonly VmRecord[];
	/** Undefined while the control daemon has not read the platform's list yet, for example after a restart; receivers then keep the servers they know. */
	readonly backends: readonly BackendRecord[] | undefined;
	readonly revokedKeyHashes: readonly string[];
	/** Time since the keys were last confirmed to be current; undefined if they never were. */
	readonly keysAgeMs: number | undefined;
	readonly loads: readonly LoadEntry[];
	readonly shiftGrants: readonly HeldShiftGrant[];
	readonly controlIncarnation: string;
	/** Liveness of the members and the incarnations of their control daemons; a member that is not listed counts as ready. */
	readonly vmStates?: ReadonlyArray<{readonly vm: string; readonly ready: boolean; readonly incarnation: string | undefined}>;
	/** Version of the table of client blocks and the hashes of its chunks, fetched with `configPartRequest`. */
	readonly blocks?: {readonly version: number; readonly chunkHashes: readonly string[]};
};

/** Kinds of change to a snapshot's tables and rows; the numbers are part of the protocol. */
export enum RowChange {
	set = 1,
	remove = 2,
	/** Adds a table without rows; represents an empty list. */
	addTable = 3,
	dropTable = 4,
}

/** A page of changes to the snapshot that the receiver holds; the receiver applies them when the last page has arrived. */
export type SnapshotDeltaBody = {
	/** True if the pages contain the full snapshot, which replaces the receiver's; false if they contain only changes. */
	readonly whole: boolean;
	readonly first: boolean;
	readonly last: boolean;
	/** CBOR arrays of `RowChange`, table, key and value; key and value are left out where the kind of change has none. */
	readonly rows: readonly Uint8Array[];
};
