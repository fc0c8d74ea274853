/**
Part of a region's requests for a service that may run in other regions.

Load it answers: the region of the callers has too few slots at its peak. Traffic between regions may move by at most `shiftMost` of a region's requests from one window to the next; a part that never exceeds a smaller cap moves by less than that, whatever happens.
*/
export class RegionSpill {
	#credit = 0;

	/** `partLimit` is the largest part of requests, 0 to 1. */
	constructor(private readonly partLimit: number) {}

	/** Counts a request of the region. */
	arrived(): void {
		this.#credit = Math.min(maxCredit, this.#credit + this.partLimit);
	}

	/** Whether a request may leave the region now. */
	get hasCredit(): boolean {
		return this.#credit >= 1;
	}

	/** A request left the region. */
	left(): void {
		this.#credit--;
	}
}

/** Requests that may leave at once after a time without any; small against the requests of a window. */
const maxCredit = 3;
