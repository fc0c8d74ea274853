import {encode} from 'cbor-x';
import {type CollectionRecord} from '@fescuewick/store';

/** Longest content of removed records that is retained, in bytes, as peers get it; the longest value of a record that stores accept. */
const maxRemovedBytes = 1_048_576;
/** Entries that may be superseded before they are removed from the order of changes, beyond as many as there are others. */
const minSuperseded = 64;

/** The last change of a record. */
type Change = {
	/** Undefined once the record has changed again. */
	record: CollectionRecord | undefined;
	readonly isRemoved: boolean;
	/** Revision of the replica after the change. */
	readonly revision: number;
	/** When the change was learned of, in milliseconds of the replica's clock. */
	readonly atMs: number;
	/** Size of a removed record, in bytes. */
	readonly sizeBytes: number;
};

/** A change that a peer may lack. */
export type RetainedChange = {readonly record: CollectionRecord; readonly isRemoved: boolean; readonly atMs: number};

/**
The changes of a replica that its peers may lack.

Only the last change of each record is retained. The content of a record that still exists is that of the replica, so what a history holds besides does not grow with the number of changes; removed records are retained up to a limit on their bytes.
*/
export class ChangeHistory {
	/** Last changes in their order, and superseded ones between them. */
	#changes: Change[] = [];
	readonly #lastOf = new Map<string, Change>();
	#since = -1;
	#removedBytes = 0;

	/** Revision from which the history holds all changes. */
	get since(): number {
		return this.#since;
	}

	/** Content of the removed records, in bytes. */
	get removedBytes(): number {
		return this.#removedBytes;
	}

	/** Forgets all changes up to a revision, after which the next ones follow. */
	restart(revision: number): void {
		this.#changes = [];
		this.#lastOf.clear();
		this.#removedBytes = 0;
		this.#since = revision;
	}

	/** Adds a change after which the replica has `revision`. */
	add({record, isRemoved, atMs}: RetainedChange, revision: number): void {
		const previous = this.#lastOf.get(record.name);
		if (previous !== undefined) {
			this.#forgetContent(previous);
		}

		const sizeBytes = isRemoved ? encode(record).length : 0;
		const change: Change = {
			record, isRemoved, revision, atMs, sizeBytes,
		};
		this.#changes.push(change);
		this.#lastOf.set(record.name, change);
		this.#removedBytes += sizeBytes;
		this.#boundRemoved();
		if (this.#changes.length > (2 * this.#lastOf.size) + minSuperseded) {
			this.#changes = this.#changes.filter(({record}) => record !== undefined);
		}
	}

	/** The changes after a revision that is not before `since`, in their order. */
	after(revision: number): RetainedChange[] {
		const missing: RetainedChange[] = [];
		for (let index = this.#changes.length - 1; index >= 0 && this.#changes[index].revision > revision; index--) {
			const {record, isRemoved, atMs} = this.#changes[index];
			if (record !== undefined) {
				missing.push({record, isRemoved, atMs});
			}
		}

		return missing.reverse();
	}

	/** Drops the first changes until the removed records are within their limit. */
	#boundRemoved(): void {
		let dropped = 0;
		while (this.#removedBytes > maxRemovedBytes) {
			this.#since = this.#changes[dropped].revision;
			for (; dropped < this.#changes.length && this.#changes[dropped].revision <= this.#since; dropped++) {
				const {record} = this.#changes[dropped];
				if (record !== undefined) {
					this.#lastOf.delete(record.name);
					this.#forgetContent(this.#changes[dropped]);
				}
			}
		}

		this.#changes.splice(0, dropped);
	}

	#forgetContent(change: Change): void {
		change.record = undefined;
		this.#removedBytes -= change.sizeBytes;
	}
}
