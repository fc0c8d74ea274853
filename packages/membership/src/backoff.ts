import {type Random} from './random.js';

const baseDelayMs = 100;
/** Maximum delay between two attempts; allows several attempts within the 10 s in which nodes must converge after a partition is healed. */
export const maxBackoffMs = 2000;

/** Bounded exponential backoff with jitter. */
export class Backoff {
	readonly #random: Random;
	#attempts = 0;

	constructor(random: Random) {
		this.#random = random;
	}

	/** Time to wait before the next attempt, in milliseconds. */
	nextDelayMs(): number {
		const limitMs = Math.min(maxBackoffMs, baseDelayMs * (2 ** Math.min(this.#attempts++, 10)));
		return limitMs * (0.5 + (this.#random() / 2));
	}

	reset(): void {
		this.#attempts = 0;
	}
}
