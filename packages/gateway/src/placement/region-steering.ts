/** Number of requests by which a region may be ahead of or behind its fraction, so that objects can stay in one region. */
const maxCredit = 1.5;

/** Window over which shifts between regions are limited. */
const shiftWindowMs = 2000;
/** Fraction of the limit on shifts between regions that steering uses within a window. */
const steeringLimitFraction = 0.5;

/** Inputs to the limit on a change of fractions. */
export type FractionChangeInput = {
	/** Whether enough demand was measured in the last seconds. */
	readonly isMeasured: boolean;
	/** Maximum fraction of a region's requests that may change the region between two windows. */
	readonly shiftMost: number;
	readonly elapsedMs: number;
};

/** Maximum total change of a region's fractions in one update. Unlimited without measured demand: there is no traffic to shift, and a starting fleet reaches its targets before the first callers arrive. */
export function maxFractionChange({isMeasured, shiftMost, elapsedMs}: FractionChangeInput): number {
	return isMeasured ? shiftMost * steeringLimitFraction * elapsedMs / shiftWindowMs : Number.POSITIVE_INFINITY;
}

/**
Distributes the requests of one service and region over regions.

The fractions approach their targets in limited steps, because traffic between regions may change only by a given fraction from one window of two seconds to the next. Each region gets its fraction of any sequence of requests to within `maxCredit` requests; within that bound, an object goes to the region selected by its hash, where servers have handled it before.
*/
export class RegionSteering {
	readonly #fractions = new Map<string, number>();
	readonly #credits = new Map<string, number>();

	constructor(private readonly ownRegion: string) {}

	/** Current fraction of requests sent to other regions. */
	get shiftedFraction(): number {
		let sum = 0;
		for (const fraction of this.#fractions.values()) {
			sum += fraction;
		}

		return sum;
	}

	/** Current fraction of requests sent to each other region. */
	get fractions(): ReadonlyMap<string, number> {
		return this.#fractions;
	}

	/** Moves the fractions towards `targets`; `maxStep` is the maximum sum of the changes. */
	update(targets: ReadonlyMap<string, number>, maxStep: number): void {
		const names = new Set([...this.#fractions.keys(), ...targets.keys()]);
		let distance = 0;
		for (const name of names) {
			distance += Math.abs((targets.get(name) ?? 0) - (this.#fractions.get(name) ?? 0));
		}

		const scale = distance > maxStep ? maxStep / distance : 1;
		for (const name of names) {
			const before = this.#fractions.get(name) ?? 0;
			this.#fractions.set(name, before + (((targets.get(name) ?? 0) - before) * scale));
		}
	}

	/** Assigns a region to a request; `fraction` is the hash of its object in [0, 1), or a random number. */
	next(fraction: number): string {
		const allFractions = new Map(this.#fractions);
		allFractions.set(this.ownRegion, 1 - this.shiftedFraction);
		let preferred = this.ownRegion;
		let mostUnderserved = this.ownRegion;
		let lowerBound = 0;
		for (const [name, regionFraction] of this.#fractions) {
			if (fraction >= lowerBound && fraction < lowerBound + regionFraction) {
				preferred = name;
			}

			lowerBound += regionFraction;
		}

		for (const [name, regionFraction] of allFractions) {
			const credit = (this.#credits.get(name) ?? 0) + regionFraction;
			this.#credits.set(name, credit);
			if (credit > this.#credits.get(mostUnderserved)!) {
				mostUnderserved = name;
			}
		}

		const isBalanced = this.#credits.get(mostUnderserved)! <= maxCredit && this.#credits.get(preferred)! > -maxCredit;
		const chosen = isBalanced ? preferred : mostUnderserved;
		this.#credits.set(chosen, this.#credits.get(chosen)! - 1);
		return chosen;
	}
}
