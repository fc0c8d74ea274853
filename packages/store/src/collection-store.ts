/** A call without an answer after this time has failed, in milliseconds; for a watch, the time counts from the end of its wait. Stores answer in milliseconds, or in a quarter of a second when they are slow. */
export const maxAnswerMs = 1000;

/** Collections of records, which VMs replicate. */
export enum Collection {
	configurations = 'configurations',
	backends = 'backends',
	evacuations = 'evacuations',
	vms = 'vms',
}

/** Consistency of a read. */
export enum Freshness {
	/** Includes every change that the store had acknowledged before the call. */
	latest = 'latest',
	/** May lack changes of the last few seconds; costs the store less. */
	recent = 'recent',
}

/** A record as read from the store; `value` is undefined if it could not be decoded. */
export type CollectionRecord = {
	readonly name: string;
	/** Store revision of its last change. */
	readonly revision: number;
	readonly value: unknown;
};

/** A position in the history of a store. When a store is restored from a copy, a new era begins, in which it assigns revisions again. */
export type StorePosition = {
	readonly revision: number;
	/** Rises by one with each restore; a store that does not say its era counts as one of era 0. */
	readonly era?: number;
};

/** Negative if `one` is before `other`, 0 if they are the same position; the era counts first, because revisions of two eras cannot be compared. */
export function comparePositions(one: StorePosition, other: StorePosition): number {
	return ((one.era ?? 0) - (other.era ?? 0)) || (one.revision - other.revision);
}

/** All records of a collection as of a position, which is that of the store when it answered. */
export type Listing = StorePosition & {readonly records: readonly CollectionRecord[]};

/** One change of a record. */
export type RecordChange = {readonly record: CollectionRecord; readonly isRemoved: boolean};

/** Changes after a revision, in order, up to a position, which is that of the store when it answered. */
export type ChangeBatch = StorePosition & {readonly changes: readonly RecordChange[]};

/**
A store with one revision counter for all records and watches over whole collections.

Errors: `storeUnavailable` (nothing was done), `storeTimeout`, `storeOutcomeUnknown` (a write may have taken effect), `storeConflict`, `storeHistoryGone` (list again: the store no longer has the changes, or they are too long to be read at once), `storeMalformed`.
*/
export abstract class CollectionStore {
	/** Reads all records of a collection. */
	abstract list(collection: Collection, freshness: Freshness): Promise<Listing>;
	/** Resolves with the changes after a position; with an empty batch if none come within `waitMs`. The answer may be of a later era than the position, and then its changes do not follow it. Without an answer, as on a connection that has gone silent, it fails `maxAnswerMs` later. */
	abstract watch(collection: Collection, after: StorePosition, waitMs: number, signal: AbortSignal): Promise<ChangeBatch>;
	/** Creates a record, or replaces it if it exists. */
	abstract put(collection: Collection, name: string, value: unknown): Promise<void>;
	/** Removes a record if its last change is `revision`. */
	abstract remove(collection: Collection, name: string, revision: number): Promise<void>;
}
