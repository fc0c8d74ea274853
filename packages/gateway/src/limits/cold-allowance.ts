/** Part of a cold server's tolerance that is handed out; requests that were sent in one second may arrive closer together. */
const usedPart = 0.75;

/** Requests per second that this VM may send to a cold backend server, so that all VMs together stay within what it tolerates. */
export function coldAllowancePerS({coldRatePerS, overshoot, slack, sharers}: {
	/** Tolerance that the service states. */
	readonly coldRatePerS: number;
	/** Factor and count by which the platform lets the stated tolerance be exceeded. */
	readonly overshoot: number;
	readonly slack: number;
	/** VMs that may send to the server, this one included. */
	readonly sharers: number;
}): number {
	return Math.floor(((coldRatePerS * overshoot) + slack) * usedPart / Math.max(1, sharers));
}

/** Counts events of the last second. */
export class SecondWindow {
	#atMs: number[] = [];

	count(nowMs: number): number {
		this.#atMs = this.#atMs.filter(atMs => atMs > nowMs - 1000);
		return this.#atMs.length;
	}

	add(nowMs: number): void {
		this.#atMs.push(nowMs);
	}
}
