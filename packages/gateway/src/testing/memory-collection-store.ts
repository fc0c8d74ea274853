import {FescuewickError, ResultCode} from '@fescuewick/core';
import {
	Collection, CollectionStore, Freshness, type ChangeBatch, type CollectionRecord, type Listing, type RecordChange, type StorePosition,
} from '@fescuewick/store';

type LoggedChange = RecordChange & {readonly collection: Collection; readonly revision: number};

/** What a store contained at one time. */
export type StoreCopy = {readonly revision: number; readonly records: ReadonlyMap<Collection, ReadonlyMap<string, CollectionRecord>>};

/** An in-memory store that can drop its history, refuse calls and be restored from a copy. */
export class MemoryCollectionStore extends CollectionStore {
	/** Whether all calls are refused. */
	isDown = false;
	/** Returned by `list` of this collection unless the latest listing is requested. */
	staleListing: {readonly collection: Collection; readonly listing: Listing} | undefined;
	readonly calls: string[] = [];
	/** Undefined until the store is restored or an era is set; then its answers carry none. */
	era: number | undefined;
	#revision = 1;
	#oldestRevision = 1;
	#restores = 0;
	readonly #records = new Map<Collection, Map<string, CollectionRecord>>(Object.values(Collection).map(collection => [collection, new Map<string, CollectionRecord>()]));
	#history: LoggedChange[] = [];
	readonly #waiting = new Set<() => void>();

	get revision(): number {
		return this.#revision;
	}

	async list(collection: Collection, freshness: Freshness): Promise<Listing> {
		this.#call('list', collection);
		if (freshness === Freshness.recent && this.staleListing?.collection === collection) {
			return this.staleListing.listing;
		}

		return {records: [...this.#records.get(collection)!.values()], ...this.#position};
	}

	async watch(collection: Collection, {revision: afterRevision}: StorePosition, waitMs: number, signal: AbortSignal): Promise<ChangeBatch> {
		this.#call('watch', collection);
		if (afterRevision < this.#oldestRevision || afterRevision > this.#revision) {
			throw new FescuewickError(ResultCode.storeHistoryGone, 'the store has dropped its history');
		}

		const read = () => this.#history.filter(change => change.collection === collection && change.revision > afterRevision);
		if (read().length === 0 && waitMs > 0) {
			const restores = this.#restores;
			await new Promise<void>((resolve, reject) => {
				const wake = () => {
					if (this.isDown || restores !== this.#restores) {
						this.#waiting.delete(wake);
						reject(new FescuewickError(ResultCode.storeTimeout, 'watch interrupted by an outage'));
					} else if (read().length > 0) {
						this.#waiting.delete(wake);
						resolve();
					}
				};

				this.#waiting.add(wake);
				signal.addEventListener('abort', () => {
					this.#waiting.delete(wake);
					reject(new FescuewickError(ResultCode.storeTimeout, 'watch aborted by its caller'));
				});
			});
		}

		return {changes: read(), ...this.#position};
	}

	async put(collection: Collection, name: string, value: unknown): Promise<void> {
		this.#call('put', collection);
		this.set(collection, name, value);
	}

	async remove(collection: Collection, name: string): Promise<void> {
		this.unset(collection, name);
	}

	/** Writes a record as the platform or an operator would, without recording a call. */
	set(collection: Collection, name: string, value: unknown): void {
		this.#revision++;
		const record = {name, revision: this.#revision, value};
		this.#records.get(collection)!.set(name, record);
		this.#log({
			collection, record, isRemoved: false, revision: this.#revision,
		});
	}

	/** Value of a record; undefined if it does not exist. */
	recordValue(collection: Collection, name: string): unknown {
		return this.#records.get(collection)!.get(name)?.value;
	}

	/** Removes a record as the platform or an operator would, without recording a call. */
	unset(collection: Collection, name: string): void {
		const record = this.#records.get(collection)!.get(name);
		if (record !== undefined) {
			this.#revision++;
			this.#records.get(collection)!.delete(name);
			this.#log({
				collection, record, isRemoved: true, revision: this.#revision,
			});
		}
	}

	/** Drops all changes so far, so that watches from earlier revisions fail. */
	dropHistory(): void {
		this.#oldestRevision = this.#revision;
		this.#history = [];
	}

	/** Copies the present content. */
	copy(): StoreCopy {
		return {revision: this.#revision, records: new Map([...this.#records].map(([collection, records]) => [collection, new Map(records)]))};
	}

	/** Goes back to a copy and begins a new era, which interrupts waiting watches; what was written since the copy is lost, and its revisions are assigned again. */
	restore({revision, records}: StoreCopy): void {
		this.era = (this.era ?? 0) + 1;
		this.#restores++;
		this.#revision = revision;
		this.#oldestRevision = Math.min(this.#oldestRevision, revision);
		this.#history = this.#history.filter(change => change.revision <= revision);
		for (const [collection, copied] of records) {
			this.#records.set(collection, new Map(copied));
		}

		this.#wake();
	}

	/** Starts or ends an outage, which also interrupts waiting watches. */
	setDown(isDown: boolean): void {
		this.isDown = isDown;
		this.#wake();
	}

	get #position(): StorePosition {
		return this.era === undefined ? {revision: this.#revision} : {revision: this.#revision, era: this.era};
	}

	#log(change: LoggedChange): void {
		this.#history.push(change);
		this.#wake();
	}

	#wake(): void {
		for (const wake of this.#waiting) {
			wake();
		}
	}

	#call(kind: string, collection: Collection): void {
		this.calls.push(`${kind} ${collection}`);
		if (this.isDown) {
			throw new FescuewickError(ResultCode.storeUnavailable, 'the store is down');
		}
	}
}
