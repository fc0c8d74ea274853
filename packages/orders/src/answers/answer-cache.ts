import {Buffer} from 'node:buffer';
import {type StoredAnswer} from '@fescuewick/wire';

/** Approximate size of an answer in memory: body, headers, and 64 bytes for the object. */
export function answerSizeBytes(answer: StoredAnswer): number {
	let bytes = answer.body.byteLength + 64;
	for (const [name, value] of Object.entries(answer.headers)) {
		bytes += Buffer.byteLength(name) + Buffer.byteLength(value);
	}

	return bytes;
}

/** Cache of the first answer of each order, by order id; limited in bytes, evicts the oldest answers first. */
export class AnswerCache {
	readonly #answers = new Map<string, {answer: StoredAnswer; sizeBytes: number}>();
	#sizeBytes = 0;

	/** Answers larger than `maxAnswerBytes` are not cached. */
	constructor(readonly maxBytes: number, readonly maxAnswerBytes: number) {}

	get sizeBytes(): number {
		return this.#sizeBytes;
	}

	get(id: string): StoredAnswer | undefined {
		return this.#answers.get(id)?.answer;
	}

	/** Adds an answer unless one is cached for the id or it is too large; returns whether it was added. */
	add(id: string, answer: StoredAnswer): boolean {
		const sizeBytes = answerSizeBytes(answer) + id.length;
		if (this.#answers.has(id) || sizeBytes > this.maxAnswerBytes || sizeBytes > this.maxBytes) {
			return false;
		}

		this.#answers.set(id, {answer, sizeBytes});
		this.#sizeBytes += sizeBytes;
		for (const [oldest, {sizeBytes: freedBytes}] of this.#answers) {
			if (this.#sizeBytes <= this.maxBytes) {
				break;
			}

			this.#answers.delete(oldest);
			this.#sizeBytes -= freedBytes;
		}

		return true;
	}

	/** Yields the cached answers, oldest first. */
	* entries(): Generator<[string, StoredAnswer]> {
		for (const [id, {answer}] of this.#answers) {
			yield [id, answer];
		}
	}
}
