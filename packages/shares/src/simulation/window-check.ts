/** Checks that the tokens taken in any window of length t do not exceed burst + rate × t. */
export class WindowCheck {
	readonly instants: Array<{atMs: number; count: number}> = [];
	#excess = 0;
	#lastMs = 0;
	/** Maximum number of tokens taken beyond `ratePerS × t` in any window, over all pairs of instants. */
	maxExcess = 0;

	constructor(readonly ratePerS: number, readonly burst: number) {}

	/** Adds tokens taken at `atMs`, which must not be lower than in the previous call. */
	add(atMs: number, count: number): void {
		// Maximum over the windows that end here: either the best earlier window is extended or a new one starts.
		this.#excess = Math.max(0, this.#excess - (this.ratePerS * (atMs - this.#lastMs) / 1000)) + count;
		this.#lastMs = atMs;
		this.maxExcess = Math.max(this.maxExcess, this.#excess);
		const last = this.instants.at(-1);
		if (last?.atMs === atMs) {
			last.count += count;
		} else {
			this.instants.push({atMs, count});
		}
	}

	/** Whether any window exceeded the bound; the tolerance covers rounding of fractions. */
	get isViolated(): boolean {
		return this.maxExcess > this.burst + 1e-6;
	}

	/** Maximum ratio of taken to entitled tokens over all windows; compares all pairs of instants. */
	maxRatio(): number {
		let ratio = 0;
		for (let from = 0; from < this.instants.length; from++) {
			let sum = 0;
			for (let to = from; to < this.instants.length; to++) {
				sum += this.instants[to].count;
				const entitled = this.burst + (this.ratePerS * (this.instants[to].atMs - this.instants[from].atMs) / 1000);
				ratio = Math.max(ratio, sum / entitled);
			}
		}

		return ratio;
	}

	/** Tokens taken from `fromMs` (inclusive) to `toMs` (exclusive). */
	takenIn(fromMs: number, toMs: number): number {
		let sum = 0;
		for (const {atMs, count} of this.instants) {
			sum += atMs >= fromMs && atMs < toMs ? count : 0;
		}

		return sum;
	}
}
