import {FescuewickError, ResultCode, type TimerService} from '@fescuewick/core';
import {
	CollectionStore, maxAnswerMs, type ChangeBatch, type Collection, type Freshness, type Listing, type StorePosition,
} from '@fescuewick/store';

/** How a store treats the calls of a VM. */
export enum StoreTreatment {
	served = 'served',
	/** No call gets an answer, watches that wait included. */
	silent = 'silent',
	/** Calls fail at once; watches that wait get no answer. */
	refused = 'refused',
}

/** One VM's access to a store that may serve other VMs meanwhile. */
export class RestrictedStore extends CollectionStore {
	treatment = StoreTreatment.served;

	constructor(private readonly store: CollectionStore, private readonly timers: TimerService) {
		super();
	}

	async list(collection: Collection, freshness: Freshness): Promise<Listing> {
		return this.#call(async () => this.store.list(collection, freshness));
	}

	async watch(collection: Collection, after: StorePosition, waitMs: number, signal: AbortSignal): Promise<ChangeBatch> {
		const end = new AbortController();
		const cancel = this.timers.after(waitMs, () => {
			end.abort();
		});
		try {
			return await this.#call(async () => this.#watch({collection, after, waitMs}, AbortSignal.any([signal, end.signal]), end.signal), waitMs, signal);
		} finally {
			cancel();
		}
	}

	async put(collection: Collection, name: string, value: unknown): Promise<void> {
		return this.#call(async () => this.store.put(collection, name, value));
	}

	async remove(collection: Collection, name: string, revision: number): Promise<void> {
		return this.#call(async () => this.store.remove(collection, name, revision));
	}

	async #watch({collection, after, waitMs}: {readonly collection: Collection; readonly after: StorePosition; readonly waitMs: number}, signal: AbortSignal, end: AbortSignal): Promise<ChangeBatch> {
		try {
			return await this.store.watch(collection, after, waitMs, signal);
		} catch (error) {
			if (end.aborted) {
				return {changes: [], ...after};
			}

			throw error;
		}
	}

	/** Passes an answer on only if the store still serves this VM when it comes. */
	async #call<Answer>(call: () => Promise<Answer>, waitMs = 0, signal?: AbortSignal): Promise<Answer> {
		if (this.treatment === StoreTreatment.refused) {
			throw new FescuewickError(ResultCode.storeUnavailable, 'the store refuses this VM');
		}

		return new Promise((resolve, reject) => {
			const cancel = this.timers.after(waitMs + maxAnswerMs, () => {
				reject(new FescuewickError(ResultCode.storeTimeout, 'no answer'));
			});
			signal?.addEventListener('abort', () => {
				cancel();
				reject(new FescuewickError(ResultCode.storeTimeout, 'aborted by its caller'));
			});
			void this.#relay(call, cancel, resolve, reject);
		});
	}

	async #relay<Answer>(call: () => Promise<Answer>, cancel: () => void, resolve: (answer: Answer) => void, reject: (error: unknown) => void): Promise<void> {
		let deliver: () => void;
		try {
			if (this.treatment !== StoreTreatment.served) {
				return;
			}

			const answer = await call();
			deliver = () => {
				resolve(answer);
			};
		} catch (error) {
			deliver = () => {
				reject(error);
			};
		}

		if (this.treatment === StoreTreatment.served) {
			cancel();
			deliver();
		}
	}
}
