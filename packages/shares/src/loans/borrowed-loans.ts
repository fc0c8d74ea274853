import {type LoanBound, type LoanRequest, type SliceLoan} from '@fescuewick/wire';
import {type RateQuota} from '../allocator/division.js';
import {grantMarginMs, grantMs} from '../limits.js';

type BorrowedLoan = RateQuota & {
	readonly sequence: number;
	readonly expiresAtMs: number;
	/** What was reported as held last; more than the loan while holders have grants from a larger one. */
	held: RateQuota;
};

/** The borrower's account of its loans of one workspace. */
export class BorrowedLoans {
	/** Loans by term of the lender. */
	readonly #loans = new Map<string, BorrowedLoan>();
	/** Moments by which the grants from loans that ended or shrank must be over. */
	#repaymentDeadlinesMs: number[] = [];

	/** The sum of the loans in force. */
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

	/** Whether anything may rest on a loan. */
	isActive(nowMs: number): boolean {
		this.#dropExpired(nowMs);
		return this.#repaymentDeadlinesMs.length > 0 || [...this.#loans.values()].some(({held}) => held.ratePerS > 0 || held.burst > 0);
	}

	/** Terms of lenders with a loan that is in force or not settled. */
	get lenders(): string[] {
		return [...this.#loans.keys()];
	}

	/** Takes up a loan; an answer that was overtaken by a later one is dropped. */
	adopt(lender: string, loan: SliceLoan, sentAtMs: number): void {
		const known = this.#loans.get(lender);
		if (known !== undefined && loan.sequence <= known.sequence) {
			return;
		}

		if (known !== undefined && (loan.ratePerS < known.ratePerS || loan.burst < known.burst)) {
			this.#repaymentDeadlinesMs.push(known.expiresAtMs + grantMs);
		}

		this.#loans.set(lender, {
			ratePerS: loan.ratePerS,
			burst: loan.burst,
			sequence: loan.sequence,
			expiresAtMs: sentAtMs + loan.expiresInMs,
			held: {ratePerS: Math.max(loan.ratePerS, known?.held.ratePerS ?? 0), burst: Math.max(loan.burst, known?.held.burst ?? 0)},
		});
	}

	/** Compares the loans with what holders have beyond the domain's own part; once that is covered, nothing rests on former loans. */
	settle(beyondOwn: RateQuota, nowMs: number): void {
		const {ratePerS, burst} = this.inForce(nowMs);
		const excess = {ratePerS: Math.max(0, beyondOwn.ratePerS - ratePerS), burst: Math.max(0, beyondOwn.burst - burst)};
		const isSettled = excess.ratePerS < roundingTolerance && excess.burst < roundingTolerance;
		if (isSettled) {
			this.#repaymentDeadlinesMs = [];
		}

		for (const [lender, loan] of this.#loans) {
			const own = nowMs < loan.expiresAtMs ? loan : {ratePerS: 0, burst: 0};
			loan.held = isSettled
				? {ratePerS: own.ratePerS, burst: own.burst}
				: {
					ratePerS: Math.max(own.ratePerS, Math.min(loan.held.ratePerS, own.ratePerS + excess.ratePerS)),
					burst: Math.max(own.burst, Math.min(loan.held.burst, own.burst + excess.burst)),
				};
			if (nowMs >= loan.expiresAtMs && (isSettled || nowMs >= loan.expiresAtMs + grantMs + grantMarginMs)) {
				this.#loans.delete(lender);
			}
		}
	}

	/** Drops a loan of which nothing is in use, once the lender has confirmed that. */
	drop(lender: string): void {
		const loan = this.#loans.get(lender);
		if (loan?.held.ratePerS === 0 && loan.held.burst === 0) {
			this.#loans.delete(lender);
		}
	}

	/** The held part of a request to a lender. */
	heldOf(lender: string): LoanRequest['held'] {
		const loan = this.#loans.get(lender);
		return loan && {sequence: loan.sequence, ...loan.held};
	}

	/** The limit of grants that are made now; `own` is the domain's own part. */
	bound(own: RateQuota, nowMs: number): LoanBound | undefined {
		if (!this.isActive(nowMs)) {
			return undefined;
		}

		const inUse = [...this.#loans.values()].filter(({held}) => held.ratePerS > 0 || held.burst > 0);
		const ends = [...this.#repaymentDeadlinesMs, ...inUse.map(({expiresAtMs}) => expiresAtMs + grantMs)];
		return {...own, endsInMs: Math.min(...ends) - nowMs};
	}

	/** Drops obligations whose grants have expired in the pool's accounts as well. */
	#dropExpired(nowMs: number): void {
		this.#repaymentDeadlinesMs = this.#repaymentDeadlinesMs.filter(endsAtMs => nowMs < endsAtMs + grantMarginMs);
		for (const [lender, loan] of this.#loans) {
			if (nowMs >= loan.expiresAtMs + grantMs + grantMarginMs) {
				this.#loans.delete(lender);
			}
		}
	}
}

/** Differences below this come from rounding. */
const roundingTolerance = 1e-9;
