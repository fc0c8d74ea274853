/** Limits of a workspace. */
export type BucketLimits = {
	readonly ratePerS: number;
	readonly burst: number;
	/** Requests by which all VMs together may exceed rate and burst within the platform's window. */
	readonly toleranceCount: number;
};

/** What a VM tells its peers about a workspace. */
export type BucketReport = {
	/** Requests passed since the start of the process. */
	readonly passed: number;
	/** Smoothed rate at which requests were asked for, refused ones included. */
	readonly askedPerS: number;
	/** Estimate of the tokens left over all VMs; undefined before there is one. */
	readonly tokens: number | undefined;
};

/** Reports by workspace, as they travel in heartbeats. */
export type BucketReports = Readonly<Record<string, BucketReport>>;

/** Time after which all peers know of a request that was passed, in milliseconds: the slower heartbeat interval, with margin for a late timer and the way. */
export const settledMs = 1250;
/** A peer that was silent for longer is taken to pass its part of the rate, in milliseconds. */
const silentMs = 1750;
/** Part of the tolerance that VMs may pass before they know of each other's requests; the rest covers views that differ. */
const tolerancePart = 0.6;
/** Part of the tokens that is divided equally, so that new demand finds some; the rest is divided by demand. */
const equalPart = 0.6;
/** Part of the burst that a VM assumes to be left when no peer can tell, as after a start of all VMs. */
const initialPart = 0.1;

type Peer = {incarnation: number; passed: number; askedPerS: number; heardAtMs: number; assumed: number};

/**
One VM's estimate of a token bucket that all VMs share.

Load it answers: requests of a workspace come in clumps at any of the VMs, too few at each for a part of the bucket of its own, and now and then at several times the rate. Each VM counts what it passed and tells its peers; each subtracts what it hears. A VM passes requests that its peers do not know of yet only up to its part of the tokens that are left. Errors correct themselves, since all requests are subtracted in the end. Silent peers are taken to pass their part of the rate, so a VM that is cut off keeps to its own.
*/
export class FleetBucket {
	#limits: BucketLimits;
	#tokens: number;
	#isEstimated = false;
	#updatedMs: number;
	#passed = 0;
	#members = 1;
	/** Times of requests that peers may not know of yet. */
	readonly #unsettled: number[] = [];
	readonly #peers = new Map<string, Peer>();

	constructor(limits: BucketLimits, nowMs: number) {
		this.#limits = limits;
		this.#tokens = limits.burst * initialPart;
		this.#updatedMs = nowMs;
	}

	/** Applies changed limits. */
	configure(limits: BucketLimits): void {
		this.#limits = limits;
		this.#tokens = Math.min(this.#tokens, limits.burst);
	}

	/** Takes in a peer's report. */
	hear(vm: string, incarnation: number, report: BucketReport, nowMs: number): void {
		const known = this.#peers.get(vm);
		const before = known?.incarnation === incarnation ? known.passed : 0;
		// What a peer passed before this VM heard of it is in the tokens that others tell.
		const passed = known === undefined ? 0 : Math.max(0, report.passed - before);
		this.#tokens -= Math.max(0, passed - (known?.assumed ?? 0));
		if (!this.#isEstimated && report.tokens !== undefined) {
			this.#tokens = report.tokens;
			this.#isEstimated = true;
		}

		this.#peers.set(vm, {
			incarnation, passed: report.passed, askedPerS: report.askedPerS, heardAtMs: nowMs, assumed: 0,
		});
	}

	/** Takes in that a peer passed nothing since its last report. */
	hearUnchanged(vm: string, incarnation: number, nowMs: number): void {
		const known = this.#peers.get(vm);
		if (known === undefined) {
			return;
		}

		// Each heartbeat comes here for most workspaces: with 72 workspaces and 60 VMs 4,000 times a second.
		if (known.incarnation === incarnation) {
			known.heardAtMs = nowMs;
			known.assumed = 0;
		} else {
			this.#peers.set(vm, {
				incarnation, passed: 0, askedPerS: 0, heardAtMs: nowMs, assumed: 0,
			});
		}
	}

	/** Brings the estimate to the present; `members` are the VMs that share the limits, `sharing` those known by name. */
	update(members: number, sharing: ReadonlySet<string>, nowMs: number): void {
		this.#members = members;
		for (const vm of this.#peers.keys()) {
			if (!sharing.has(vm)) {
				this.#peers.delete(vm);
			}
		}

		this.#advance(nowMs);
	}

	/** Ends the wait for peers' estimates; the own one counts from now. */
	settleEstimate(): void {
		this.#isEstimated = true;
	}

	/** Passes a request; returns 0, or the time after which to come back, in milliseconds. */
	take(askedPerS: number, nowMs: number): number {
		this.#advance(nowMs);
		const allowed = this.allowance(askedPerS);
		if (this.#unsettled.length + 1 > Math.max(allowed, this.#tokens > 0 ? 1 : 0)) {
			return 1000 * Math.max(1, 1 - this.#tokens) / Math.max(1, this.#limits.ratePerS * this.#partOf(askedPerS));
		}

		this.#passed++;
		this.#unsettled.push(nowMs);
		return 0;
	}

	/**
	Takes back a request that was passed and did not run.

	Not while the workspace asks for more than its rate: requests that found no server would be replaced by others at once, and the surplus would crowd out the workspaces that keep to their rates.
	*/
	giveBack(askedPerS: number): void {
		if (!this.isOverRate(askedPerS) && this.#unsettled.pop() !== undefined) {
			this.#passed--;
		}
	}

	/** Whether all VMs together are asked for more than the rate, given the rate at which this VM is asked. */
	isOverRate(askedPerS: number): boolean {
		return this.#totalAskedPerS(askedPerS) > this.#limits.ratePerS;
	}

	/** Requests that this VM may pass before its peers know of them. */
	allowance(askedPerS: number): number {
		const tokens = Math.max(0, this.#tokens);
		return this.#partOf(askedPerS) * (tokens + Math.min(tokens, this.#limits.toleranceCount * tolerancePart));
	}

	report(askedPerS: number): BucketReport {
		return {passed: this.#passed, askedPerS, tokens: this.#isEstimated ? this.#tokens - this.#unsettled.length : undefined};
	}

	/** Requests asked for per second over all VMs, given those of this VM. */
	#totalAskedPerS(askedPerS: number): number {
		let totalPerS = askedPerS;
		for (const peer of this.#peers.values()) {
			totalPerS += peer.askedPerS;
		}

		return totalPerS;
	}

	#partOf(askedPerS: number): number {
		const totalPerS = this.#totalAskedPerS(askedPerS);
		const equal = 1 / this.#members;
		if (totalPerS === 0) {
			return equal;
		}

		// VMs that have not reported yet may have any demand; their equal part stays theirs.
		const knownPart = Math.min(1, (this.#peers.size + 1) * equal);
		return (equal * equalPart) + ((1 - equalPart) * knownPart * askedPerS / totalPerS);
	}

	#advance(nowMs: number): void {
		const {ratePerS, burst} = this.#limits;
		const elapsedS = (nowMs - this.#updatedMs) / 1000;
		this.#updatedMs = nowMs;
		let assumed = 0;
		for (const peer of this.#peers.values()) {
			if (nowMs - peer.heardAtMs > silentMs) {
				const part = ratePerS * elapsedS / this.#members;
				peer.assumed += part;
				assumed += part;
			}
		}

		let settled = 0;
		while (settled < this.#unsettled.length && this.#unsettled[settled] <= nowMs - settledMs) {
			settled++;
		}

		this.#unsettled.splice(0, settled);
		this.#tokens = Math.min(burst, Math.max(-burst, this.#tokens + (ratePerS * elapsedS) - assumed - settled));
	}
}
