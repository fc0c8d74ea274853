/**
Limits the fraction of a region's requests for a service that may spill over to other regions.

Handles peaks for which the region of the callers has too few slots. Traffic between regions may change by at most `shiftMost` of a region's requests from one window to the next; spillover that always stays below a smaller fraction can never change by more than that.
*/
export class SpilloverLimiter {
	#credit = 0;

	/** `maxFraction` is the maximum fraction of requests that may spill over, 0 to 1. */
	constructor(private readonly maxFraction: number) {}

	/** Counts a request of the region's callers. */
	recordRequest(): void {
		this.#credit = Math.min(maxCredit, this.#credit + this.maxFraction);
	}

	/** Whether a request may spill over now. */
	get hasCredit(): boolean {
		return this.#credit >= 1;
	}

	/** Counts a request that spilled over to another region. */
	recordSpillover(): void {
		this.#credit--;
	}
}

/** Maximum burst of spillover requests; small compared with the requests of a window. */
const maxCredit = 3;
