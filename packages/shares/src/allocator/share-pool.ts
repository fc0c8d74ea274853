import {
	ShareKind, type LoanBound, type ShareAccount, type ShareDemand, type ShareGrant,
} from '@fescuewick/wire';
import {
	dimensions, maxAmounts, minAmounts, rateAmount, slotAmount, subtractAmounts, zeroAmount, type Amount,
} from '../amount.js';
import {grantMarginMs, grantLifetimeMs} from '../limits.js';
import {divideRate, divideSlots, vmFloors} from './division.js';
import {LeaseTable} from './lease-table.js';

/** Minimum interval between computations of targets; computing them on every renewal would cost the square of the number of holders. */
const targetRefreshMs = 250;

/** Minimum first grant of a holder without demand, as a fraction of its target. Until the other holders have confirmed smaller grants, only a remainder from rounding and changed demand is free, such as 0.8 of 100 requests/s. With that, a VM would reject callers of a workspace that is far below its rate. */
const minInitialFraction = 0.5;

/** Divides one resource of a failure domain among holders; an amount is credited to a holder only after it was debited elsewhere. */
export class SharePool {
	readonly #leases = new LeaseTable();
	/** Amount that the failure domain owns. */
	#size: Amount = zeroAmount;
	/** Amount that may be granted to holders; below the size while a part of it is being recalled. */
	#grantable: Amount = zeroAmount;
	#tokens = 0;
	#accruedAtMs = 0;
	#sequence = 0;
	#targets: Map<string, Amount> | undefined;
	#targetsAtMs = 0;

	constructor(readonly kind: ShareKind, readonly resource: string, readonly epoch: number) {}

	get size(): Amount {
		return this.#size;
	}

	/** Smoothed demand of all holders. */
	get wanted(): number {
		let wanted = 0;
		for (const [, lease] of this.#leases.entries()) {
			wanted += lease.wanted;
		}

		return wanted;
	}

	get holders(): number {
		return this.#leases.size;
	}

	/** Amount that no holder has or may still receive. */
	free(nowMs: number): Amount {
		this.#advance(nowMs);
		return subtractAmounts(this.#size, this.#leases.sum);
	}

	/** Sum of the amounts that holders have or may still receive. */
	committed(nowMs: number): Amount {
		this.#advance(nowMs);
		return this.#leases.sum;
	}

	/** Limit of all grants while the size includes loans from other domains. */
	loanBound: LoanBound | undefined;

	/** Sets the amount that the failure domain owns and the amount that may be granted to holders. */
	resize(size: Amount, grantable: Amount, nowMs: number): void {
		this.#advance(nowMs);
		if (dimensions.some(dimension => grantable[dimension] !== this.#grantable[dimension])) {
			this.#targets = undefined;
		}

		this.#size = size;
		this.#grantable = minAmounts(size, grantable);
		this.#clampTokens();
	}

	/** Drops all tokens; used when an earlier allocator may have granted the amount that is uncommitted here. */
	dropTokens(nowMs: number): void {
		this.#advance(nowMs);
		this.#tokens = 0;
	}

	/** The accounts at `nowMs`, for a successor. */
	account(nowMs: number): ShareAccount {
		this.#advance(nowMs);
		return {
			kind: this.kind, resource: this.resource, ratePerS: this.#size.ratePerS, burst: this.#size.burst, tokens: this.#tokens,
			leases: [...this.#leases.entries()].map(([holder, lease]) => ({
				holder, wanted: lease.wanted, ...lease.committed, expiresInMs: lease.debitedUntilMs - nowMs,
			})).filter(({expiresInMs}) => expiresInMs > 0),
		};
	}

	/** Adopts the account of an allocator that has stopped; the pool must be new. */
	adoptAccount({tokens, leases}: ShareAccount, receivedAtMs: number, nowMs: number): void {
		for (const {holder, wanted, expiresInMs, ...amount} of leases) {
			this.#leases.change(holder, lease => {
				lease.adoptGrant(this.#amountOf(amount), wanted, receivedAtMs + expiresInMs);
			});
		}

		this.#advance(nowMs);
		this.#credit(tokens);
	}

	/** Extends the grant that a holder reports, without raising it; undefined if it holds none or the grant must end. */
	extend(holder: string, demand: ShareDemand, limit: Amount | undefined, nowMs: number): ShareGrant | undefined {
		this.#advance(nowMs);
		const {held} = demand;
		if (held === undefined) {
			return undefined;
		}

		const heldAmount = this.#amountOf(held);
		const committed = this.#leases.change(holder, lease => {
			lease.wanted = demand.wanted;
			lease.report(held, held.epoch === this.epoch, heldAmount, nowMs);
			return lease.committed;
		});
		if (held.sequence === 0) {
			// Slots in use under an expired grant are debited but not extended.
			return undefined;
		}

		if (held.loan !== undefined && held.loan.endsInMs <= 0) {
			return undefined;
		}

		const others = subtractAmounts(this.#leases.sum, committed);
		const amount = limit === undefined ? heldAmount : maxAmounts(zeroAmount, minAmounts(heldAmount, subtractAmounts(limit, others)));
		return this.#issue(holder, amount, {added: 0, uncovered: 0}, {nowMs, loan: held.loan});
	}

	/** Renews a holder's grant: reduces it to its target by demand, or raises it towards the target as far as quota is free. */
	renew(holder: string, demand: ShareDemand, nowMs: number): ShareGrant {
		this.#advance(nowMs);
		const {held} = demand;
		const isNew = !this.#leases.has(holder);
		const isOwnEpoch = held?.epoch === this.epoch;
		// Slots in use are debited whichever grant they came from; rates granted in an earlier epoch have expired by now.
		const debited = held !== undefined && (isOwnEpoch || this.kind === ShareKind.slots) ? this.#amountOf(held) : zeroAmount;
		this.#credit(this.#leases.change(holder, lease => {
			lease.wanted = demand.wanted;
			return lease.report(held, isOwnEpoch, debited, nowMs);
		}));
		const lease = this.#leases.get(holder)!;
		if (isNew) {
			this.#targets = undefined;
		}

		const target = this.#targetOf(holder, nowMs);
		const others = subtractAmounts(this.#leases.sum, lease.committed);
		const current = lease.issued;
		// A reported amount is debited but never justifies a grant, because the report may have been delayed in transit.
		const spare = subtractAmounts(subtractAmounts(this.#grantable, others), rateAmount(0, lease.uncoveredTokens));
		const amount = this.#initialGrant(current, this.#roundDownSlots(minAmounts(target, maxAmounts(current, spare))), target, demand.wanted);
		const growth = Math.max(0, amount.burst - current.burst);
		const headroom = Math.max(0, amount.burst - demand.tokens);
		// Tokens beyond the growth of the burst need uncommitted burst until the holder has confirmed the grant.
		const uncommittedBurst = Math.max(0, this.#size.burst - others.burst - lease.uncoveredTokens - Math.max(current.burst, amount.burst));
		const addedTokens = this.kind === ShareKind.rate ? Math.min(this.#tokens, headroom, growth + uncommittedBurst) : 0;
		return this.#issue(holder, amount, {added: addedTokens, uncovered: Math.max(0, addedTokens - growth)}, {nowMs, loan: this.loanBound});
	}

	/** Credits the share and tokens of a holder that has stopped using them. */
	returnShare(holder: string, tokens: number, nowMs: number): void {
		this.#advance(nowMs);
		const lease = this.#leases.get(holder);
		if (lease === undefined) {
			return;
		}

		const {burst} = lease.committed;
		this.#leases.delete(holder);
		this.#targets = undefined;
		this.#credit(Math.min(Math.max(0, tokens), burst));
	}

	#issue(holder: string, amount: Amount, tokens: {added: number; uncovered: number}, {nowMs, loan}: {nowMs: number; loan: LoanBound | undefined}): ShareGrant {
		const sequence = ++this.#sequence;
		this.#tokens -= tokens.added;
		const expiresInMs = Math.min(grantLifetimeMs, loan?.endsInMs ?? grantLifetimeMs);
		this.#leases.change(holder, lease => {
			lease.issue(sequence, amount, tokens.uncovered, nowMs + expiresInMs + grantMarginMs);
		});
		this.#clampTokens();
		return {
			kind: this.kind, resource: this.resource, ...amount, addedTokens: tokens.added, expiresInMs, epoch: this.epoch, sequence, ...(loan === undefined ? {} : {loan}),
		};
	}

	#amountOf(amount: Amount): Amount {
		return this.kind === ShareKind.rate ? rateAmount(amount.ratePerS, amount.burst) : slotAmount(amount.slots, amount.connections);
	}

	#roundDownSlots(amount: Amount): Amount {
		return this.kind === ShareKind.rate ? amount : slotAmount(Math.floor(amount.slots), Math.floor(amount.connections));
	}

	/** The amount to grant; zero for a holder without demand whose first grant would be below `minInitialFraction` of its target. */
	#initialGrant(current: Amount, amount: Amount, target: Amount, wanted: number): Amount {
		const isFirstGrant = this.kind === ShareKind.rate && current.ratePerS === 0 && wanted === 0;
		return isFirstGrant && amount.ratePerS < target.ratePerS * minInitialFraction ? zeroAmount : amount;
	}

	#targetOf(holder: string, nowMs: number): Amount {
		if (this.#targets === undefined || nowMs - this.#targetsAtMs >= targetRefreshMs) {
			this.#targets = this.#computeTargets();
			this.#targetsAtMs = nowMs;
		}

		return this.#targets.get(holder) ?? zeroAmount;
	}

	#computeTargets(): Map<string, Amount> {
		const recipients = [...this.#leases.entries()].map(([id, {wanted}]) => ({id, wanted}));
		if (this.kind === ShareKind.rate) {
			return new Map([...divideRate(this.#grantable, recipients, vmFloors)].map(([id, quota]) => [id, rateAmount(quota.ratePerS, quota.burst)]));
		}

		return new Map([...divideSlots(this.resource, this.#grantable, recipients)].map(([id, quota]) => [id, slotAmount(quota.slots, quota.connections)]));
	}

	/** Accrues tokens for the uncommitted rate up to `nowMs`, then drops expired grants and reports. */
	#advance(nowMs: number): void {
		const elapsedMs = nowMs - this.#accruedAtMs;
		if (elapsedMs > 0) {
			const rate = Math.max(0, this.#size.ratePerS - this.#leases.sum.ratePerS);
			this.#tokens += rate * elapsedMs / 1000;
			this.#accruedAtMs = nowMs;
		}

		if (this.#leases.expire(nowMs)) {
			this.#targets = undefined;
		}

		this.#clampTokens();
	}

	#credit(tokens: number): void {
		this.#tokens += tokens;
		this.#clampTokens();
	}

	#clampTokens(): void {
		this.#tokens = Math.max(0, Math.min(this.#tokens, this.#size.burst - this.#leases.sum.burst));
	}
}
