import {type LoanBound, type LoanRequest, type SliceLoan} from '@fescuewick/wire';
import {type RateQuota} from '../allocator/division.js';
import {grantMarginMs, grantLifetimeMs} from '../limits.js';

type BorrowedLoan = RateQuota & {
	readonly sequence: number;
	readonly expiresAtMs: number;
	/** Quota last reported to the lender as held; above the loan while holders have grants made from a larger loan. */
	held: RateQuota;
};

/** A borrower's account of its loans for one workspace. */
export class BorrowedLoans {
	/** Loans by the lender's term. */
	readonly #loans = new Map<string, BorrowedLoan>();
	/** Times by which grants made from ended or reduced loans must have ended. */
	#repaymentDeadlinesMs: number[] = [];

	/** Sum of the unexpired loans. */
	inForce(nowMs: number): RateQuota {
		this.#dropExpired(nowMs);
		let ratePerS = 0;
		let burst = 0;
		for (const loan of this.#loans.values()) {
			if (nowMs < loan.expiresAtMs) {
				ratePerS += loan.ratePerS;
				burst += loan.burst;
			}
		}

		return {ratePerS, burst};
	}

	/** Whether any grant may be backed by a loan. */
	isBackingGrants(nowMs: number): boolean {
		this.#dropExpired(nowMs);
		return this.#repaymentDeadlinesMs.length > 0 || [...this.#loans.values()].some(({held}) => held.ratePerS > 0 || held.burst > 0);
	}

	/** Terms of the lenders of unexpired or unsettled loans. */
	get lenders(): string[] {
		return [...this.#loans.keys()];
	}

	/** Records a loan unless a later answer of the same lender was already recorded. */
	adopt(lender: string, loan: SliceLoan, sentAtMs: number): void {
		const known = this.#loans.get(lender);
		if (known !== undefined && loan.sequence <= known.sequence) {
			return;
		}

		if (known !== undefined && (loan.ratePerS < known.ratePerS || loan.burst < known.burst)) {
			this.#repaymentDeadlinesMs.push(known.expiresAtMs + grantLifetimeMs);
		}

		this.#loans.set(lender, {
			ratePerS: loan.ratePerS,
			burst: loan.burst,
			sequence: loan.sequence,
			expiresAtMs: sentAtMs + loan.expiresInMs,
			held: {ratePerS: Math.max(loan.ratePerS, known?.held.ratePerS ?? 0), burst: Math.max(loan.burst, known?.held.burst ?? 0)},
		});
	}

	/** Compares the loans with `beyondOwn`, the quota that holders have beyond the domain's own; once the loans cover it, no grant is backed by a loan that has ended or was larger. */
	settle(beyondOwn: RateQuota, nowMs: number): void {
		const {ratePerS, burst} = this.inForce(nowMs);
		const excess = {ratePerS: Math.max(0, beyondOwn.ratePerS - ratePerS), burst: Math.max(0, beyondOwn.burst - burst)};
		const isSettled = excess.ratePerS < roundingTolerance && excess.burst < roundingTolerance;
		if (isSettled) {
			this.#repaymentDeadlinesMs = [];
		}

		for (const [lender, loan] of this.#loans) {
			const current = nowMs < loan.expiresAtMs ? loan : {ratePerS: 0, burst: 0};
			loan.held = isSettled
				? {ratePerS: current.ratePerS, burst: current.burst}
				: {
					ratePerS: Math.max(current.ratePerS, Math.min(loan.held.ratePerS, current.ratePerS + excess.ratePerS)),
					burst: Math.max(current.burst, Math.min(loan.held.burst, current.burst + excess.burst)),
				};
			if (nowMs >= loan.expiresAtMs && (isSettled || nowMs >= loan.expiresAtMs + grantLifetimeMs + grantMarginMs)) {
				this.#loans.delete(lender);
			}
		}
	}

	/** Drops an unused loan after the lender has confirmed that nothing of it is held. */
	drop(lender: string): void {
		const loan = this.#loans.get(lender);
		if (loan?.held.ratePerS === 0 && loan.held.burst === 0) {
			this.#loans.delete(lender);
		}
	}

	/** The `held` field of a request to a lender; undefined without a loan from it. */
	heldOf(lender: string): LoanRequest['held'] {
		const loan = this.#loans.get(lender);
		return loan && {sequence: loan.sequence, ...loan.held};
	}

	/** Limit of new grants, where `own` is the domain's own quota; undefined while no grant is backed by a loan. */
	bound(own: RateQuota, nowMs: number): LoanBound | undefined {
		if (!this.isBackingGrants(nowMs)) {
			return undefined;
		}

		const inUse = [...this.#loans.values()].filter(({held}) => held.ratePerS > 0 || held.burst > 0);
		const endTimesMs = [...this.#repaymentDeadlinesMs, ...inUse.map(({expiresAtMs}) => expiresAtMs + grantLifetimeMs)];
		return {...own, endsInMs: Math.min(...endTimesMs) - nowMs};
	}

	/** Drops repayment deadlines and loans whose grants have also expired in the pool's accounts. */
	#dropExpired(nowMs: number): void {
		this.#repaymentDeadlinesMs = this.#repaymentDeadlinesMs.filter(endsAtMs => nowMs < endsAtMs + grantMarginMs);
		for (const [lender, loan] of this.#loans) {
			if (nowMs >= loan.expiresAtMs + grantLifetimeMs + grantMarginMs) {
				this.#loans.delete(lender);
			}
		}
	}
}

/** Smaller differences are rounding errors. */
const roundingTolerance = 1e-9;
