/** Period over which the trend of a demand is measured, in milliseconds. */
const windowMs = 4000;
/** How far ahead the trend is extended, in milliseconds: the lag of the smoothed demand, a heartbeat, and the time in which fractions of requests may follow within the limit on shifts. */
const horizonMs = 4000;
/** Fewest samples that make a trend. */
const minSamples = 6;
/** Standard errors by which a slope must exceed zero, so that random variation of a small demand is not taken for a rise. */
const significantErrors = 2;
/** Time constant of the mean demand, in milliseconds; about half the period of the slowest waves that fractions cannot follow within the limit on shifts. */
const meanTimeConstantMs = 20_000;
/** Largest rise that is expected, as a fraction of the present demand; a burst is not extended further. */
const maxRiseFraction = 0.5;

type Sample = {readonly atMs: number; readonly slots: number};

/**
Expected demand of a region's callers, from a straight line through the last seconds and the mean of the last tens of seconds.

Load it answers: demand that rises and falls within tens of seconds, at different times in different regions. Fractions of requests that run in other regions may change only slowly, so they have to begin to rise before the demand has filled the region's own slots, and to stay up between two waves. Shifting back late costs less than too few slots, so no less than the mean is expected.
*/
export class DemandTrend {
	#samples: Sample[] = [];
	#meanSlots: number | undefined;

	/** Records the present demand and returns the highest one expected within the horizon, in slots. */
	forecast(slots: number, nowMs: number): number {
		const elapsedMs = nowMs - (this.#samples.at(-1)?.atMs ?? nowMs);
		this.#meanSlots ??= slots;
		this.#meanSlots += (slots - this.#meanSlots) * (1 - Math.exp(-elapsedMs / meanTimeConstantMs));
		this.#samples = [...this.#samples.filter(({atMs}) => atMs > nowMs - windowMs), {atMs: nowMs, slots}];
		const rise = (risePerMs(this.#samples) ?? 0) * horizonMs;
		return Math.max(this.#meanSlots, slots + Math.min(Math.max(0, rise), slots * maxRiseFraction));
	}
}

/** Slope of the least-squares line less its uncertainty; undefined with too few samples. */
function risePerMs(samples: readonly Sample[]): number | undefined {
	const count = samples.length;
	if (count < minSamples) {
		return undefined;
	}

	const meanMs = samples.reduce((sum, {atMs}) => sum + atMs, 0) / count;
	const meanSlots = samples.reduce((sum, {slots}) => sum + slots, 0) / count;
	let timeVariation = 0;
	let covariation = 0;
	for (const {atMs, slots} of samples) {
		timeVariation += (atMs - meanMs) ** 2;
		covariation += (atMs - meanMs) * (slots - meanSlots);
	}

	if (timeVariation === 0) {
		return undefined;
	}

	const slope = covariation / timeVariation;
	const residual = samples.reduce((sum, {atMs, slots}) => sum + ((slots - meanSlots - (slope * (atMs - meanMs))) ** 2), 0);
	return slope - (significantErrors * Math.sqrt(residual / (count - 2) / timeVariation));
}
