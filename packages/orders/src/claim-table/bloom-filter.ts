import {Buffer} from 'node:buffer';
import {type OrderId} from '../order-key/order-id.js';

/** Maximum number of ids per filter; at 28.8 bits per id a filter takes about 480 KB of base64, under the store's limit of 1 MB per object. */
export const filterCapacity = 100_000;
/** False-positive rate of a full filter. A new order with a false positive is refused: as expired by the journal, as unknown by a ticket authority. */
export const filterFalsePositiveRate = 1e-6;

const bitCount = Math.ceil(-filterCapacity * Math.log(filterFalsePositiveRate) / (Math.LN2 ** 2));
const hashCount = Math.round(bitCount / filterCapacity * Math.LN2);

/** Bloom filter of order ids that no longer need exact entries: 2,875,518 bits and 20 hashes for 100,000 ids, 3.6 bytes per id. It has no false negatives. */
export class BloomFilter {
	readonly #bytes: Buffer;
	#count: number;

	constructor(bytes: Buffer = Buffer.alloc(Math.ceil(bitCount / 8)), count = 0) {
		if (bytes.length !== Math.ceil(bitCount / 8)) {
			throw new RangeError(`Bloom filter has ${bytes.length} bytes, expected ${Math.ceil(bitCount / 8)}`);
		}

		this.#bytes = bytes;
		this.#count = count;
	}

	/** Number of ids added. */
	get count(): number {
		return this.#count;
	}

	get sizeBytes(): number {
		return this.#bytes.length;
	}

	add(words: OrderId['words']): void {
		this.#count++;
		for (const bit of bitPositions(words)) {
			// The bit is known to be clear, so addition sets it without a bitwise operator.
			if (!this.#isSet(bit)) {
				this.#bytes[Math.floor(bit / 8)] += 2 ** (bit % 8);
			}
		}
	}

	has(words: OrderId['words']): boolean {
		for (const bit of bitPositions(words)) {
			if (!this.#isSet(bit)) {
				return false;
			}
		}

		return true;
	}

	copy(): BloomFilter {
		return new BloomFilter(Buffer.from(this.#bytes), this.#count);
	}

	content(): Buffer {
		return this.#bytes;
	}

	#isSet(bit: number): boolean {
		return Math.floor(this.#bytes[Math.floor(bit / 8)] / (2 ** (bit % 8))) % 2 === 1;
	}
}

// Enhanced double hashing: ids are SHA-256 output, so two of their words serve as the two independent hashes.
function * bitPositions(words: OrderId['words']): Generator<number> {
	let position = words[0] % bitCount;
	let step = words[1] % bitCount;
	for (let index = 0; index < hashCount; index++) {
		yield position;
		position = (position + step) % bitCount;
		step = (step + index + 1) % bitCount;
	}
}
