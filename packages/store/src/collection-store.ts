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

/** All records of a collection as of a revision, which is that of the store when it answered. */
export type Listing = {readonly records: readonly CollectionRecord[]; readonly revision: number};

/** One change of a record. */
export type RecordChange = {readonly record: CollectionRecord; readonly isRemoved: boolean};

/** Changes after a revision, in order, up to `revision`, which is that of the store when it answered. */
export type ChangeBatch = {readonly changes: readonly RecordChange[]; readonly revision: number};

/**
A store with one revision counter for all records and watches over whole collections.

Errors: `storeUnavailable` (nothing was done), `storeTimeout`, `storeOutcomeUnknown` (a write may have taken effect), `storeConflict`, `storeHistoryGone` (list again), `storeMalformed`.
*/
export abstract class CollectionStore {
	/** Reads all records of a collection. */
	abstract list(collection: Collection, freshness: Freshness): Promise<Listing>;
	/** Resolves with the changes after revision `afterRevision`; with an empty batch if none come within `waitMs`. Without an answer, as on a connection that has gone silent, it fails `maxAnswerMs` later. */
	abstract watch(collection: Collection, afterRevision: number, waitMs: number, signal: AbortSignal): Promise<ChangeBatch>;
	/** Creates a record, or replaces it if it exists. */
	abstract put(collection: Collection, name: string, value: unknown): Promise<void>;
	/** Removes a record if its last change is `revision`. */
	abstract remove(collection: Collection, name: string, revision: number): Promise<void>;
}
