/** Half-life of the difference between the last report and the mean; about the duration of a request. */
const deviationHalfLifeMs = 400;
/** Half-life of the weight of older reports in the mean; several durations of a request. */
const meanHalfLifeMs = 1000;
/** Half-life of the mean without reports while this VM has no request at the server; longer than callers wait for a server that is too busy to answer. */
const idleHalfLifeMs = 3000;

/** This VM's own state at the time of an estimate. */
export type EstimateInput = {
	/** Requests that this VM has at the server. */
	readonly inFlight: number;
	/** Number of VMs that are likely to send to the server, this one included; called only before its first report. */
	readonly senderCount: () => number;
};

/**
Estimate of the requests that other VMs have at a backend server.

Handles several VMs that send to a server whose answers take seconds. Each answer reports the number of requests at the server. A peak decays within the duration of a request; the mean persists, since the other VMs keep sending. Without the mean, all VMs treated a server that had not answered for a second as idle. The mean decays only while this VM has no request there: one request is enough to learn whether the server is still full. Before the first report, each other VM is assumed to have as many requests there as this one, so that VMs that start together do not overload a server before it can report its load.
*/
export class PeerLoadEstimator {
	#lastCount = 0;
	#mean: number | undefined;
	#reportedAtMs = 0;

	/** Estimated requests of other VMs at `nowMs`. */
	estimate(nowMs: number, {inFlight, senderCount}: EstimateInput): number {
		if (this.#mean === undefined) {
			return inFlight * (senderCount() - 1);
		}

		const ageMs = nowMs - this.#reportedAtMs;
		// Powers take most of the time of an estimate, which placing makes for each server; those of idle servers are multiplied by 0.
		const mean = inFlight > 0 || this.#mean === 0 ? this.#mean : this.#mean * (0.5 ** (ageMs / idleHalfLifeMs));
		const deviation = this.#lastCount - this.#mean;
		return deviation === 0 ? mean : mean + (deviation * (0.5 ** (ageMs / deviationHalfLifeMs)));
	}

	/** Records the number of other VMs' requests derived from a report. */
	report(count: number, nowMs: number): void {
		const newWeight = 1 - (0.5 ** ((nowMs - this.#reportedAtMs) / meanHalfLifeMs));
		this.#mean = this.#mean === undefined ? count : this.#mean + ((count - this.#mean) * newWeight);
		this.#lastCount = count;
		this.#reportedAtMs = nowMs;
	}

	/** Discards all reports, after a restart of the server. */
	reset(): void {
		this.#lastCount = 0;
		this.#mean = undefined;
	}
}
