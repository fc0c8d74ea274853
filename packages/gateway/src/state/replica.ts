import Emittery from 'emittery';
import {type ChangeBatch, type CollectionRecord, type Listing} from '@fescuewick/store';

/** Revisions of a copy, as told to peers. */
export type ReplicaRevisions = {
	/** The copy is complete up to this revision; -1 before it was read. */
	readonly valid: number;
	/** Revision by which its last known change had happened. */
	readonly changed: number;
};

/** A whole copy, as sent to a peer. */
export type ReplicaImage = ReplicaRevisions & {readonly records: readonly CollectionRecord[]};

/** What a change did to a copy. */
export type ReplicaChange = {readonly changed: readonly CollectionRecord[]; readonly removed: readonly CollectionRecord[]};

/** A VM's copy of a collection; it only moves to higher revisions. */
export class Replica {
	readonly events = new Emittery<{change: ReplicaChange}>();
	#records = new Map<string, CollectionRecord>();
	#valid = -1;
	#changed = -1;

	get revisions(): ReplicaRevisions {
		return {valid: this.#valid, changed: this.#changed};
	}

	get isLoaded(): boolean {
		return this.#valid >= 0;
	}

	get records(): ReadonlyMap<string, CollectionRecord> {
		return this.#records;
	}

	image(): ReplicaImage {
		return {...this.revisions, records: [...this.#records.values()]};
	}

	/** Whether a peer's copy has changes that this one lacks. */
	isBehind(peer: ReplicaRevisions): boolean {
		return peer.changed > this.#valid;
	}

	/** Applies a whole listing; an older one than the copy is ignored. */
	applyListing({records, revision}: Listing): boolean {
		if (revision < this.#valid) {
			return false;
		}

		const change = this.#difference(records);
		const isFirst = this.#valid < 0;
		this.#valid = revision;
		if (isFirst || change.changed.length > 0 || change.removed.length > 0) {
			this.#changed = revision;
			this.#records = new Map(records.map(record => [record.name, record]));
			this.#emit(change);
		}

		return true;
	}

	/** Applies changes that follow the copy's revision. */
	applyChanges({changes, revision}: ChangeBatch): void {
		const changed: CollectionRecord[] = [];
		const removed: CollectionRecord[] = [];
		for (const {record, isRemoved} of changes) {
			const known = this.#records.get(record.name);
			if (isRemoved) {
				if (known !== undefined && known.revision <= record.revision) {
					this.#records.delete(record.name);
					removed.push(known);
				}
			} else if (known === undefined || known.revision < record.revision) {
				this.#records.set(record.name, record);
				changed.push(record);
			}
		}

		this.#valid = Math.max(this.#valid, revision);
		if (changed.length > 0 || removed.length > 0) {
			this.#changed = this.#valid;
			this.#emit({changed, removed});
		}
	}

	/** Takes over a peer's copy if it has changes that this one lacks. */
	adopt(image: ReplicaImage): boolean {
		if (!this.isBehind(image)) {
			return false;
		}

		this.applyListing({records: image.records, revision: image.valid});
		this.#changed = image.changed;
		return true;
	}

	#difference(records: readonly CollectionRecord[]): ReplicaChange {
		const names = new Set(records.map(record => record.name));
		return {
			changed: records.filter(record => this.#records.get(record.name)?.revision !== record.revision),
			removed: [...this.#records.values()].filter(record => !names.has(record.name)),
		};
	}

	#emit(change: ReplicaChange): void {
		void this.events.emit('change', change);
	}
}
