import {FescuewickError, ResultCode} from '@fescuewick/core';
import {
	CollectionStore, type ChangeBatch, type Collection, type Freshness, type Listing, type StorePosition,
} from '@fescuewick/store';
import {type StoreEra} from './store-era.js';

/**
A store whose answers from before a restore are refused.

An answer of an earlier era fails like a call that the store does not serve, so that it neither changes nor confirms anything. A watch that is answered in a later era than that of its position fails like one whose history the store has dropped, because the store has assigned the revisions after that position again; its caller lists the collection.
*/
export class EraCheckedStore extends CollectionStore {
	constructor(private readonly store: CollectionStore, readonly era: StoreEra) {
		super();
	}

	async list(collection: Collection, freshness: Freshness): Promise<Listing> {
		return this.#check(await this.store.list(collection, freshness));
	}

	async watch(collection: Collection, after: StorePosition, waitMs: number, signal: AbortSignal): Promise<ChangeBatch> {
		const batch = this.#check(await this.store.watch(collection, after, waitMs, signal));
		if ((batch.era ?? 0) > (after.era ?? 0)) {
			throw new FescuewickError(ResultCode.storeHistoryGone, `the store was restored: it is in era ${batch.era}, the watch began in era ${after.era ?? 0}`);
		}

		return batch;
	}

	async put(collection: Collection, name: string, value: unknown): Promise<void> {
		return this.store.put(collection, name, value);
	}

	async remove(collection: Collection, name: string, revision: number): Promise<void> {
		return this.store.remove(collection, name, revision);
	}

	#check<Answer extends StorePosition>(answer: Answer): Answer {
		if (this.era.isOver(answer)) {
			throw new FescuewickError(ResultCode.storeUnavailable, `the store answered as of era ${answer.era ?? 0}, but era ${this.era.value} has begun`);
		}

		this.era.observeAnswer(answer);
		return answer;
	}
}
