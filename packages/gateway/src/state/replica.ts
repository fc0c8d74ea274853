import {performance} from 'node:perf_hooks';
import {isDeepStrictEqual} from 'node:util';
import Emittery from 'emittery';
import {
	comparePositions, type CollectionRecord, type Listing, type RecordChange, type StorePosition,
} from '@fescuewick/store';
import {ChangeHistory} from './change-history.js';
import {StoreEra} from './store-era.js';

/** Revisions of a replica, as sent to peers. */
export type ReplicaRevisions = {
	/** The replica is complete up to this revision; -1 before it was loaded. */
	readonly valid: number;
	/** The last change happened at or before this revision. */
	readonly changed: number;
	/** Era of both revisions; 0 if it is missing. */
	readonly era?: number;
};

const notLoaded: ReplicaRevisions = {valid: -1, changed: -1};

/** What an answer of the store to a VM showed about a collection, as sent to peers. */
export type StoreReading = {
	/** The last change that the answer could show happened at or before this revision. */
	readonly changedBy: number;
	/** Time since the collection was in the state that the answer showed, in milliseconds. */
	readonly ageMs: number;
};

/** All records of a replica, as sent to a peer. */
export type ReplicaSnapshot = ReplicaRevisions & {readonly records: readonly CollectionRecord[]};

/** A change; `ageMs` of a removal is the time since the first VM that relayed it learned of it, in milliseconds. */
export type AgedChange = RecordChange & {readonly ageMs?: number};

/** The changes that a peer's replica lacks. */
export type ReplicaDelta = ReplicaRevisions & {readonly changes: readonly AgedChange[]};

/** A removed record. */
export type RemovedRecord = CollectionRecord & {
	/** Time since the first VM learned of its removal, in milliseconds. */
	readonly ageMs: number;
	/** Longest time since its removal, in milliseconds; infinite if the replica has never been confirmed. */
	readonly maxAgeMs: number;
};

/** Records that an update of a replica changed and removed. */
export type ReplicaChange = {
	readonly changed: readonly CollectionRecord[];
	readonly removed: readonly RemovedRecord[];
	/** Era of the records; 0 if it is missing. */
	readonly era?: number;
	/** The update replaced the replica after the store was restored from a copy, so it may show earlier states of records, and removed ones. */
	readonly isRestore?: boolean;
};

/** A VM's copy of a collection; its position in the history of the store never goes back. */
export class Replica {
	readonly events = new Emittery<{change: ReplicaChange}>();
	#records = new Map<string, CollectionRecord>();
	#era = 0;
	#valid = -1;
	#changed = -1;
	/** Whether `#changed` includes removals; a first listing shows only the revisions of the remaining records. */
	#knowsLastChange = false;
	readonly #history = new ChangeHistory();
	/** Revision of the first listing of the era; earlier removals are not known. */
	#listedRevision = -1;
	/** Last time at which an answer of the store to this VM showed that the replica was complete. */
	#readAtMs = Number.NEGATIVE_INFINITY;
	/** The same for answers of the store to any VM. */
	#confirmedAtMs = Number.NEGATIVE_INFINITY;

	/** `nowMs` is a monotonic clock in milliseconds; `storeEra` is shared by the replicas of a VM. */
	constructor(private readonly nowMs: () => number = () => performance.now(), private readonly storeEra = new StoreEra()) {}

	get revisions(): ReplicaRevisions {
		return this.#ofEra({valid: this.#valid, changed: this.#changed});
	}

	/** Position up to which the replica is complete. */
	get position(): Required<StorePosition> {
		return {revision: this.#valid, era: this.#era};
	}

	/** Whether the replica is of the highest era known; if not, it is used until it is replaced, and nothing confirms it. */
	get isCurrent(): boolean {
		return !this.storeEra.isOver(this.position);
	}

	/** Revisions for heartbeats, in the highest era known; a replica of a lower era is reported as not loaded. One that does not know of its last removal is reported complete only up to its latest record. */
	get advertisedRevisions(): ReplicaRevisions {
		if (!this.isCurrent) {
			return notLoaded;
		}

		return this.#knowsLastChange ? this.revisions : this.#ofEra({valid: this.#changed, changed: this.#changed});
	}

	/** Last time at which the replica is known to have been complete, in milliseconds of the clock; minus infinity before the first. */
	get confirmedAtMs(): number {
		return this.#confirmedAtMs;
	}

	/** What the store last showed to this VM, for heartbeats; undefined before its first answer. */
	get reading(): StoreReading | undefined {
		if (!this.isCurrent || this.#readAtMs === Number.NEGATIVE_INFINITY) {
			return undefined;
		}

		return {changedBy: this.#changedBy, ageMs: this.nowMs() - this.#readAtMs};
	}

	get isLoaded(): boolean {
		return this.#valid >= 0;
	}

	get records(): ReadonlyMap<string, CollectionRecord> {
		return this.#records;
	}

	/** Content of removed records that is retained for peers, in bytes. */
	get removedBytes(): number {
		return this.#history.removedBytes;
	}

	/** Returns what a replica that is complete up to `revision` of `era` lacks: the last changes of its records if all of them are retained, otherwise all records. */
	changesSince(revision: number, era = 0): ReplicaSnapshot | ReplicaDelta {
		if (era !== this.#era || revision < this.#history.since) {
			return {...this.revisions, records: [...this.#records.values()]};
		}

		const nowMs = this.nowMs();
		return {...this.revisions, changes: this.#history.after(revision).map(({record, isRemoved, atMs}) => isRemoved ? {record, isRemoved, ageMs: nowMs - atMs} : {record, isRemoved})};
	}

	/** Whether a peer's replica has changes that this one lacks; one of a lower era than the highest one known has none. */
	isBehind({valid, changed, era = 0}: ReplicaRevisions): boolean {
		const peerPosition = {revision: changed, era};
		return valid >= 0 && !this.storeEra.isOver(peerPosition) && comparePositions(peerPosition, this.position) > 0;
	}

	/** Applies a listing of all records; returns false and ignores it if it is older than the replica or of an era that is over. */
	applyListing({records, revision, era = 0}: Listing): boolean {
		const position = {revision, era};
		if (this.storeEra.isOver(position) || comparePositions(position, this.position) < 0) {
			return false;
		}

		if (this.isLoaded && era === this.#era) {
			this.#update(records, revision);
		} else {
			this.#replace(records, position);
		}

		return true;
	}

	/** Applies changes that follow the replica's revision; has no effect if they are of another era. */
	applyChanges({changes, revision, era = 0}: StorePosition & {readonly changes: readonly AgedChange[]}): void {
		if (era !== this.#era) {
			return;
		}

		const changed: CollectionRecord[] = [];
		const removed: RemovedRecord[] = [];
		const maxAgeMs = this.nowMs() - this.#confirmedAtMs;
		for (const {record, isRemoved, ageMs = 0} of changes) {
			const known = this.#records.get(record.name);
			if (isRemoved) {
				if (known !== undefined && known.revision <= record.revision) {
					this.#records.delete(record.name);
					removed.push({
						...known, value: record.value ?? known.value, ageMs, maxAgeMs,
					});
				}
			} else if (known === undefined || known.revision < record.revision) {
				this.#records.set(record.name, record);
				changed.push(record);
			}
		}

		this.#valid = Math.max(this.#valid, revision);
		if (changed.length > 0 || removed.length > 0) {
			this.#changed = this.#valid;
			this.#knowsLastChange = true;
			// Peers apply the removals of a batch before its changes, so a record is in only one of the two lists, by its state after the batch.
			const change = {
				changed: changed.filter(record => this.#records.get(record.name) === record),
				removed: removed.filter(({name}) => !this.#records.has(name)),
			};
			this.#retain(change);
			this.#emit(change);
		}
	}

	/** Applies what a peer's replica has and this one lacks; returns false if this one lacks nothing. */
	adopt(peer: ReplicaSnapshot | ReplicaDelta): boolean {
		if (!this.isBehind(peer)) {
			return false;
		}

		const {valid: revision, changed, era} = peer;
		if ('records' in peer) {
			return this.applyListing({records: peer.records, revision, era});
		}

		if ((era ?? 0) !== this.#era) {
			return false;
		}

		this.applyChanges({changes: peer.changes, revision, era});
		this.#changed = changed;
		return true;
	}

	/** Raises the valid revision to that of a peer whose replica has no change that this one lacks; returns whether it has increased. */
	confirm(peer: ReplicaRevisions): boolean {
		if (!this.isLoaded || !this.#isOfCurrentEra(peer.era) || this.isBehind(peer) || peer.valid < this.#valid) {
			return false;
		}

		const isRaised = peer.valid > this.#valid;
		this.#valid = peer.valid;
		this.#changed = peer.changed;
		this.#knowsLastChange = true;
		return isRaised;
	}

	/** Records that an answer of the store in `era` showed the replica complete as of `atMs`; has no effect if the replica is of another era, or of one that is over. */
	confirmRead(atMs: number, era = this.#era): void {
		if (!this.#isOfCurrentEra(era)) {
			return;
		}

		this.#readAtMs = Math.max(this.#readAtMs, atMs);
		this.#confirmedAtMs = Math.max(this.#confirmedAtMs, atMs);
	}

	/** Records what the store showed to a peer in `era`; has no effect if this replica may lack a change that the peer's has. */
	confirmPeerReading({changedBy, ageMs}: StoreReading, era = this.#era): void {
		if (this.isLoaded && this.#isOfCurrentEra(era) && this.#valid >= changedBy) {
			this.#confirmedAtMs = Math.max(this.#confirmedAtMs, this.nowMs() - ageMs);
		}
	}

	/** Revision at or before which the last change of any kind happened. */
	get #changedBy(): number {
		return this.#knowsLastChange ? this.#changed : this.#listedRevision;
	}

	/** Adds the era unless it is 0, which a missing one stands for. */
	#ofEra(revisions: ReplicaRevisions): ReplicaRevisions {
		return this.#era === 0 ? revisions : {...revisions, era: this.#era};
	}

	#isOfCurrentEra(era = 0): boolean {
		return era === this.#era && this.isCurrent;
	}

	/** Takes over a later listing of the same era. */
	#update(records: readonly CollectionRecord[], revision: number): void {
		const change = this.#difference(records, (known, record) => known.revision === record.revision);
		this.#valid = revision;
		if (change.changed.length > 0 || change.removed.length > 0) {
			this.#changed = revision;
			this.#knowsLastChange = true;
			this.#records = new Map(records.map(record => [record.name, record]));
			this.#retain(change);
			this.#emit(change);
		}
	}

	/** Takes over the first listing, or the first one of a new era, whose revisions say nothing about those before. The replica stays confirmed as of an earlier time, because the store answered in the earlier era only before it was restored. */
	#replace(records: readonly CollectionRecord[], {revision, era}: Required<StorePosition>): void {
		const isRestore = this.isLoaded;
		const change = this.#difference(records, (known, record) => known.revision === record.revision && isDeepStrictEqual(known.value, record.value));
		this.#era = era;
		this.#valid = revision;
		this.#changed = Math.max(0, ...records.map(record => record.revision));
		this.#knowsLastChange = false;
		this.#listedRevision = revision;
		this.#history.restart(revision);
		this.#readAtMs = Number.NEGATIVE_INFINITY;
		this.#records = new Map(records.map(record => [record.name, record]));
		this.#emit(isRestore ? {...change, isRestore} : change);
	}

	/** Compares a listing with the replica; `isSame` says whether a record that both contain is unchanged. */
	#difference(records: readonly CollectionRecord[], isSame: (known: CollectionRecord, record: CollectionRecord) => boolean): ReplicaChange {
		const names = new Set(records.map(record => record.name));
		const maxAgeMs = this.nowMs() - this.#confirmedAtMs;
		return {
			changed: records.filter(record => {
				const known = this.#records.get(record.name);
				return known === undefined || !isSame(known, record);
			}),
			removed: [...this.#records.values()].filter(record => !names.has(record.name)).map(record => ({...record, ageMs: 0, maxAgeMs})),
		};
	}

	#retain({changed, removed}: ReplicaChange): void {
		const nowMs = this.nowMs();
		for (const {ageMs, maxAgeMs, ...record} of removed) {
			// A removal carries the revision of the replica at that time, so that a record that was added again later is not removed.
			this.#history.add({record: {...record, revision: this.#valid}, isRemoved: true, atMs: nowMs - ageMs}, this.#valid);
		}

		for (const record of changed) {
			this.#history.add({record, isRemoved: false, atMs: nowMs}, this.#valid);
		}
	}

	#emit(change: ReplicaChange): void {
		void this.events.emit('change', this.#era === 0 ? change : {...change, era: this.#era});
	}
}
