import {Buffer} from 'node:buffer';

/** Smallest memory that a buffer with more than one chunk reserves, in bytes. */
const minCapacityBytes = 1024;

/** Collects chunks in one piece of memory; kept one by one, chunks of a few bytes would each take many times their size. */
export class ByteBuffer {
	#memory = Buffer.alloc(0);
	#sizeBytes = 0;

	get sizeBytes(): number {
		return this.#sizeBytes;
	}

	/** Copies a chunk to the end. */
	append(chunk: Uint8Array): void {
		const neededBytes = this.#sizeBytes + chunk.length;
		if (neededBytes > this.#memory.length) {
			// A single chunk, as most answers are, takes just its size.
			const capacityBytes = this.#sizeBytes === 0 ? neededBytes : Math.max(minCapacityBytes, neededBytes * 2);
			const memory = Buffer.allocUnsafeSlow(capacityBytes);
			memory.set(this.#memory.subarray(0, this.#sizeBytes));
			this.#memory = memory;
		}

		this.#memory.set(chunk, this.#sizeBytes);
		this.#sizeBytes = neededBytes;
	}

	/** Returns the collected bytes and empties the buffer. */
	take(): Buffer {
		const content = this.#memory.subarray(0, this.#sizeBytes);
		this.#memory = Buffer.alloc(0);
		this.#sizeBytes = 0;
		return content;
	}
}
