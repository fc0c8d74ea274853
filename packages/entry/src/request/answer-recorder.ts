import {Buffer} from 'node:buffer';
import {type StoredAnswer} from '@fescuewick/wire';
import {type AnswerHead} from '../forward/attempt.js';
import {answerHeaders} from './headers.js';

/** Headers that apply to one answer only or cannot be stored. */
const unstoredHeaders = new Set(['content-length', 'date', 'set-cookie']);

/** Records the answer of an order for replay, up to a size limit. */
export class AnswerRecorder {
	#head: AnswerHead | undefined;
	#chunks: Uint8Array[] = [];
	#sizeBytes = 0;
	#tooLong = false;

	constructor(private readonly maxBytes: number) {}

	head(head: AnswerHead): void {
		this.#head = head;
	}

	write(chunk: Uint8Array): void {
		this.#sizeBytes += chunk.length;
		if (this.#sizeBytes > this.maxBytes) {
			this.#tooLong = true;
			this.#chunks = [];
		} else if (!this.#tooLong) {
			this.#chunks.push(chunk);
		}
	}

	/** The recorded answer, valid after its end; undefined if it exceeds the size limit. */
	answer(): StoredAnswer | undefined {
		if (this.#head === undefined || this.#tooLong) {
			return undefined;
		}

		const headers: Record<string, string> = {};
		for (const [name, value] of Object.entries(answerHeaders(this.#head.headers))) {
			if (!unstoredHeaders.has(name)) {
				headers[name] = typeof value === 'string' ? value : value.join(', ');
			}
		}

		return {status: this.#head.status, headers, body: Buffer.concat(this.#chunks)};
	}
}
