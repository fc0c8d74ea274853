import {type Sending} from './sending.js';

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
