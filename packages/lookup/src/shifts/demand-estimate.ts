/** A measured load with the smallest and largest fraction of the demand that recent answers sent to the measured region. */
export type LoadSample = {readonly loadPerS: number; readonly minAdmittedFraction: number; readonly maxAdmittedFraction: number};

/** Samples with a smaller admitted fraction are ignored, as dividing by it amplifies measurement noise. */
const minUsefulFraction = 0.05;

/**
Estimates the demand of a home region from its load, which shifts to other regions reduce.

Because of cached answers and delayed reports it is unknown which of the recent fractions was in effect when a load was measured, so a load only bounds the demand. The estimate changes only when it is outside these bounds; following the load directly would mistake each shift for a change of demand and oscillate.
*/
export class DemandEstimate {
	#demandPerS: number | undefined;

	get demandPerS(): number | undefined {
		return this.#demandPerS;
	}

	/** Clamps the estimate to the bounds that a fresh sample gives. */
	update({loadPerS, minAdmittedFraction, maxAdmittedFraction}: LoadSample): void {
		if (minAdmittedFraction < minUsefulFraction) {
			return;
		}

		const minDemandPerS = loadPerS / maxAdmittedFraction;
		const maxDemandPerS = loadPerS / minAdmittedFraction;
		this.#demandPerS = Math.min(maxDemandPerS, Math.max(minDemandPerS, this.#demandPerS ?? maxDemandPerS));
	}

	/** Raises the estimate to that of a VM that has observed the region for longer. */
	adopt(demandPerS: number): void {
		if (demandPerS > 0) {
			this.#demandPerS = Math.max(demandPerS, this.#demandPerS ?? 0);
		}
	}

	/** Initialises the estimate with the last load of a region that was already lost when this process started. A load of 0 is ignored, as the region may not have started yet. */
	seed(loadPerS: number): void {
		this.#demandPerS ??= loadPerS > 0 ? loadPerS : undefined;
	}
}
