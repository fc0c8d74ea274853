import {type TimerService} from '@fescuewick/core';
import {
	ShareKind, type LoanBound, type ShareAccount, type ShareDemand, type ShareGrant,
} from '@fescuewick/wire';
import {
	minAmounts, rateAmount, slotAmount, subtractAmounts, zeroAmount, type Amount,
} from '../amount.js';
import {grantMarginMs, loanDebitMs, takeoverWaitMs} from '../limits.js';
import {type ShareSettings} from '../settings.js';
import {type RateQuota} from './division.js';
import {SharePool} from './share-pool.js';

/** Phases of a bucket allocator. */
export enum AllocatorPhase {
	/** Earlier allocators may still grant; this one grants nothing. */
	fencing = 'fencing',
	/** Earlier allocators have stopped; grants that holders report are extended, and nothing else is granted. */
	extending = 'extending',
	/** All grants of earlier allocators have expired. */
	granting = 'granting',
	stopped = 'stopped',
}

/** Slices of the bucket's workspaces; `known` is false until the store records this allocator's claim. */
export type SliceSource = {
	readonly known: boolean;
	sizeOf(workspace: string): RateQuota;
	/** Quota that may be granted to holders; below the size while a part of it is being recalled. */
	grantableOf(workspace: string): RateQuota;
	/** Limit of grants while the size includes loans from other domains. */
	boundOf?(workspace: string): LoanBound | undefined;
};

/** Options of a bucket allocator. */
export type BucketAllocatorOptions = {
	readonly bucket: number;
	readonly timers: TimerService;
	readonly settings: () => ShareSettings;
	readonly slices: SliceSource;
};

/** Grants the shares of one bucket in a failure domain under one epoch. */
export class BucketAllocator {
	readonly #options: BucketAllocatorOptions;
	readonly #pools = new Map<string, SharePool>();
	/** Sums of the holders' reports during a takeover, or sizes in the accounts of the former allocator, by pool. They limit grants while the store or the list of servers is unavailable, and while loans of an earlier allocator may be in use. */
	readonly #recovered = new Map<string, Amount>();
	#phase = AllocatorPhase.fencing;
	#grantsFromMs = Number.POSITIVE_INFINITY;
	/** Until then, loans of an earlier allocator to other domains may be in force. */
	#cappedUntilMs = Number.POSITIVE_INFINITY;
	/** Minimum of the domain's own quotas that holders report with grants backed by loans, by workspace. */
	readonly #ownQuotas = new Map<string, Amount>();

	constructor(options: BucketAllocatorOptions, public epoch: number) {
		this.#options = options;
	}

	get phase(): AllocatorPhase {
		if (this.#phase === AllocatorPhase.extending && this.#options.timers.nowMs() >= this.#grantsFromMs) {
			this.#beginGranting();
		}

		return this.#phase;
	}

	/** Called when no earlier allocator can grant any more; `first` is true if there was none. */
	completeFencing(first: boolean): void {
		if (this.#phase !== AllocatorPhase.fencing) {
			return;
		}

		this.#phase = AllocatorPhase.extending;
		this.#grantsFromMs = this.#options.timers.nowMs() + (first ? 0 : takeoverWaitMs);
		this.#cappedUntilMs = this.#options.timers.nowMs() + (first ? 0 : loanDebitMs);
	}

	/** Called when an earlier allocator that was assumed to be stopped may have granted until now. */
	restartTakeoverWait(): void {
		if (this.phase === AllocatorPhase.extending) {
			this.#cappedUntilMs = this.#options.timers.nowMs() + loanDebitMs;
			this.#grantsFromMs = this.#options.timers.nowMs() + takeoverWaitMs;
		}
	}

	/** Starts granting at once from the accounts of an allocator that has stopped; its grants must be the only ones in force. */
	adoptAccounts(accounts: readonly ShareAccount[], receivedAtMs: number): void {
		if (this.#phase !== AllocatorPhase.fencing) {
			return;
		}

		const nowMs = this.#options.timers.nowMs();
		this.#phase = AllocatorPhase.granting;
		this.#cappedUntilMs = receivedAtMs + loanDebitMs;
		for (const account of accounts) {
			if (account.kind === ShareKind.rate) {
				this.#recovered.set(poolKey(account.kind, account.resource), rateAmount(account.ratePerS, account.burst));
			}

			const pool = this.#poolOf(account.kind, account.resource);
			this.#resize(pool, nowMs);
			pool.adoptAccount(account, receivedAtMs, nowMs);
		}
	}

	/** Accounts of all pools; undefined while unknown grants of earlier allocators may be in force. */
	accounts(): ShareAccount[] | undefined {
		if (this.phase !== AllocatorPhase.granting) {
			return undefined;
		}

		const nowMs = this.#options.timers.nowMs();
		return [...this.#pools.values()].map(pool => {
			this.#resize(pool, nowMs);
			return pool.account(nowMs);
		});
	}

	stop(): void {
		this.#phase = AllocatorPhase.stopped;
	}

	/** Renews a holder's share; undefined if nothing can be granted now. */
	grant(holder: string, demand: ShareDemand): ShareGrant | undefined {
		const {phase} = this;
		if (phase !== AllocatorPhase.extending && phase !== AllocatorPhase.granting) {
			return undefined;
		}

		const nowMs = this.#options.timers.nowMs();
		const pool = this.#poolOf(demand.kind, demand.resource);
		this.#resize(pool, nowMs);
		if (phase === AllocatorPhase.extending) {
			this.#recordLoan(demand, nowMs);
			return pool.extend(holder, demand, this.#isKnown(demand.kind) ? pool.size : undefined, nowMs);
		}

		// After the loans have ended, nothing is granted until the accounts show the grants made from them as expired.
		return pool.loanBound !== undefined && pool.loanBound.endsInMs <= 0 ? undefined : pool.renew(holder, demand, nowMs);
	}

	/** Whether this allocator's accounts include all grants and loans of its slices. */
	get ownsSlices(): boolean {
		return this.phase === AllocatorPhase.granting && this.#options.slices.known && !this.#isCapped;
	}

	/** Sum of the quotas that holders of a workspace have or may still receive. */
	committedOf(workspace: string): RateQuota {
		return this.#pools.get(poolKey(ShareKind.rate, workspace))?.committed(this.#options.timers.nowMs()) ?? zeroAmount;
	}

	get #isCapped(): boolean {
		return this.#options.timers.nowMs() < this.#cappedUntilMs;
	}

	/** Records the own quota that a grant backed by a loan carries, and delays new grants until that grant has ended. */
	#recordLoan({resource, held}: ShareDemand, nowMs: number): void {
		if (held?.loan !== undefined) {
			const {ratePerS, burst, endsInMs} = held.loan;
			const own = rateAmount(ratePerS, burst);
			this.#ownQuotas.set(resource, minAmounts(own, this.#ownQuotas.get(resource) ?? own));
			this.#grantsFromMs = Math.max(this.#grantsFromMs, nowMs + endsInMs + grantMarginMs);
		}
	}

	returnShare(holder: string, kind: ShareKind, resource: string, tokens: number): void {
		// While grants of another allocator may be in use, a returned share is not granted again before they expire.
		if (this.phase === AllocatorPhase.granting) {
			this.#pools.get(poolKey(kind, resource))?.returnShare(holder, tokens, this.#options.timers.nowMs());
		}
	}

	/** Demand for a workspace and the uncommitted quota of its slice. */
	stateOf(workspace: string): {wantedPerS: number; uncommitted: RateQuota} {
		const pool = this.#pools.get(poolKey(ShareKind.rate, workspace));
		const nowMs = this.#options.timers.nowMs();
		const {ratePerS, burst} = this.#options.slices.sizeOf(workspace);
		if (this.phase !== AllocatorPhase.granting || this.#isCapped) {
			return {wantedPerS: pool?.wanted ?? 0, uncommitted: {ratePerS: 0, burst: 0}};
		}

		const uncommitted = subtractAmounts(rateAmount(ratePerS, burst), pool?.committed(nowMs) ?? zeroAmount);
		return {wantedPerS: pool?.wanted ?? 0, uncommitted};
	}

	/** Applies changed slices and capacities to all pools. */
	resizeAll(): void {
		const nowMs = this.#options.timers.nowMs();
		for (const pool of this.#pools.values()) {
			this.#resize(pool, nowMs);
		}
	}

	#poolOf(kind: ShareKind, resource: string): SharePool {
		const key = poolKey(kind, resource);
		let pool = this.#pools.get(key);
		if (pool === undefined) {
			pool = new SharePool(kind, resource, this.epoch);
			this.#pools.set(key, pool);
			// The pool's clock starts now; the uncommitted quota accrued no tokens before.
			pool.dropTokens(this.#options.timers.nowMs());
		}

		return pool;
	}

	/** Whether the size of pools of this kind is known; otherwise it is the sum that holders reported. */
	#isKnown(kind: ShareKind): boolean {
		const {settings, slices} = this.#options;
		return kind === ShareKind.slots ? settings().servers !== undefined : slices.known;
	}

	#resize(pool: SharePool, nowMs: number): void {
		const {settings, slices} = this.#options;
		if (!this.#isKnown(pool.kind)) {
			const recovered = this.#recovered.get(poolKey(pool.kind, pool.resource)) ?? zeroAmount;
			pool.resize(recovered, recovered, nowMs);
			return;
		}

		if (pool.kind === ShareKind.slots) {
			const server = settings().servers?.get(pool.resource);
			const size = slotAmount(server?.slots ?? 0, server?.connections ?? 0);
			pool.resize(size, size, nowMs);
			return;
		}

		const size = slices.sizeOf(pool.resource);
		const grantable = slices.grantableOf(pool.resource);
		pool.loanBound = slices.boundOf?.(pool.resource);
		const cap = this.#phase === AllocatorPhase.granting && this.#isCapped ? this.#recovered.get(poolKey(pool.kind, pool.resource)) ?? zeroAmount : undefined;
		const limitToCap = (quota: RateQuota) => (cap === undefined ? rateAmount(quota.ratePerS, quota.burst) : minAmounts(rateAmount(quota.ratePerS, quota.burst), cap));
		pool.resize(limitToCap(size), limitToCap(grantable), nowMs);
	}

	#beginGranting(): void {
		const nowMs = this.#options.timers.nowMs();
		this.#phase = AllocatorPhase.granting;
		for (const pool of this.#pools.values()) {
			if (pool.kind === ShareKind.rate || !this.#isKnown(pool.kind)) {
				const committed = pool.committed(nowMs);
				const ownQuota = pool.kind === ShareKind.rate ? this.#ownQuotas.get(pool.resource) : undefined;
				this.#recovered.set(poolKey(pool.kind, pool.resource), minAmounts(committed, ownQuota ?? committed));
			}

			this.#resize(pool, nowMs);
			pool.dropTokens(nowMs);
		}
	}
}

function poolKey(kind: ShareKind, resource: string): string {
	return `${kind}/${resource}`;
}
