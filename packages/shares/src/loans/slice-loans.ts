import {type PauseDetector, type TimerService} from '@fescuewick/core';
import {type PeerNetwork} from '@fescuewick/membership';
import {
	MessageType, type LoanBound, type LoanRequest, type SliceLoanBody, type SliceLoansBody,
} from '@fescuewick/wire';
import {type RateQuota} from '../allocator/division.js';
import {type SliceManager} from '../slices/slice-manager.js';
import {BorrowedLoans} from './borrowed-loans.js';
import {LoanLedger} from './loan-ledger.js';

/** Interval of loan requests while loans are stable. */
const loanRenewalIntervalMs = 1000;
/** Interval of loan requests while loans are changing. */
const loanChangeIntervalMs = 500;
/** Below the renewal interval, so that a lost answer does not delay the next request. */
const loanTimeoutMs = 800;
/** Minimum surplus of a domain for a loan to be requested from it, as a fraction of the workspace's rate. */
const minSurplusFraction = 0.005;
/** Minimum shortage for a domain to borrow, as a fraction of the workspace's rate. */
const minShortageFraction = 0.04;

const zeroQuota: RateQuota = {ratePerS: 0, burst: 0};

/** Options of the loans of one bucket. */
export type SliceLoansOptions = {
	readonly bucket: number;
	readonly peers: PeerNetwork;
	readonly timers: TimerService;
	readonly pauses: PauseDetector;
	readonly sliceManager: SliceManager;
	/** Text form of this allocator's term: incarnation and epoch. */
	readonly term: () => string;
	readonly workspaces: () => string[];
	/** Whether this allocator's accounts include all grants and loans of its slices. */
	readonly ownsSlices: () => boolean;
	/** Sum of the quotas that the domain's holders have or may still receive. */
	readonly committedToHolders: (workspace: string) => RateQuota;
	/** Called when the sizes of pools may have changed. */
	readonly onResize: () => void;
	/** Overrides the time for which a lender debits a loan, for tests that expect a violation. */
	readonly debitMs?: number;
};

type LenderRequest = {readonly vm: string; readonly loans: LoanRequest[]};

/** Loans of one bucket between failure domains; the lender debits a loan before the borrower can use it. */
export class SliceLoans {
	readonly #options: SliceLoansOptions;
	readonly #ledger: LoanLedger;
	readonly #borrowed = new Map<string, BorrowedLoans>();
	/** Term of the last lender, by domain. */
	readonly #lenderOf = new Map<string, string>();
	/** Domains with a loan request in flight. */
	readonly #pendingDomains = new Set<string>();
	/** Workspaces whose loans differ from the wanted ones. */
	readonly #changing = new Set<string>();
	#nextRequestAtMs = 0;

	constructor(options: SliceLoansOptions) {
		this.#options = options;
		this.#ledger = new LoanLedger(options.debitMs);
	}

	get known(): boolean {
		return this.#options.sliceManager.known;
	}

	/** Whether any grant may be backed by a loan from another domain. */
	get isBackingGrants(): boolean {
		return [...this.#borrowed.values()].some(loans => loans.isBackingGrants(this.#nowMs));
	}

	/** Usable quota of a workspace: the slice, minus loans to other domains, plus loans from them. */
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
		// Quota that borrowers have requested is recalled from the holders.
		return addQuotas(this.#inForce(workspace), {
			ratePerS: Math.max(0, Math.min(own.ratePerS, size.ratePerS - Math.max(lent.ratePerS, Math.min(requested.ratePerS, surplus.ratePerS)))),
			burst: Math.max(0, Math.min(own.burst, size.burst - Math.max(lent.burst, Math.min(requested.burst, surplus.burst)))),
		});
	}

	/** Limit of new grants; undefined while no grant is backed by a loan. */
	boundOf(workspace: string): LoanBound | undefined {
		return this.#borrowed.get(workspace)?.bound(this.#ownOf(workspace), this.#nowMs);
	}

	/** Whether loans of the workspace are about to change, so that holders should renew ahead of the regular interval. */
	isChangePending(workspace: string): boolean {
		const requestedPerS = this.#ledger.requested(workspace, this.#nowMs).ratePerS;
		return this.#changing.has(workspace) || (requestedPerS > 0 && Math.min(requestedPerS, this.#surplusOf(workspace).ratePerS) > this.#ledger.lent(workspace, this.#nowMs).ratePerS * 1.05);
	}

	/** Settles ended loans and sends loan requests that are due; new loans are requested only while the store is unreachable, because slices cannot move then. */
	tick(): void {
		const {onResize, committedToHolders} = this.#options;
		const nowMs = this.#nowMs;
		for (const [workspace, loans] of this.#borrowed) {
			const own = this.#ownOf(workspace);
			const {ratePerS, burst} = committedToHolders(workspace);
			loans.settle({ratePerS: ratePerS - own.ratePerS, burst: burst - own.burst}, nowMs);
			if (loans.lenders.length === 0 && !loans.isBackingGrants(nowMs)) {
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

	/** Answers the loan request of another domain's allocator; loans are debited before the answer is sent. */
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

	/** Quota of the slice beyond the domain's own target. */
	#surplusOf(workspace: string): RateQuota {
		const {sliceManager, peers} = this.#options;
		const target = sliceManager.distributionOf(workspace)?.targets.get(peers.self.failureDomain);
		const {ratePerS, burst} = sliceManager.sizeOf(workspace);
		return target === undefined ? zeroQuota : {ratePerS: Math.max(0, ratePerS - target.ratePerS), burst: Math.max(0, burst - target.burst)};
	}

	/** Loan requests by lending domain; a request for less than is held returns the difference. */
	#plan(): Map<string, LenderRequest> {
		const {sliceManager, workspaces} = this.#options;
		const requests = new Map<string, LenderRequest>();
		const allocators = new Map(sliceManager.otherAllocators.map(({domain, vm}) => [domain, vm]));
		this.#changing.clear();
		for (const workspace of new Set([...workspaces(), ...this.#borrowed.keys()])) {
			const wanted = sliceManager.reachable ? new Map<string, RateQuota>() : this.#wantedOf(workspace);
			for (const [domain, vm] of allocators) {
				const held = this.#borrowed.get(workspace)?.heldOf(this.#lenderOf.get(domain) ?? '');
				const quota = wanted.get(domain) ?? zeroQuota;
				if (quota.ratePerS > 0 || quota.burst > 0 || held !== undefined) {
					const request = requests.get(domain) ?? {vm, loans: []};
					request.loans.push({workspace, ...quota, ...(held === undefined ? {} : {held})});
					requests.set(domain, request);
				}

				const heldPerS = held?.ratePerS ?? 0;
				if (quota.ratePerS > heldPerS * 1.05 || heldPerS > quota.ratePerS * 1.05) {
					this.#changing.add(workspace);
				}
			}
		}

		return requests;
	}

	/** Quota to borrow from each domain: the shortage of this domain, divided in proportion to the surplus of the others. */
	#wantedOf(workspace: string): Map<string, RateQuota> {
		const {sliceManager, peers} = this.#options;
		const self = peers.self.failureDomain;
		const distribution = sliceManager.distributionOf(workspace);
		const wanted = new Map<string, RateQuota>();
		if (distribution === undefined) {
			return wanted;
		}

		const {slices, targets, total} = distribution;
		const shortageOf = (domain: string) => subtractQuotas(targets.get(domain) ?? zeroQuota, slices[domain] ?? zeroQuota);
		const ownShortage = shortageOf(self);
		if (ownShortage.ratePerS <= minShortageFraction * total.ratePerS) {
			return wanted;
		}

		const lenders = Object.keys(slices).filter(domain => domain !== self).map(domain => ({domain, shortage: shortageOf(domain)}));
		let ratePerS = 0;
		let burst = 0;
		for (const {shortage} of lenders) {
			ratePerS += Math.max(0, -shortage.ratePerS);
			burst += Math.max(0, -shortage.burst);
		}

		for (const {domain, shortage} of lenders) {
			if (-shortage.ratePerS > minSurplusFraction * total.ratePerS) {
				wanted.set(domain, {
					ratePerS: ownShortage.ratePerS * -shortage.ratePerS / ratePerS,
					burst: burst > 0 ? Math.max(0, ownShortage.burst) * Math.max(0, -shortage.burst) / burst : 0,
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
			// A pause ends the term and the use of its loans, so an answer to a request from before the pause is dropped.
			if (pauses.check() && sentAtMs >= pauses.lastPauseEndMs && reply.lender !== '') {
				this.#adoptLoans(domain, loans, reply, sentAtMs);
			}
		} catch {
			// Without an answer, loans end when they expire.
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
				// The lender has received the report that nothing of its loan is held.
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
