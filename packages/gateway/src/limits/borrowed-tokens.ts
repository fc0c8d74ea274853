/** Tokens of a pool that requests of this VM have used; those of requests that did not run serve others. */
export class BorrowedTokens {
	/** Times at which tokens were borrowed, for requests that may still give them back, and of those given back. */
	#usedAtMs: number[] = [];
	#returnedAtMs: number[] = [];

	/** Records a token that was borrowed and used. */
	add(nowMs: number): void {
		this.#usedAtMs.push(nowMs);
	}

	/** Gives back the token of a request that did not run; no effect if no token was borrowed lately. */
	giveBack(): void {
		const borrowedAtMs = this.#usedAtMs.pop();
		if (borrowedAtMs !== undefined) {
			this.#returnedAtMs.push(borrowedAtMs);
		}
	}

	/** Uses a token that was given back, and forgets those borrowed before `sinceMs`; returns whether there was one. */
	takeReturned(sinceMs: number): boolean {
		this.#usedAtMs = this.#usedAtMs.filter(atMs => atMs > sinceMs);
		this.#returnedAtMs = this.#returnedAtMs.filter(atMs => atMs > sinceMs);
		const borrowedAtMs = this.#returnedAtMs.pop();
		if (borrowedAtMs === undefined) {
			return false;
		}

		this.#usedAtMs.push(borrowedAtMs);
		return true;
	}
}
