/** Halving time of the difference between the last report and the mean, in milliseconds; about the duration of a request. */
const peakHalfLifeMs = 400;
/** Halving time of the weight of older reports in the mean, in milliseconds; several durations of a request. */
const meanHalfLifeMs = 1000;
/** Halving time of the mean while nothing is reported, in milliseconds: longer than callers wait for a server that is too busy to answer. */
const memoryHalfLifeMs = 3000;

/** What this VM knows itself when it asks for an estimate. */
export type OwnView = {
	/** Requests that this VM has at the server. */
	readonly inFlight: number;
	/** VMs that are likely to send to the server, this one included; asked for only before it told its load. */
	readonly sharers: () => number;
};

/**
Estimate of the requests that other VMs have at a backend server.

Load it answers: several VMs at a server whose answers take seconds. Each answer tells how many requests the server has; a peak passes within the duration of a request, the mean stays, since the others go on sending. Without the mean, all VMs took a server that had not answered for a second for a free one. The mean fades only while this VM has no request there: one is enough to learn whether a server still is full. Before any answer, each other VM is taken to have as many requests there as this one, so that VMs that start together do not fill a server before it can tell.
*/
export class OthersLoad {
	#last = 0;
	#mean: number | undefined;
	#reportedAtMs = 0;

	/** Requests of others at `nowMs`. */
	estimate(nowMs: number, {inFlight, sharers}: OwnView): number {
		if (this.#mean === undefined) {
			return inFlight * (sharers() - 1);
		}

		const silentMs = nowMs - this.#reportedAtMs;
		const mean = inFlight > 0 ? this.#mean : this.#mean * (0.5 ** (silentMs / memoryHalfLifeMs));
		return mean + ((this.#last - this.#mean) * (0.5 ** (silentMs / peakHalfLifeMs)));
	}

	/** Takes in a reported count. */
	report(count: number, nowMs: number): void {
		const newPart = 1 - (0.5 ** ((nowMs - this.#reportedAtMs) / meanHalfLifeMs));
		this.#mean = this.#mean === undefined ? count : this.#mean + ((count - this.#mean) * newPart);
		this.#last = count;
		this.#reportedAtMs = nowMs;
	}

	/** Forgets all, as after a restart of the server. */
	reset(): void {
		this.#last = 0;
		this.#mean = undefined;
	}
}
