import {type Buffer} from 'node:buffer';
import {type Attempt} from '@fescuewick/entry/http';
import {type Backend} from '../placement/backend.js';

/** One sending of a request and what came back so far. */
export type Sending = {
	readonly attempt: Attempt;
	readonly backend: Backend;
	readonly sentAtMs: number;
	chunks: Buffer[];
	sizeBytes: number;
	/** The answer is passed on as it comes. */
	isStreaming: boolean;
};

/** The sendings of a request that have not ended. */
export class Sendings {
	readonly #open = new Set<Sending>();

	/** `onEnded` is called after each sending that ended, when its server may have a free slot. */
	constructor(private readonly onEnded: () => void) {}

	get count(): number {
		return this.#open.size;
	}

	/** Whether any of them may have reached its server. */
	get mayHaveRun(): boolean {
		return [...this.#open].some(({attempt}) => attempt.written);
	}

	has(sending: Sending): boolean {
		return this.#open.has(sending);
	}

	add(sending: Sending): void {
		this.#open.add(sending);
		sending.backend.inFlight++;
	}

	/** A sending ended. */
	finish(sending: Sending): void {
		if (this.#open.delete(sending)) {
			sending.backend.inFlight--;
			this.onEnded();
		}
	}

	/** Stops all but one; their connections are closed, so that the servers stop work. */
	cancelOthers(kept: Sending | undefined): void {
		for (const sending of this.#open) {
			if (sending !== kept) {
				sending.attempt.cancel();
				sending.backend.connections.discard(sending.attempt.connection);
				this.finish(sending);
			}
		}
	}
}
