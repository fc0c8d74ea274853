/** Smoothing weight of a measurement above the smoothed rate; high, so that rising demand gets its share soon. */
const riseWeight = 0.7;
/** Smoothing weight of a measurement below the smoothed rate; lower, so that a short pause in demand keeps the share. */
const fallWeight = 0.5;
/** The count of the running interval is a surge if it exceeds the smoothed rate per second by this factor and is at least `surgeCount`. */
const surgeFactor = 2;
const surgeCount = 5;
/** Rates below this count as no demand, so that smoothing reaches zero. */
const negligiblePerS = 0.01;

/** Counts demand, including refused requests, and smooths its rate. */
export class DemandMeter {
	#count = 0;
	#ratePerS = 0;

	/** Smoothed rate, in requests per second. */
	get ratePerS(): number {
		return this.#ratePerS;
	}

	/** Whether demand in the current interval is already so far above the smoothed rate that it should be reported at once. */
	get isSurge(): boolean {
		return this.#count >= surgeCount && this.#count > this.#ratePerS * surgeFactor;
	}

	add(count: number): void {
		this.#count += count;
	}

	/** Ends a measurement interval of `elapsedMs`. */
	sample(elapsedMs: number): void {
		if (elapsedMs <= 0) {
			return;
		}

		const measured = this.#count * 1000 / elapsedMs;
		this.#count = 0;
		this.#ratePerS += (measured - this.#ratePerS) * (measured > this.#ratePerS ? riseWeight : fallWeight);
		if (this.#ratePerS < negligiblePerS) {
			this.#ratePerS = 0;
		}
	}
}
