import {type ShareHeld} from '@fescuewick/wire';
import {
	addAmounts, maxAmounts, rateAmount, zeroAmount, type Amount,
} from '../amount.js';
import {grantLifetimeMs, grantMarginMs} from '../limits.js';

type IssuedGrant = {
	readonly sequence: number;
	readonly amount: Amount;
	/** Added tokens beyond the growth of the burst. */
	readonly uncoveredTokens: number;
	readonly expiresAtMs: number;
};

/** The allocator's account of the amounts that one holder has or may still receive. */
export class HolderLease {
	wanted = 0;
	#issued: IssuedGrant[] = [];
	/** Amount in the last report that confirmed the latest acknowledged grant. */
	#reported: Amount = zeroAmount;
	#reportedUntilMs = Number.NEGATIVE_INFINITY;
	/** Amount in a report that may be older than that one; it can raise the committed amount but never lower it. */
	#unorderedReport: Amount = zeroAmount;
	#unorderedReportUntilMs = Number.NEGATIVE_INFINITY;
	#lastReportAtMs = 0;
	#acknowledged = 0;
	#maxIssued: Amount | undefined;
	#committed: Amount = zeroAmount;
	#uncoveredTokens = 0;

	/** `debitMs` is the time for which a report stays debited, and after which a silent holder is dropped. */
	constructor(private readonly debitMs = grantLifetimeMs + grantMarginMs) {}

	/** Whether all grants have expired and the holder has been silent for `debitMs`. */
	isExpired(nowMs: number): boolean {
		return this.#issued.length === 0 && nowMs >= this.#lastReportAtMs + this.debitMs;
	}

	/** Maximum of the unexpired grants in each dimension. */
	get issued(): Amount {
		this.#compute();
		return this.#maxIssued!;
	}

	/** Tokens in unconfirmed grants beyond the growth of the burst. */
	get uncoveredTokens(): number {
		this.#compute();
		return this.#uncoveredTokens;
	}

	/** Maximum amount that the holder may have now or after the arrival of any unconfirmed grant, uncovered tokens included. */
	get committed(): Amount {
		this.#compute();
		return this.#committed;
	}

	/** Time at which the last amount of this holder stops being debited. */
	get debitedUntilMs(): number {
		return Math.max(this.#reportedUntilMs, this.#unorderedReportUntilMs, ...this.#issued.map(({expiresAtMs}) => expiresAtMs));
	}

	/** Earliest time at which a grant or report expires; without any, the time at which the silent holder is dropped. */
	get nextExpiryMs(): number {
		const untilMs = this.#issued.map(({expiresAtMs}) => expiresAtMs);
		if (this.#reported !== zeroAmount) {
			untilMs.push(this.#reportedUntilMs);
		}

		if (this.#unorderedReport !== zeroAmount) {
			untilMs.push(this.#unorderedReportUntilMs);
		}

		return untilMs.length === 0 ? this.#lastReportAtMs + this.debitMs : Math.min(...untilMs);
	}

	/** Debits a grant of an earlier allocator until the holder confirms a later grant or it expires. */
	adoptGrant(amount: Amount, wanted: number, expiresAtMs: number): void {
		this.wanted = wanted;
		this.#lastReportAtMs = expiresAtMs - grantLifetimeMs - grantMarginMs;
		this.#issued.push({
			sequence: 0, amount, uncoveredTokens: 0, expiresAtMs,
		});
		this.#maxIssued = undefined;
	}

	/** Drops expired grants and reports. */
	expire(nowMs: number): void {
		if (this.#issued.some(({expiresAtMs}) => nowMs >= expiresAtMs)) {
			this.#issued = this.#issued.filter(({expiresAtMs}) => nowMs < expiresAtMs);
			this.#maxIssued = undefined;
		}

		if (this.#reported !== zeroAmount && nowMs >= this.#reportedUntilMs) {
			this.#reported = zeroAmount;
			this.#maxIssued = undefined;
		}

		if (this.#unorderedReport !== zeroAmount && nowMs >= this.#unorderedReportUntilMs) {
			this.#unorderedReport = zeroAmount;
			this.#maxIssued = undefined;
		}
	}

	/** Records a report; returns the tokens that the holder surrendered with a grant that this report acknowledges for the first time. */
	report(held: ShareHeld | undefined, isOwnEpoch: boolean, debited: Amount, nowMs: number): number {
		this.#lastReportAtMs = nowMs;
		this.#maxIssued = undefined;
		if (held !== undefined && isOwnEpoch && held.sequence >= this.#acknowledged) {
			this.#reported = debited;
			this.#reportedUntilMs = nowMs + this.debitMs;
			this.#unorderedReport = zeroAmount;
		} else {
			this.#unorderedReport = debited;
			this.#unorderedReportUntilMs = nowMs + this.debitMs;
		}

		if (held === undefined || !isOwnEpoch || held.sequence <= this.#acknowledged) {
			return 0;
		}

		this.#acknowledged = held.sequence;
		this.#issued = this.#issued
			.filter(({sequence}) => sequence >= held.sequence)
			.map(issued => (issued.sequence === held.sequence ? {...issued, uncoveredTokens: 0} : issued));
		return Math.max(0, held.surrenderedTokens);
	}

	/** Debits a grant before it is sent; it counts until `expiresAtMs`. */
	issue(sequence: number, amount: Amount, uncoveredTokens: number, expiresAtMs: number): void {
		this.#issued.push({
			sequence, amount, uncoveredTokens, expiresAtMs,
		});
		this.#maxIssued = undefined;
	}

	#compute(): void {
		if (this.#maxIssued !== undefined) {
			return;
		}

		let maxIssued = zeroAmount;
		this.#uncoveredTokens = 0;
		for (const {amount, uncoveredTokens} of this.#issued) {
			maxIssued = maxAmounts(maxIssued, amount);
			this.#uncoveredTokens += uncoveredTokens;
		}

		this.#maxIssued = maxIssued;
		this.#committed = addAmounts(maxAmounts(maxIssued, maxAmounts(this.#reported, this.#unorderedReport)), rateAmount(0, this.#uncoveredTokens));
	}
}
