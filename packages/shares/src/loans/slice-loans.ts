import {type PauseDetector, type TimerService} from '@fescuewick/core';
import {type PeerNetwork} from '@fescuewick/membership';
import {
	MessageType, type LoanBound, type LoanRequest, type SliceLoanBody, type SliceLoansBody,
} from '@fescuewick/wire';
import {type RateQuota} from '../allocator/division.js';
import {type SliceManager} from '../slices/slice-manager.js';
import {BorrowedLoans} from './borrowed-loans.js';
import {LoanLedger} from './loan-ledger.js';

/** Interval of requests for loans, and while they change. */
const loanRenewalIntervalMs = 1000;
const loanChangeIntervalMs = 500;
/** Less than the interval of renewals, so that a lost answer does not hold back the next request. */
const loanTimeoutMs = 800;
/** Least surplus of a lender, as a part of a workspace's rate. */
const minSurplusFraction = 0.005;
/** Part of a workspace's rate that a domain must lack before it borrows. */
const minShortageFraction = 0.04;

const zeroQuota: RateQuota = {ratePerS: 0, burst: 0};

/** What the loans of one bucket need. */
export type SliceLoansOptions = {
	readonly bucket: number;
	readonly peers: PeerNetwork;
	readonly timers: TimerService;
	readonly pauses: PauseDetector;
	readonly sliceManager: SliceManager;
	/** Text form of this term as allocator. */
	readonly term: () => string;
	readonly workspaces: () => string[];
	/** Whether this allocator knows all grants and loans of its slices. */
	readonly ownsSlices: () => boolean;
	/** What the holders of the domain have or may receive. */
	readonly committedToHolders: (workspace: string) => RateQuota;
	/** Called when the sizes have changed. */
	readonly onResize: () => void;
	/** Replaces the time for which loans count, for tests that must fail. */
	readonly debitMs?: number;
};

type LenderRequest = {readonly vm: string; readonly loans: LoanRequest[]};

/** Loans of one bucket between failure domains: debited by the lender before the borrower uses them. */
export class SliceLoans {
	readonly #options: SliceLoansOptions;
	readonly #ledger: LoanLedger;
	readonly #borrowed = new Map<string, BorrowedLoans>();
	/** Term of the lender of each domain that lent last. */
	readonly #lenderOf = new Map<string, string>();
	readonly #pendingDomains = new Set<string>();
	/** Workspaces whose loans differ from what is wanted. */
	readonly #changing = new Set<string>();
	#nextRequestAtMs = 0;

	constructor(options: SliceLoansOptions) {
		this.#options = options;
		this.#ledger = new LoanLedger(options.debitMs);
	}

	get known(): boolean {
		return this.#options.sliceManager.known;
	}

	/** Whether any grant may rest on a loan of another domain. */
	get isBorrowing(): boolean {
		return [...this.#borrowed.values()].some(loans => loans.isActive(this.#nowMs));
	}

	/** What the domain may use of a workspace: its slice without what it has lent, and what it has borrowed. */
	sizeOf(workspace: string): RateQuota {
		return addQuotas(this.#ownOf(workspace), this.#inForce(workspace));
	}

	grantableOf(workspace: string): RateQuota {
		const {sliceManager} = this.#options;
		const nowMs = this.#nowMs;
		const size = sliceManager.sizeOf(workspace);
		const lent = this.#ledger.lent(workspace, nowMs);
		const requested = this.#ledger.requested(workspace, nowMs);
		const surplus = requested.ratePerS > 0 || requested.burst > 0 ? this.#surplusOf(workspace) : zeroQuota;
		const own = sliceManager.grantableOf(workspace);
		// What a borrower waits for is recalled from the holders.
		return addQuotas(this.#inForce(workspace), {
			ratePerS: Math.max(0, Math.min(own.ratePerS, size.ratePerS - Math.max(lent.ratePerS, Math.min(requested.ratePerS, surplus.ratePerS)))),
			burst: Math.max(0, Math.min(own.burst, size.burst - Math.max(lent.burst, Math.min(requested.burst, surplus.burst)))),
		});
	}

	/** The limit of grants; undefined while nothing rests on a loan. */
	boundOf(workspace: string): LoanBound | undefined {
		return this.#borrowed.get(workspace)?.bound(this.#ownOf(workspace), this.#nowMs);
	}

	/** Whether loans of the workspace are about to change, so that holders should renew ahead of the regular interval. */
	isChangePending(workspace: string): boolean {
		const requestedPerS = this.#ledger.requested(workspace, this.#nowMs).ratePerS;
		return this.#changing.has(workspace) || (requestedPerS > 0 && Math.min(requestedPerS, this.#surplusOf(workspace).ratePerS) > this.#ledger.lent(workspace, this.#nowMs).ratePerS * 1.05);
	}

	/** Settles loans that have ended, and asks for loans while slices cannot move. */
	tick(): void {
		const {onResize, committedToHolders} = this.#options;
		const nowMs = this.#nowMs;
		for (const [workspace, loans] of this.#borrowed) {
			const own = this.#ownOf(workspace);
			const {ratePerS, burst} = committedToHolders(workspace);
			loans.settle({ratePerS: ratePerS - own.ratePerS, burst: burst - own.burst}, nowMs);
			if (loans.lenders.length === 0 && !loans.isActive(nowMs)) {
				this.#borrowed.delete(workspace);
			}
		}

		if (this.#borrowed.size > 0) {
			onResize();
		}

		if (nowMs >= this.#nextRequestAtMs && this.#options.ownsSlices()) {
			const requests = this.#plan();
			this.#nextRequestAtMs = nowMs + (this.#changing.size > 0 ? loanChangeIntervalMs : loanRenewalIntervalMs);
			for (const [domain, request] of requests) {
				void this.#requestLoans(domain, request);
			}
		}
	}

	/** Answers another domain's allocator; what is lent is debited before the answer is sent. */
	grantLoans({borrower, loans}: SliceLoanBody): SliceLoansBody {
		const {term, ownsSlices, sliceManager, committedToHolders, onResize} = this.#options;
		if (!ownsSlices() || !this.known) {
			return {lender: '', loans: []};
		}

		const nowMs = this.#nowMs;
		const granted = loans.map(request => {
			this.#ledger.report(borrower, request, nowMs);
			const size = sliceManager.sizeOf(request.workspace);
			const free = subtractQuotas(subtractQuotas(size, committedToHolders(request.workspace)), this.#ledger.lent(request.workspace, nowMs));
			return this.#ledger.lend(borrower, request, {surplus: this.#surplusOf(request.workspace), free}, nowMs);
		});
		onResize();
		return {lender: term(), loans: granted};
	}

	get #nowMs(): number {
		return this.#options.timers.nowMs();
	}

	#ownOf(workspace: string): RateQuota {
		return subtractQuotas(this.#options.sliceManager.sizeOf(workspace), this.#ledger.lent(workspace, this.#nowMs));
	}

	#inForce(workspace: string): RateQuota {
		return this.#borrowed.get(workspace)?.inForce(this.#nowMs) ?? zeroQuota;
	}

	/** The part of the slice beyond the domain's own target. */
	#surplusOf(workspace: string): RateQuota {
		const {sliceManager, peers} = this.#options;
		const target = sliceManager.distributionOf(workspace)?.targets.get(peers.self.failureDomain);
		const {ratePerS, burst} = sliceManager.sizeOf(workspace);
		return target === undefined ? zeroQuota : {ratePerS: Math.max(0, ratePerS - target.ratePerS), burst: Math.max(0, burst - target.burst)};
	}

	/** Requests by domain: what is wanted now, and what is to be given back. */
	#plan(): Map<string, LenderRequest> {
		const {sliceManager, workspaces} = this.#options;
		const requests = new Map<string, LenderRequest>();
		const allocators = new Map(sliceManager.otherAllocators.map(({domain, vm}) => [domain, vm]));
		this.#changing.clear();
		for (const workspace of new Set([...workspaces(), ...this.#borrowed.keys()])) {
			const wanted = sliceManager.reachable ? new Map<string, RateQuota>() : this.#wantedOf(workspace);
			for (const [domain, vm] of allocators) {
				const held = this.#borrowed.get(workspace)?.heldOf(this.#lenderOf.get(domain) ?? '');
				const part = wanted.get(domain) ?? zeroQuota;
				if (part.ratePerS > 0 || part.burst > 0 || held !== undefined) {
					const request = requests.get(domain) ?? {vm, loans: []};
					request.loans.push({workspace, ...part, ...(held === undefined ? {} : {held})});
					requests.set(domain, request);
				}

				const heldPerS = held?.ratePerS ?? 0;
				if (part.ratePerS > heldPerS * 1.05 || heldPerS > part.ratePerS * 1.05) {
					this.#changing.add(workspace);
				}
			}
		}

		return requests;
	}

	/** What this domain lacks of a workspace, divided over the domains with a surplus. */
	#wantedOf(workspace: string): Map<string, RateQuota> {
		const {sliceManager, peers} = this.#options;
		const self = peers.self.failureDomain;
		const distribution = sliceManager.distributionOf(workspace);
		const wanted = new Map<string, RateQuota>();
		if (distribution === undefined) {
			return wanted;
		}

		const {slices, targets, total} = distribution;
		const lacks = (domain: string) => subtractQuotas(targets.get(domain) ?? zeroQuota, slices[domain] ?? zeroQuota);
		const own = lacks(self);
		if (own.ratePerS <= minShortageFraction * total.ratePerS) {
			return wanted;
		}

		const lenders = Object.keys(slices).filter(domain => domain !== self).map(domain => ({domain, part: lacks(domain)}));
		let ratePerS = 0;
		let burst = 0;
		for (const {part} of lenders) {
			ratePerS += Math.max(0, -part.ratePerS);
			burst += Math.max(0, -part.burst);
		}

		for (const {domain, part} of lenders) {
			if (-part.ratePerS > minSurplusFraction * total.ratePerS) {
				wanted.set(domain, {
					ratePerS: own.ratePerS * -part.ratePerS / ratePerS,
					burst: burst > 0 ? Math.max(0, own.burst) * Math.max(0, -part.burst) / burst : 0,
				});
			}
		}

		return wanted;
	}

	async #requestLoans(domain: string, {vm, loans}: LenderRequest): Promise<void> {
		const {bucket, peers, pauses, term} = this.#options;
		if (this.#pendingDomains.has(domain)) {
			return;
		}

		this.#pendingDomains.add(domain);
		const sentAtMs = this.#nowMs;
		try {
			const reply = await peers.request(vm, MessageType.sliceLoan, {bucket, borrower: term(), loans}, loanTimeoutMs);
			// A pause ends the term, and with it the use of loans.
			if (pauses.check() && sentAtMs >= pauses.lastPauseEndMs && reply.lender !== '') {
				this.#adoptLoans(domain, loans, reply, sentAtMs);
			}
		} catch {
			// Without an answer, loans end at their expiry.
		} finally {
			this.#pendingDomains.delete(domain);
		}
	}

	#adoptLoans(domain: string, requests: readonly LoanRequest[], {lender, loans}: SliceLoansBody, sentAtMs: number): void {
		this.#lenderOf.set(domain, lender);
		for (const loan of loans) {
			const borrowed = this.#borrowed.get(loan.workspace) ?? new BorrowedLoans();
			this.#borrowed.set(loan.workspace, borrowed);
			borrowed.adopt(lender, loan, sentAtMs);
			const request = requests.find(({workspace}) => workspace === loan.workspace);
			if (request?.held !== undefined && isZero(request.held) && isZero(request)) {
				// The lender knows that nothing of its loan is in use.
				borrowed.drop(lender);
			}
		}

		this.#options.onResize();
	}
}

function isZero({ratePerS, burst}: RateQuota): boolean {
	return ratePerS === 0 && burst === 0;
}

function addQuotas(first: RateQuota, second: RateQuota): RateQuota {
	return {ratePerS: first.ratePerS + second.ratePerS, burst: first.burst + second.burst};
}

function subtractQuotas(first: RateQuota, second: RateQuota): RateQuota {
	return {ratePerS: first.ratePerS - second.ratePerS, burst: first.burst - second.burst};
}
