/** An object as read from the store. */
export type StoredObject = {
	readonly key: string;
	readonly value: unknown;
	/** Increases with each write of the object. */
	readonly version: number;
};

/** Max size of a value, in bytes of its JSON text. */
export const maxValueBytes = 1024 * 1024;

/** Expected version of an object that must not exist yet. */
export const absentVersion = 0;

/**
An object store with versioned objects, as the platform provides it; clients of its protocols and fakes are subclasses.

Errors: `storeUnavailable` (nothing was written), `storeTimeout` (a read got no answer), `storeOutcomeUnknown` (a write got no answer and may have taken effect), `storeConflict`, `storeValueTooLarge`, `storeMalformed`.
*/
export abstract class ObjectStore {
	/** Reads an object; undefined if it does not exist. */
	abstract read(key: string): Promise<StoredObject | undefined>;
	/** Reads all objects whose keys start with `prefix`, in key order. */
	abstract list(prefix: string): Promise<StoredObject[]>;
	/** Writes if the object has `expectedVersion` (`absentVersion`: if it does not exist; undefined: always); resolves with the new version. */
	abstract write(key: string, value: unknown, expectedVersion: number | undefined): Promise<number>;
	/** Removes the object if it has `expectedVersion`. */
	abstract remove(key: string, expectedVersion: number | undefined): Promise<void>;
	/** Waits until the object's version differs from `knownVersion`, for at most `waitMs`; undefined if it did not change. */
	abstract watch(key: string, knownVersion: number, waitMs: number, signal?: AbortSignal): Promise<StoredObject | undefined>;
}
