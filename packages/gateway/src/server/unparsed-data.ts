import {type Buffer} from 'node:buffer';
import {type ClientTotals} from './client-limits.js';

/** Data of a client that was received and not handed to the HTTP parser yet; counts in the totals of all connections. */
export class UnparsedData {
	readonly #chunks: Buffer[] = [];
	#sizeBytes = 0;

	constructor(private readonly totals: ClientTotals) {}

	get sizeBytes(): number {
		return this.#sizeBytes;
	}

	get isEmpty(): boolean {
		return this.#chunks.length === 0;
	}

	append(data: Buffer): void {
		this.#chunks.push(data);
		this.#addSize(data.length);
	}

	/** Removes and returns up to `maxBytes` from the beginning; must not be called while empty. */
	take(maxBytes: number): Buffer {
		const first = this.#chunks[0];
		const sizeBytes = Math.min(first.length, maxBytes);
		this.#addSize(-sizeBytes);
		if (sizeBytes === first.length) {
			this.#chunks.shift();
			return first;
		}

		this.#chunks[0] = first.subarray(sizeBytes);
		return first.subarray(0, sizeBytes);
	}

	drop(): void {
		this.#chunks.length = 0;
		this.#addSize(-this.#sizeBytes);
	}

	#addSize(sizeBytes: number): void {
		this.#sizeBytes += sizeBytes;
		this.totals.unparsedBytes += sizeBytes;
	}
}
