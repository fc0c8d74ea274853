import {type ClaimantDigest, type OrderId} from '../order-key/order-id.js';

/** State of a claimed order. */
export enum EntryState {
	open = 1,
	done = 2,
	/** Released by its claimant before the order was sent; another claimant may run the order. */
	released = 3,
	/** Ended without a complete answer; the order may have run. */
	unknown = 4,
}

/** An entry of a `ClaimTable`. */
export type ClaimEntry = {
	readonly claimant: ClaimantDigest;
	/** Seconds since the epoch. */
	readonly claimedAtS: number;
	readonly state: EntryState;
	/** Hash of the request's content; 0 if content is not compared. */
	readonly contentHash: number;
};

const initialSlots = 64;
const maxLoadFactor = 0.8;
const slotBytes = 33;

/** Open-addressing hash table in typed arrays: 33 bytes per slot, where a Map of objects takes about 200 bytes per order. */
export class ClaimTable {
	#slots = initialSlots;
	#count = 0;
	#ids = new Uint32Array(initialSlots * 4);
	#claimants = new Uint32Array(initialSlots * 2);
	#times = new Uint32Array(initialSlots);
	#states = new Uint8Array(initialSlots);
	#contentHashes = new Uint32Array(initialSlots);

	/** Number of entries. */
	get count(): number {
		return this.#count;
	}

	/** Size of the typed arrays. */
	get sizeBytes(): number {
		return this.#slots * slotBytes;
	}

	get(words: OrderId['words']): ClaimEntry | undefined {
		const slot = this.#slotOf(words);
		return this.#states[slot] === 0 ? undefined : this.#entry(slot);
	}

	/** Adds or replaces an entry. */
	set(words: OrderId['words'], entry: ClaimEntry): void {
		let slot = this.#slotOf(words);
		if (this.#states[slot] === 0) {
			if (this.#count + 1 > this.#slots * maxLoadFactor) {
				this.#grow();
				slot = this.#slotOf(words);
			}

			this.#count++;
			this.#ids.set(words, slot * 4);
		}

		this.#claimants.set(entry.claimant, slot * 2);
		this.#times[slot] = entry.claimedAtS;
		this.#states[slot] = entry.state;
		this.#contentHashes[slot] = entry.contentHash;
	}

	/** Changes the state of an entry; returns false if there is none. */
	setState(words: OrderId['words'], state: EntryState): boolean {
		const slot = this.#slotOf(words);
		if (this.#states[slot] === 0) {
			return false;
		}

		this.#states[slot] = state;
		return true;
	}

	/** Yields all entries with their ids. */
	* entries(): Generator<{words: OrderId['words']; entry: ClaimEntry}> {
		for (let slot = 0; slot < this.#slots; slot++) {
			if (this.#states[slot] !== 0) {
				yield {words: this.#words(slot), entry: this.#entry(slot)};
			}
		}
	}

	#entry(slot: number): ClaimEntry {
		return {
			claimant: [this.#claimants[slot * 2], this.#claimants[(slot * 2) + 1]],
			claimedAtS: this.#times[slot],
			state: this.#states[slot],
			contentHash: this.#contentHashes[slot],
		};
	}

	#words(slot: number): OrderId['words'] {
		const offset = slot * 4;
		return [this.#ids[offset], this.#ids[offset + 1], this.#ids[offset + 2], this.#ids[offset + 3]];
	}

	/** Finds the slot that holds the id, or the free slot where it would be inserted. */
	#slotOf(words: OrderId['words']): number {
		let slot = words[0] % this.#slots;
		for (;;) {
			if (this.#states[slot] === 0) {
				return slot;
			}

			const offset = slot * 4;
			if (this.#ids[offset] === words[0] && this.#ids[offset + 1] === words[1] && this.#ids[offset + 2] === words[2] && this.#ids[offset + 3] === words[3]) {
				return slot;
			}

			slot = (slot + 1) % this.#slots;
		}
	}

	#grow(): void {
		const ids = this.#ids;
		const claimants = this.#claimants;
		const times = this.#times;
		const states = this.#states;
		const contentHashes = this.#contentHashes;
		this.#slots *= 2;
		this.#ids = new Uint32Array(this.#slots * 4);
		this.#claimants = new Uint32Array(this.#slots * 2);
		this.#times = new Uint32Array(this.#slots);
		this.#states = new Uint8Array(this.#slots);
		this.#contentHashes = new Uint32Array(this.#slots);
		for (const [oldSlot, state] of states.entries()) {
			if (state === 0) {
				continue;
			}

			const offset = oldSlot * 4;
			const newSlot = this.#slotOf([ids[offset], ids[offset + 1], ids[offset + 2], ids[offset + 3]]);
			this.#ids.set(ids.subarray(offset, offset + 4), newSlot * 4);
			this.#claimants.set(claimants.subarray(oldSlot * 2, (oldSlot * 2) + 2), newSlot * 2);
			this.#times[newSlot] = times[oldSlot];
			this.#states[newSlot] = state;
			this.#contentHashes[newSlot] = contentHashes[oldSlot];
		}
	}
}
