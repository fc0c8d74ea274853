/** Checks that the tokens taken in any window of length t stay within burst + rate × t. */
export class WindowCheck {
	readonly instants: Array<{atMs: number; count: number}> = [];
	#excess = 0;
	#lastMs = 0;
	/** Most tokens that any window had beyond `ratePerS × t`; the maximum over all pairs of instants. */
	maxExcess = 0;

	constructor(readonly ratePerS: number, readonly burst: number) {}

	/** Adds tokens taken at a moment; moments must not go back. */
	add(atMs: number, count: number): void {
		// The largest sum over windows that end here: extend the best earlier window or start a new one.
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

	/** Highest ratio of taken to entitled tokens over all windows; a full comparison of pairs. */
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

	/** Tokens taken from `fromMs` up to `toMs`. */
	takenIn(fromMs: number, toMs: number): number {
		let sum = 0;
		for (const {atMs, count} of this.instants) {
			sum += atMs >= fromMs && atMs < toMs ? count : 0;
		}

		return sum;
	}
}
