import {type BackendAttempt} from './backend-attempt.js';

/** The attempts of a request that have not ended. */
export class OpenAttempts {
	readonly #open = new Set<BackendAttempt>();

	/** `onEnded` is called after each attempt, when its server may have a free slot. */
	constructor(private readonly onEnded: () => void) {}

	get count(): number {
		return this.#open.size;
	}

	/** Whether any open attempt may have reached its server. */
	get mayHaveRun(): boolean {
		return [...this.#open].some(({exchange}) => exchange.written);
	}

	has(attempt: BackendAttempt): boolean {
		return this.#open.has(attempt);
	}

	add(attempt: BackendAttempt): void {
		this.#open.add(attempt);
		attempt.backend.inFlight++;
	}

	/** Removes an attempt that has ended; has no effect on a later call. */
	finish(attempt: BackendAttempt): void {
		if (this.#open.delete(attempt)) {
			attempt.backend.inFlight--;
			this.onEnded();
		}
	}

	/** Cancels all attempts except `kept` and closes their connections, so that the servers stop working on them. */
	cancelOthers(kept: BackendAttempt | undefined): void {
		for (const attempt of this.#open) {
			if (attempt !== kept) {
				attempt.exchange.cancel();
				attempt.backend.connections.discard(attempt.exchange.connection);
				this.finish(attempt);
			}
		}
	}
}
