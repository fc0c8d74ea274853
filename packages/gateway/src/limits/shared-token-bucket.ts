import {removeUntil} from './ascending-times.js';
import {type BucketMembers} from './bucket-members.js';
import {BorrowedTokens} from './borrowed-tokens.js';
import {pooledFraction} from './pooled-fraction.js';

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
/** Time without a heartbeat after which a peer is silent: it is assumed to admit its equal share. */
export const peerTimeoutMs = 1750;
/** A VM that hears less than this fraction of the members is cut off or was frozen. */
const minorityFraction = 0.5;
/** Fraction of the tolerance that VMs may use before they know of each other's requests; the remainder covers differences between their estimates. */
const toleranceFraction = 0.6;
/** Fraction of the tokens that is divided equally, so that a VM with new demand has tokens immediately; the rest is divided in proportion to demand. */
const equalShareFraction = 0.6;
/** Fraction of a pool above which grants that peers may not know of are reported to the owners of the other pools before the next heartbeat; at a half, random demand of 0.9 of the rate lost 0.7 % at 300 VMs, at a third the reports cost half as much again. */
const maxUnreportedFraction = 0.4;
/** Fraction of the burst below which such reports are not sent, because a workspace over its rate would cause them all the time. */
const minReportedTokensFraction = 0.5;

/** Multiples of it, modulo 1, are evenly distributed. */
const goldenRatio = 0.618_034;

type Peer = {
	incarnation: number;
	passed: number;
	askedPerS: number;
	isSilent: boolean;
};

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
	#members: BucketMembers = {vms: new Set(['']), silent: new Set(), lastHeardAtMs: Number.NEGATIVE_INFINITY};
	/** Fraction of the members that are not silent; only their part of the limits counts here. */
	#presentFraction = 1;
	/** Admission times of requests that peers may not know of yet. */
	readonly #unpropagated: number[] = [];
	/** Times of grants to VMs of the failure domain that peers may not know of yet; they are included in `#passed`. */
	readonly #grants: number[] = [];
	/** Fraction of the tokens that the pool's owner may grant; undefined until it is needed after an update. */
	#poolShare: number | undefined;
	readonly #borrowed = new BorrowedTokens();
	/** Number of requests that silent VMs are assumed to have admitted. It is kept for all of them, because the owner of a pool counts the requests of its failure domain. */
	#assumed = 0;
	/** Peers whose estimate is adopted once if it is higher: this VM was cut off from them or frozen, and its own estimate covers only its part. */
	#adoptFrom: ReadonlySet<string> = new Set();
	/** Number of grants that the pool allowed when it was asked last. */
	#allowedGrants = 0;
	/** When reports were sent to all peers within the longest propagation time. */
	#reportsAtMs: number[] = [];
	/** When a peer was silent, unknown or restarted last. */
	#disturbedAtMs: number;
	readonly #peers = new Map<string, Peer>();

	/** `phase`, in [0, 1), differs between VMs, so that they do not round up at the same time. */
	constructor(limits: BucketLimits, nowMs: number, phase: number) {
		this.#phase = phase;
		this.#limits = limits;
		// After a restart of all VMs, the tokens and the tolerance may just have been used up; a start takes about a second.
		this.#tokens = -Math.min(limits.ratePerS, limits.toleranceCount * toleranceFraction);
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
		// Requests that a peer admitted long before its first report here are already subtracted from the token estimates that peers report; only those of its present demand are not.
		const passed = known === undefined ? Math.min(report.passed, Math.ceil(report.askedPerS * propagationMs / 1000)) : Math.max(0, report.passed - before);
		const assumed = known?.isSilent === true ? Math.min(passed, this.#assumed) : 0;
		this.#assumed -= assumed;
		this.#tokens -= passed - assumed;
		if (known === undefined && passed < report.passed) {
			this.#disturbedAtMs = nowMs;
		}

		if (!this.#isEstimated && report.tokens !== undefined) {
			this.#tokens = report.tokens;
			this.#isEstimated = true;
		}

		if (report.tokens !== undefined && this.#adoptFrom.has(vm)) {
			this.#tokens = Math.max(this.#tokens, report.tokens);
			this.#adoptFrom = new Set();
		}

		// A report may arrive after a later one that took another way.
		this.#peers.set(vm, {
			incarnation, passed: Math.max(report.passed, before), askedPerS: report.askedPerS, isSilent: false,
		});
	}

	/** Applies a heartbeat without a report: the peer admitted nothing since its last one. */
	applyUnchanged(vm: string, incarnation: number): void {
		const known = this.#peers.get(vm);
		if (known === undefined) {
			return;
		}

		// Hot path: called for most workspaces of each heartbeat, 4,000 times per second with 72 workspaces and 60 VMs.
		if (known.incarnation === incarnation) {
			known.isSilent = false;
		} else {
			this.#peers.set(vm, {
				incarnation, passed: 0, askedPerS: 0, isSilent: false,
			});
		}
	}

	/** Records that a peer is new or was restarted, and may not have got the last reports. */
	recordDisturbance(nowMs: number): void {
		this.#disturbedAtMs = nowMs;
	}

	/** Advances the estimate to `nowMs` and applies the present members. Peers that are no members are removed. Sets of VMs that did not change are to be the same objects, since this is called often. */
	update(members: BucketMembers, nowMs: number): void {
		this.#advance(nowMs);
		const {vms, silent} = members;
		const before = this.#presentFraction;
		const after = (vms.size - silent.size) / vms.size;
		const isOverRate = after < before && this.isOverRate(0);
		if (vms !== this.#members.vms || silent !== this.#members.silent) {
			this.#markPeers(vms, silent);
		}

		const silentBefore = this.#members.silent;
		this.#members = members;
		this.#presentFraction = after;
		this.#poolShare = undefined;
		if (before < minorityFraction && after > before) {
			this.#adoptFrom = silentBefore;
		}

		if (silent.size > 0) {
			this.#disturbedAtMs = nowMs;
		}

		if (silent.size === 0) {
			this.#assumed = 0;
		} else if (after < before) {
			// Silent VMs that are cut off spend their part of the tokens, and did so since their last heartbeat if the workspace is over its rate.
			const tokens = Math.max(0, this.#tokens);
			const spent = this.#limits.ratePerS * peerTimeoutMs / 1000 * (before - after);
			this.#assumed += (tokens * (1 - (after / before))) + spent;
			this.#tokens = Math.min(this.#tokens, Math.max(0, (tokens * after / before) - (isOverRate ? spent : 0)));
		}
	}

	/** Makes this VM's own estimate final; estimates of peers are ignored from now on. */
	finalizeEstimate(): void {
		this.#isEstimated = true;
	}

	/** Takes a token for a request; returns 0 if it is admitted, else the retry delay in milliseconds. Without a usable pool (`isPooled`), the VM uses its whole share. */
	take(askedPerS: number, nowMs: number, isPooled = false): number {
		this.#advance(nowMs);
		if (this.#borrowed.takeReturned(nowMs - propagationMs)) {
			return 0;
		}

		const pooledFraction = isPooled ? this.pooledFraction : 0;
		// Cut to whole requests, the allowances of many VMs would leave most of a few tokens unused; rounded up in turns, they add up to the whole.
		const allowed = (this.allowance(askedPerS) * (1 - pooledFraction)) + (pooledFraction < 1 ? this.#roundingOffset(nowMs) : 0);
		// In a large fleet, one request at each VM would exceed the tokens left.
		const minimum = this.#tokens > 0 && this.#pooledFractionOf() === 0 ? 1 : 0;
		if (this.#unpropagated.length + 1 > Math.max(allowed, minimum)) {
			return 1000 * Math.max(1, 1 - this.#tokens) / Math.max(1, this.#limits.ratePerS * this.#shareOf(askedPerS));
		}

		this.#passed++;
		this.#unpropagated.push(nowMs);
		return 0;
	}

	/** Records an admission with a token of the pool, which the pool's owner has counted. */
	recordBorrowed(nowMs: number): void {
		this.#borrowed.add(nowMs);
	}

	/** Grants a token of the pool and counts it as an admission of this VM, the pool's owner; false if the pool has none left. */
	grant(askedPerS: number, nowMs: number): boolean {
		this.#advance(nowMs);
		this.#poolShare ??= this.#findPoolShare(askedPerS);
		this.#allowedGrants = (this.#poolShare * this.#spendable * this.pooledFraction) + this.#roundingOffset(nowMs);
		if (this.#tokens <= 0 || this.#grants.length + 1 > this.#allowedGrants) {
			return false;
		}

		this.#passed++;
		this.#grants.push(nowMs);
		return true;
	}

	/** The number of requests to report to the owners of the other pools before the next heartbeat; undefined if the pool has enough tokens left until then, or if the workspace is near the end of its tokens anyway. */
	passedToReport(): number | undefined {
		const isDue = this.pooledFraction === 1 && this.#tokens > this.#limits.burst * minReportedTokensFraction && this.#grants.length > this.#allowedGrants * maxUnreportedFraction;
		return isDue ? this.#passed : undefined;
	}

	/** Applies the number of requests that the owner of another pool has admitted; false if it cannot be compared with an earlier number of the same process. */
	applyPassed(vm: string, incarnation: number, passed: number): boolean {
		const known = this.#peers.get(vm);
		if (known?.incarnation !== incarnation || known.isSilent) {
			return false;
		}

		const added = Math.max(0, passed - known.passed);
		this.#tokens -= added;
		known.passed += added;
		return true;
	}

	/** Records that the owners of all other pools know of the grants up to `untilMs`. */
	confirmGrants(untilMs: number): void {
		this.#tokens -= removeUntil(this.#grants, untilMs);
	}

	/** Whether this VM's estimate has tokens. */
	get hasTokens(): boolean {
		return this.#tokens > 0;
	}

	/** Fraction of each share that is pooled. */
	get pooledFraction(): number {
		return this.#members.poolMembers === undefined ? 0 : this.#pooledFractionOf();
	}

	/**
	Returns the token of an admitted request that did not run.

	Has no effect while the workspace's demand exceeds its rate: requests that found no server would be replaced by others immediately, and the excess would crowd out workspaces that keep to their rates.
	*/
	refund(askedPerS: number): void {
		if (this.isOverRate(askedPerS)) {
			return;
		}

		if (this.#unpropagated.pop() === undefined) {
			// The owner has counted a token of the pool, so it serves another request of this VM.
			this.#borrowed.giveBack();
		} else {
			this.#passed--;
		}
	}

	/** Whether the demand over all VMs exceeds the rate; `askedPerS` is the demand at this VM. */
	isOverRate(askedPerS: number): boolean {
		return this.#totalAskedPerS(askedPerS) > this.#limits.ratePerS * this.#presentFraction;
	}

	/** Number of requests that this VM may admit before its peers know of them. */
	allowance(askedPerS: number): number {
		return this.#shareOf(askedPerS) * this.#spendable;
	}

	report(askedPerS: number): BucketReport {
		return {passed: this.#passed, askedPerS, tokens: this.#isEstimated ? this.#tokens - this.#unpropagated.length - this.#grants.length : undefined};
	}

	/** Records that a report was sent to all peers. */
	recordReport(nowMs: number): void {
		// Older reports say no more than the longest propagation time.
		this.#reportsAtMs = [...this.#reportsAtMs.filter(atMs => atMs > nowMs - propagationMs), nowMs];
	}

	/** Number of requests that all VMs may admit before they know of each other's. */
	get #spendable(): number {
		return spendableTokens(Math.max(0, this.#tokens), this.#limits.toleranceCount * this.#presentFraction);
	}

	#pooledFractionOf(): number {
		return pooledFraction(spendableTokens(this.#limits.burst, this.#limits.toleranceCount) / this.#members.vms.size);
	}

	/** Removes peers that are no members and marks silent ones. */
	#markPeers(vms: ReadonlySet<string>, silent: ReadonlySet<string>): void {
		for (const [vm, peer] of this.#peers) {
			if (!vms.has(vm)) {
				this.#peers.delete(vm);
			} else if (silent.has(vm)) {
				peer.isSilent = true;
			}
		}
	}

	/** Sum of the shares of this VM and of the pool's other members. */
	#findPoolShare(askedPerS: number): number {
		let share = this.#shareOf(askedPerS);
		const totalPerS = this.#totalAskedPerS(askedPerS);
		for (const vm of this.#members.poolMembers ?? []) {
			share += this.#shareOf(this.#peers.get(vm)?.askedPerS ?? 0, totalPerS);
		}

		return share;
	}

	/** Demand over all VMs in requests per second; `askedPerS` is that of this VM. */
	#totalAskedPerS(askedPerS: number): number {
		let totalPerS = askedPerS;
		for (const peer of this.#peers.values()) {
			totalPerS += peer.isSilent ? 0 : peer.askedPerS;
		}

		return totalPerS;
	}

	/** Added to the allowance before it is cut to whole requests: in [0, 1), another value in each propagation interval, evenly distributed. */
	#roundingOffset(nowMs: number): number {
		const interval = Math.floor((nowMs / propagationMs) + this.#phase);
		return ((interval * goldenRatio) + this.#phase) % 1;
	}

	#shareOf(askedPerS: number, totalPerS = this.#totalAskedPerS(askedPerS)): number {
		const equalShare = 1 / Math.max(1, this.#members.vms.size * this.#presentFraction);
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

		// A VM that has heard nobody since a report may be cut off.
		return this.#reportsAtMs.findLast(atMs => atMs <= nowMs - deliveryMs && atMs < this.#members.lastHeardAtMs) ?? Number.NEGATIVE_INFINITY;
	}

	#advance(nowMs: number): void {
		const ratePerS = this.#limits.ratePerS * this.#presentFraction;
		const burst = this.#limits.burst * this.#presentFraction;
		const elapsedS = (nowMs - this.#updatedAtMs) / 1000;
		this.#updatedAtMs = nowMs;
		this.#assumed += (this.#limits.ratePerS - ratePerS) * elapsedS;
		const reportedUntilMs = Math.max(nowMs - propagationMs, this.#lastDeliveredReportMs(nowMs));
		const propagated = removeUntil(this.#unpropagated, reportedUntilMs) + removeUntil(this.#grants, reportedUntilMs);
		this.#tokens = Math.min(burst, Math.max(-this.#limits.burst, this.#tokens + (ratePerS * elapsedS) - propagated));
	}
}

/** Number of requests that all VMs may admit before they know of each other's if `tokens` are left. */
function spendableTokens(tokens: number, toleranceCount: number): number {
	return tokens + Math.min(tokens, toleranceCount * toleranceFraction);
}
