import {type LoanRequest, type SliceLoan} from '@fescuewick/wire';
import {
	addAmounts, maxAmounts, minAmounts, rateAmount, subtractAmounts, zeroAmount,
} from '../amount.js';
import {type RateQuota} from '../allocator/division.js';
import {HolderLease} from '../allocator/holder-lease.js';
import {loanDebitMs, loanLifetimeMs} from '../limits.js';

/** Time after which quota is no longer kept free for a borrower's request. */
const loanRequestTtlMs = 2500;

type RecentRequest = {readonly quota: RateQuota; readonly atMs: number};

/** A lender's account of its loans to the allocators of other failure domains. */
export class LoanLedger {
	/** Leases by workspace and borrower. */
	readonly #leases = new Map<string, Map<string, HolderLease>>();
	readonly #requests = new Map<string, Map<string, RecentRequest>>();
	#sequence = 0;

	/** `debitMs` is the time after an answer for which a loan stays debited, unless its borrower confirms a smaller one. */
	constructor(private readonly debitMs = loanDebitMs) {}

	/** Sum of the quotas that borrowers have or may still receive. */
	lent(workspace: string, nowMs: number): RateQuota {
		let ratePerS = 0;
		let burst = 0;
		const leases = this.#leases.get(workspace);
		for (const [borrower, lease] of leases ?? []) {
			lease.expire(nowMs);
			if (lease.isExpired(nowMs)) {
				leases!.delete(borrower);
				continue;
			}

			ratePerS += lease.committed.ratePerS;
			burst += lease.committed.burst;
		}

		return {ratePerS, burst};
	}

	/** Sum of the quotas that borrowers requested within `loanRequestTtlMs`. */
	requested(workspace: string, nowMs: number): RateQuota {
		let ratePerS = 0;
		let burst = 0;
		for (const {quota, atMs} of this.#requests.get(workspace)?.values() ?? []) {
			if (nowMs - atMs < loanRequestTtlMs) {
				ratePerS += quota.ratePerS;
				burst += quota.burst;
			}
		}

		return {ratePerS, burst};
	}

	/** Debits the quota that a borrower reports as held; a report never justifies a loan. */
	report(borrower: string, {workspace, ratePerS, burst, held}: LoanRequest, nowMs: number): void {
		const heldAmount = rateAmount(held?.ratePerS ?? 0, held?.burst ?? 0);
		this.#leaseOf(workspace, borrower).report(held && {
			...heldAmount, epoch: 0, sequence: held.sequence, surrenderedTokens: 0,
		}, held !== undefined, heldAmount, nowMs);
		const requests = this.#requests.get(workspace) ?? new Map<string, RecentRequest>();
		this.#requests.set(workspace, requests.set(borrower, {quota: {ratePerS, burst}, atMs: nowMs}));
	}

	/** Lends at most the requested quota; beyond what the borrower already has, no more than is free. */
	lend(borrower: string, {workspace, ratePerS, burst}: LoanRequest, limit: {surplus: RateQuota; free: RateQuota}, nowMs: number): SliceLoan {
		const lease = this.#leaseOf(workspace, borrower);
		const lent = this.lent(workspace, nowMs);
		const current = lease.issued;
		const others = subtractAmounts(rateAmount(lent.ratePerS, lent.burst), lease.committed);
		const available = minAmounts(
			subtractAmounts(rateAmount(limit.surplus.ratePerS, limit.surplus.burst), others),
			addAmounts(current, maxAmounts(zeroAmount, rateAmount(limit.free.ratePerS, limit.free.burst))),
		);
		const amount = maxAmounts(zeroAmount, minAmounts(rateAmount(ratePerS, burst), available));
		const sequence = ++this.#sequence;
		lease.issue(sequence, amount, 0, nowMs + this.debitMs);
		return {
			workspace, ratePerS: amount.ratePerS, burst: amount.burst, sequence, expiresInMs: loanLifetimeMs,
		};
	}

	#leaseOf(workspace: string, borrower: string): HolderLease {
		const leases = this.#leases.get(workspace) ?? new Map<string, HolderLease>();
		this.#leases.set(workspace, leases);
		const lease = leases.get(borrower) ?? new HolderLease(this.debitMs);
		leases.set(borrower, lease);
		return lease;
	}
}
