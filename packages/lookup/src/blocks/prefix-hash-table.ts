/* eslint-disable no-bitwise -- the hash mixes bits */
const maxLoadFactor = 0.7;
const growthFactor = 1.5;
const minCapacity = 8;

/** Open-addressing hash table that maps prefixes of one length to region numbers, stored in typed arrays; a value of 0 marks an empty slot. */
export class PrefixHashTable {
	#high: Uint32Array;
	#low: Uint32Array | undefined;
	#values: Uint16Array;
	#size = 0;

	constructor(readonly hasLowBits: boolean, expectedEntries: number) {
		const capacity = Math.max(minCapacity, Math.ceil(expectedEntries / maxLoadFactor) + 1);
		this.#high = new Uint32Array(capacity);
		this.#low = hasLowBits ? new Uint32Array(capacity) : undefined;
		this.#values = new Uint16Array(capacity);
	}

	get size(): number {
		return this.#size;
	}

	get sizeBytes(): number {
		return this.#high.byteLength + (this.#low?.byteLength ?? 0) + this.#values.byteLength;
	}

	/** The value of a prefix; 0 if there is none. */
	get(high: number, low: number): number {
		return this.#values[this.#find(high, low)];
	}

	/** Inserts or replaces; `value` must not be 0. */
	set(high: number, low: number, value: number): void {
		let slot = this.#find(high, low);
		if (this.#values[slot] === 0) {
			if ((this.#size + 1) > this.#values.length * maxLoadFactor) {
				this.#grow();
				slot = this.#find(high, low);
			}

			this.#size++;
		}

		this.#write(slot, high, low, value);
	}

	/** Removes a prefix and returns whether it existed; shifts later entries back so that probe sequences have no gaps. */
	delete(high: number, low: number): boolean {
		let gap = this.#find(high, low);
		if (this.#values[gap] === 0) {
			return false;
		}

		const capacity = this.#values.length;
		for (let slot = (gap + 1) % capacity; this.#values[slot] !== 0; slot = (slot + 1) % capacity) {
			const home = this.#homeSlot(this.#high[slot], this.#low?.[slot] ?? 0);
			const distanceFromHome = (slot - home + capacity) % capacity;
			const distanceFromGap = (slot - gap + capacity) % capacity;
			if (distanceFromHome >= distanceFromGap) {
				this.#write(gap, this.#high[slot], this.#low?.[slot] ?? 0, this.#values[slot]);
				gap = slot;
			}
		}

		this.#values[gap] = 0;
		this.#size--;
		return true;
	}

	/** All entries; the table must not be changed during iteration. */
	* entries(): Generator<{high: number; low: number; value: number}> {
		for (const [slot, value] of this.#values.entries()) {
			if (value !== 0) {
				yield {high: this.#high[slot], low: this.#low?.[slot] ?? 0, value};
			}
		}
	}

	#find(high: number, low: number): number {
		const capacity = this.#values.length;
		let slot = this.#homeSlot(high, low);
		while (this.#values[slot] !== 0 && (this.#high[slot] !== high || (this.#low !== undefined && this.#low[slot] !== low))) {
			slot++;
			if (slot === capacity) {
				slot = 0;
			}
		}

		return slot;
	}

	#homeSlot(high: number, low: number): number {
		const hash = prefixHash(high, low);
		// Scales the hash to the capacity, so that the capacity need not be a power of two.
		return Math.floor((hash / 0x1_00_00_00_00) * this.#values.length);
	}

	#write(slot: number, high: number, low: number, value: number): void {
		this.#high[slot] = high;
		if (this.#low !== undefined) {
			this.#low[slot] = low;
		}

		this.#values[slot] = value;
	}

	#grow(): void {
		const larger = new PrefixHashTable(this.hasLowBits, Math.ceil(this.#values.length * maxLoadFactor * growthFactor));
		for (const {high, low, value} of this.entries()) {
			larger.set(high, low, value);
		}

		this.#high = larger.#high;
		this.#low = larger.#low;
		this.#values = larger.#values;
	}
}

/** Hashes a prefix to 32 bits with the finalizer of MurmurHash3. The result must stay stable, as it also assigns prefixes to chunks. */
export function prefixHash(high: number, low: number): number {
	let hash = Math.imul(low, 0x9E_37_79_B1) ^ high;
	hash = Math.imul(hash ^ (hash >>> 16), 0x85_EB_CA_6B);
	hash = Math.imul(hash ^ (hash >>> 13), 0xC2_B2_AE_35);
	return (hash ^ (hash >>> 16)) >>> 0;
}
