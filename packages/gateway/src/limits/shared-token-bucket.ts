/** Limits of a workspace's token bucket. */
export type BucketLimits = {
	readonly ratePerS: number;
	readonly burst: number;
	/** Number of requests by which all VMs together may exceed rate and burst within the platform's window. */
	readonly toleranceCount: number;
};

/** A VM's report to its peers about a workspace. */
export type BucketReport = {
	/** Number of requests admitted since the start of the process. */
	readonly passed: number;
	/** Smoothed request rate, refused requests included. */
	readonly askedPerS: number;
	/** Estimate of the tokens left in the bucket of all VMs; undefined before there is one. */
	readonly tokens: number | undefined;
};

/** Reports by workspace, as sent in heartbeats. */
export type BucketReports = Readonly<Record<string, BucketReport>>;

/** Time after which all peers know of an admitted request at the latest: the slower heartbeat interval, with margin for timer and network delays. */
export const propagationMs = 1250;
/** Time after which a report that was sent to all peers has reached them: a relay between regions, with margin. */
const deliveryMs = 250;
/** Time after a disturbance among the peers in which only the longest propagation time counts; the window of the platform's bound. */
const settleMs = 5000;
/** Time without a heartbeat after which a peer is assumed to admit its equal share of the rate. */
const peerTimeoutMs = 1750;
/** Fraction of the tolerance that VMs may use before they know of each other's requests; the remainder covers differences between their estimates. */
const toleranceFraction = 0.6;
/** Fraction of the tokens that is divided equally, so that a VM with new demand has tokens immediately; the rest is divided in proportion to demand. */
const equalShareFraction = 0.6;
/** Fraction of the burst assumed to be left when no peer has an estimate, as after a restart of all VMs. */
const initialBurstFraction = 0.1;

/** Multiples of it, modulo 1, are evenly distributed. */
const goldenRatio = 0.618_034;

type Peer = {incarnation: number; passed: number; askedPerS: number; lastHeartbeatAtMs: number; assumed: number};

/**
One VM's estimate of a token bucket that is shared by all VMs.

Handles workspaces whose requests arrive in bursts at any VM, too few at each VM to divide the bucket into fixed shares, and occasionally at several times the rate. Each VM counts the requests that it admits and reports them to its peers, which subtract them from their estimates. Requests that peers do not know of yet are admitted only up to this VM's share of the remaining tokens. Estimation errors are temporary, since all admitted requests are subtracted eventually. Silent peers are assumed to admit their share of the rate, so an isolated VM keeps to its own share.
*/
export class SharedTokenBucket {
	readonly #phase: number;
	#limits: BucketLimits;
	#tokens: number;
	#isEstimated = false;
	#updatedAtMs: number;
	#passed = 0;
	#memberCount = 1;
	/** Admission times of requests that peers may not know of yet. */
	readonly #unpropagated: number[] = [];
	/** When reports were sent to all peers within the longest propagation time. */
	#reportsAtMs: number[] = [];
	/** When a peer was silent, unknown or restarted last. */
	#disturbedAtMs: number;
	readonly #peers = new Map<string, Peer>();

	/** `phase`, in [0, 1), differs between VMs, so that they do not round up at the same time. */
	constructor(limits: BucketLimits, nowMs: number, phase: number) {
		this.#phase = phase;
		this.#limits = limits;
		this.#tokens = limits.burst * initialBurstFraction;
		this.#updatedAtMs = nowMs;
		this.#disturbedAtMs = nowMs;
	}

	/** Applies changed limits. */
	configure(limits: BucketLimits): void {
		this.#limits = limits;
		this.#tokens = Math.min(this.#tokens, limits.burst);
	}

	/** Applies a peer's report. */
	applyReport(vm: string, incarnation: number, report: BucketReport, nowMs: number): void {
		const known = this.#peers.get(vm);
		const before = known?.incarnation === incarnation ? known.passed : 0;
		if (known?.incarnation !== incarnation) {
			this.#disturbedAtMs = nowMs;
		}

		// Requests that a peer admitted before its first report here are already subtracted from the token estimates that peers report.
		const passed = known === undefined ? 0 : Math.max(0, report.passed - before);
		this.#tokens -= Math.max(0, passed - (known?.assumed ?? 0));
		if (!this.#isEstimated && report.tokens !== undefined) {
			this.#tokens = report.tokens;
			this.#isEstimated = true;
		}

		this.#peers.set(vm, {
			incarnation, passed: report.passed, askedPerS: report.askedPerS, lastHeartbeatAtMs: nowMs, assumed: 0,
		});
	}

	/** Applies a heartbeat without a report: the peer admitted nothing since its last one. */
	applyUnchanged(vm: string, incarnation: number, nowMs: number): void {
		const known = this.#peers.get(vm);
		if (known === undefined) {
			return;
		}

		// Hot path: called for most workspaces of each heartbeat, 4,000 times per second with 72 workspaces and 60 VMs.
		if (known.incarnation === incarnation) {
			known.lastHeartbeatAtMs = nowMs;
			known.assumed = 0;
		} else {
			this.#disturbedAtMs = nowMs;
			this.#peers.set(vm, {
				incarnation, passed: 0, askedPerS: 0, lastHeartbeatAtMs: nowMs, assumed: 0,
			});
		}
	}

	/** Advances the estimate to `nowMs`; `memberCount` is the number of VMs that share the limits, `vms` their names. Peers not in `vms` are removed. */
	update(memberCount: number, vms: ReadonlySet<string>, nowMs: number): void {
		this.#memberCount = memberCount;
		for (const vm of this.#peers.keys()) {
			if (!vms.has(vm)) {
				this.#peers.delete(vm);
			}
		}

		this.#advance(nowMs);
	}

	/** Makes this VM's own estimate final; estimates of peers are ignored from now on. */
	finalizeEstimate(): void {
		this.#isEstimated = true;
	}

	/** Takes a token for a request; returns 0 if it is admitted, else the retry delay in milliseconds. */
	take(askedPerS: number, nowMs: number): number {
		this.#advance(nowMs);
		// Cut to whole requests, the allowances of many VMs would leave most of a few tokens unused; rounded up in turns, they add up to the whole.
		const allowed = this.allowance(askedPerS) + this.#roundingOffset(nowMs);
		if (this.#unpropagated.length + 1 > Math.max(allowed, this.#tokens > 0 ? 1 : 0)) {
			return 1000 * Math.max(1, 1 - this.#tokens) / Math.max(1, this.#limits.ratePerS * this.#shareOf(askedPerS));
		}

		this.#passed++;
		this.#unpropagated.push(nowMs);
		return 0;
	}

	/**
	Returns the token of an admitted request that did not run.

	Has no effect while the workspace's demand exceeds its rate: requests that found no server would be replaced by others immediately, and the excess would crowd out workspaces that keep to their rates.
	*/
	refund(askedPerS: number): void {
		if (!this.isOverRate(askedPerS) && this.#unpropagated.pop() !== undefined) {
			this.#passed--;
		}
	}

	/** Whether the demand over all VMs exceeds the rate; `askedPerS` is the demand at this VM. */
	isOverRate(askedPerS: number): boolean {
		return this.#totalAskedPerS(askedPerS) > this.#limits.ratePerS;
	}

	/** Number of requests that this VM may admit before its peers know of them. */
	allowance(askedPerS: number): number {
		const tokens = Math.max(0, this.#tokens);
		return this.#shareOf(askedPerS) * (tokens + Math.min(tokens, this.#limits.toleranceCount * toleranceFraction));
	}

	report(askedPerS: number): BucketReport {
		return {passed: this.#passed, askedPerS, tokens: this.#isEstimated ? this.#tokens - this.#unpropagated.length : undefined};
	}

	/** Records that a report was sent to all peers. */
	recordReport(nowMs: number): void {
		// Older reports say no more than the longest propagation time.
		this.#reportsAtMs = [...this.#reportsAtMs.filter(atMs => atMs > nowMs - propagationMs), nowMs];
	}

	/** Demand over all VMs in requests per second; `askedPerS` is that of this VM. */
	#totalAskedPerS(askedPerS: number): number {
		let totalPerS = askedPerS;
		for (const peer of this.#peers.values()) {
			totalPerS += peer.askedPerS;
		}

		return totalPerS;
	}

	/** Added to the allowance before it is cut to whole requests: in [0, 1), another value in each propagation interval, evenly distributed. */
	#roundingOffset(nowMs: number): number {
		const interval = Math.floor((nowMs / propagationMs) + this.#phase);
		return ((interval * goldenRatio) + this.#phase) % 1;
	}

	#shareOf(askedPerS: number): number {
		const totalPerS = this.#totalAskedPerS(askedPerS);
		const equalShare = 1 / this.#memberCount;
		if (totalPerS === 0) {
			return equalShare;
		}

		// VMs that have not reported yet may have any demand, so their equal shares stay reserved for them.
		const knownShare = Math.min(1, (this.#peers.size + 1) * equalShare);
		return (equalShare * equalShareFraction) + ((1 - equalShareFraction) * knownShare * askedPerS / totalPerS);
	}

	/** When the last report was sent that has reached the peers; minus infinity if there was none, or if peers were silent, unknown or restarted not long ago and may not have got it. */
	#lastDeliveredReportMs(nowMs: number): number {
		if (nowMs - this.#disturbedAtMs < settleMs) {
			return Number.NEGATIVE_INFINITY;
		}

		return this.#reportsAtMs.findLast(atMs => atMs <= nowMs - deliveryMs) ?? Number.NEGATIVE_INFINITY;
	}

	#advance(nowMs: number): void {
		const {ratePerS, burst} = this.#limits;
		const elapsedS = (nowMs - this.#updatedAtMs) / 1000;
		this.#updatedAtMs = nowMs;
		let assumed = 0;
		for (const peer of this.#peers.values()) {
			if (nowMs - peer.lastHeartbeatAtMs > peerTimeoutMs) {
				this.#disturbedAtMs = nowMs;
				const assumedTokens = ratePerS * elapsedS / this.#memberCount;
				peer.assumed += assumedTokens;
				assumed += assumedTokens;
			}
		}

		let propagated = 0;
		const reportedUntilMs = Math.max(nowMs - propagationMs, this.#lastDeliveredReportMs(nowMs));
		while (propagated < this.#unpropagated.length && this.#unpropagated[propagated] <= reportedUntilMs) {
			propagated++;
		}

		this.#unpropagated.splice(0, propagated);
		this.#tokens = Math.min(burst, Math.max(-burst, this.#tokens + (ratePerS * elapsedS) - assumed - propagated));
	}
}
