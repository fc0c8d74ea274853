import {
	ShareKind, type LoanBound, type ShareAccount, type ShareDemand, type ShareGrant,
} from '@fescuewick/wire';
import {
	dimensions, maxAmounts, minAmounts, rateAmount, slotAmount, subtractAmounts, zeroAmount, type Amount,
} from '../amount.js';
import {grantMarginMs, grantMs} from '../limits.js';
import {divideRate, divideSlots, vmFloors} from './division.js';
import {LeaseTable} from './lease-table.js';

/** Targets are computed at most this often, so that the cost does not grow with the square of the holders. */
const targetRefreshMs = 250;

/** A holder without demand begins with at least this part of its target. While the other holders give way, the free part is what rounding and changing demand leave, as 0.8 requests a second of 100; a VM that began to serve with it would refuse callers of a workspace that is far from its rate. */
const minInitialFraction = 0.5;

/** Divides one resource of a failure domain among holders; nothing is credited before it is debited elsewhere. */
export class SharePool {
	readonly #leases = new LeaseTable();
	/** What the failure domain owns. */
	#size: Amount = zeroAmount;
	/** The part of the size that may be lent; less while a part is being recalled. */
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

	/** The part of the size that no holder has or may receive. */
	free(nowMs: number): Amount {
		this.#advance(nowMs);
		return subtractAmounts(this.#size, this.#leases.sum);
	}

	/** Sum of what holders have or may receive. */
	committed(nowMs: number): Amount {
		this.#advance(nowMs);
		return this.#leases.sum;
	}

	/** Limit of all grants while loans of other domains are part of the size. */
	loanBound: LoanBound | undefined;

	/** Sets what the failure domain owns and how much of it may be lent. */
	resize(size: Amount, grantable: Amount, nowMs: number): void {
		this.#advance(nowMs);
		if (dimensions.some(dimension => grantable[dimension] !== this.#grantable[dimension])) {
			this.#targets = undefined;
		}

		this.#size = size;
		this.#grantable = minAmounts(size, grantable);
		this.#clampTokens();
	}

	/** Forgets tokens; used when the unlent part may have been lent by an earlier allocator. */
	dropTokens(nowMs: number): void {
		this.#advance(nowMs);
		this.#tokens = 0;
	}

	/** The accounts at this moment, for a successor. */
	account(nowMs: number): ShareAccount {
		this.#advance(nowMs);
		return {
			kind: this.kind, resource: this.resource, ratePerS: this.#size.ratePerS, burst: this.#size.burst, tokens: this.#tokens,
			leases: [...this.#leases.entries()].map(([holder, lease]) => ({
				holder, wanted: lease.wanted, ...lease.committed, expiresInMs: lease.debitedUntilMs - nowMs,
			})).filter(({expiresInMs}) => expiresInMs > 0),
		};
	}

	/** Takes over the accounts of an allocator that has stopped; the pool must be new. */
	adoptAccount({tokens, leases}: ShareAccount, receivedAtMs: number, nowMs: number): void {
		for (const {holder, wanted, expiresInMs, ...amount} of leases) {
			this.#leases.change(holder, lease => {
				lease.adoptGrant(this.#amountOf(amount), wanted, receivedAtMs + expiresInMs);
			});
		}

		this.#advance(nowMs);
		this.#credit(tokens);
	}

	/** Extends what a holder reports to hold, without any change; undefined if it holds nothing. */
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
			// Slots in use whose grant has expired are counted, but not prolonged.
			return undefined;
		}

		if (held.loan !== undefined && held.loan.endsInMs <= 0) {
			return undefined;
		}

		const others = subtractAmounts(this.#leases.sum, committed);
		const amount = limit === undefined ? heldAmount : maxAmounts(zeroAmount, minAmounts(heldAmount, subtractAmounts(limit, others)));
		return this.#issue(holder, amount, {added: 0, uncovered: 0}, {nowMs, loan: held.loan});
	}

	/** Grants a holder its part by demand. */
	renew(holder: string, demand: ShareDemand, nowMs: number): ShareGrant {
		this.#advance(nowMs);
		const {held} = demand;
		const isNew = !this.#leases.has(holder);
		const ownEpoch = held?.epoch === this.epoch;
		// Slots in use count whatever grant they came from; a rate of an earlier epoch has expired by now.
		const counted = held !== undefined && (ownEpoch || this.kind === ShareKind.slots) ? this.#amountOf(held) : zeroAmount;
		this.#credit(this.#leases.change(holder, lease => {
			lease.wanted = demand.wanted;
			return lease.report(held, ownEpoch, counted, nowMs);
		}));
		const lease = this.#leases.get(holder)!;
		if (isNew) {
			this.#targets = undefined;
		}

		const target = this.#targetOf(holder, nowMs);
		const others = subtractAmounts(this.#leases.sum, lease.committed);
		const current = lease.issued;
		// What a holder reports is debited but never a ground for a grant: the report may have been under way for long.
		const spare = subtractAmounts(subtractAmounts(this.#grantable, others), rateAmount(0, lease.uncoveredTokens));
		const amount = this.#initialGrant(current, this.#floorSlots(minAmounts(target, maxAmounts(current, spare))), target, demand.wanted);
		const growth = Math.max(0, amount.burst - current.burst);
		const room = Math.max(0, amount.burst - demand.tokens);
		// Tokens beyond the growth of the burst need unlent burst until the holder has confirmed them.
		const uncommittedBurst = Math.max(0, this.#size.burst - others.burst - lease.uncoveredTokens - Math.max(current.burst, amount.burst));
		const addedTokens = this.kind === ShareKind.rate ? Math.min(this.#tokens, room, growth + uncommittedBurst) : 0;
		return this.#issue(holder, amount, {added: addedTokens, uncovered: Math.max(0, addedTokens - growth)}, {nowMs, loan: this.loanBound});
	}

	/** Takes a share back from a holder that has stopped using it. */
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
		const expiresInMs = Math.min(grantMs, loan?.endsInMs ?? grantMs);
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

	#floorSlots(amount: Amount): Amount {
		return this.kind === ShareKind.rate ? amount : slotAmount(Math.floor(amount.slots), Math.floor(amount.connections));
	}

	/** The amount to grant, which is nothing to a holder that would begin with a useless part. */
	#initialGrant(current: Amount, amount: Amount, target: Amount, wanted: number): Amount {
		const isBeginning = this.kind === ShareKind.rate && current.ratePerS === 0 && wanted === 0;
		return isBeginning && amount.ratePerS < target.ratePerS * minInitialFraction ? zeroAmount : amount;
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
			return new Map([...divideRate(this.#grantable, recipients, vmFloors)].map(([id, part]) => [id, rateAmount(part.ratePerS, part.burst)]));
		}

		return new Map([...divideSlots(this.resource, this.#grantable, recipients)].map(([id, part]) => [id, slotAmount(part.slots, part.connections)]));
	}

	/** Accrues tokens of the unlent part up to now, then drops what has expired. */
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
