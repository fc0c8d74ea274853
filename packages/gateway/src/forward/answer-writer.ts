import {type Buffer} from 'node:buffer';
import {type ServerResponse} from 'node:http';
import {answerHeaders, type AnswerHead} from '@fescuewick/entry/http';
import {endConnectionAfter} from '../server/client-connections.js';

/** Statuses whose answers have no body. */
const bodylessStatuses: ReadonlySet<number> = new Set([204, 304]);

/** Writes a backend server's answer to its caller. */
export class AnswerWriter {
	constructor(private readonly response: ServerResponse, private readonly method: string, private readonly isDraining: () => boolean) {}

	/** Writes a complete answer. */
	writeComplete(head: AnswerHead, body: Buffer): void {
		const headers = this.#headers(head);
		if (this.method !== 'HEAD' && !bodylessStatuses.has(head.status)) {
			headers['content-length'] = String(body.length);
		}

		this.response.writeHead(head.status, headers);
		this.response.end(body);
	}

	/** Writes the head of a streamed answer. */
	writeHead(head: AnswerHead): void {
		this.response.writeHead(head.status, this.#headers(head));
	}

	/** Writes a chunk; returns false if the write buffer is full, and calls `resume` when it has drained. */
	write(chunk: Buffer, resume: () => void): boolean {
		if (this.response.write(chunk)) {
			return true;
		}

		this.response.once('drain', resume);
		return false;
	}

	/** Ends a streamed answer. */
	end(): void {
		this.response.end();
	}

	#headers({headers}: AnswerHead): Record<string, string | string[]> {
		const kept = answerHeaders(headers);
		if (headers['transfer-encoding'] !== undefined) {
			delete kept['content-length'];
		}

		if (this.isDraining() && endConnectionAfter(this.response)) {
			kept.connection = 'close';
		}

		return kept;
	}
}
