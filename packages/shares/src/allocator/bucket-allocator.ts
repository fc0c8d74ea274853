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

/** Phase of an allocator. */
export enum AllocatorPhase {
	/** Earlier allocators may still be at work; nothing is granted. */
	fencing = 'fencing',
	/** Earlier allocators have stopped; what holders report is extended, nothing else is granted. */
	extending = 'extending',
	/** All grants of earlier allocators have expired. */
	granting = 'granting',
	stopped = 'stopped',
}

/** Slices of the bucket's workspaces; undefined as long as the store was never read. */
export type SliceSource = {
	readonly known: boolean;
	sizeOf(workspace: string): RateQuota;
	grantableOf(workspace: string): RateQuota;
	/** Limit of grants while loans of other domains are part of the size. */
	boundOf?(workspace: string): LoanBound | undefined;
};

/** What a bucket allocator needs. */
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
	/** Sums of what holders reported during a takeover, by pool; the limit without the store or the list of servers, and while an earlier allocator's loans may be in use. */
	readonly #recovered = new Map<string, Amount>();
	#phase = AllocatorPhase.fencing;
	#grantsFromMs = Number.POSITIVE_INFINITY;
	/** Until then, an earlier allocator may have lent parts of the slices to other domains. */
	#cappedUntilMs = Number.POSITIVE_INFINITY;
	/** What the domain owned itself when holders got grants that rest on loans. */
	readonly #ownParts = new Map<string, Amount>();

	constructor(options: BucketAllocatorOptions, public epoch: number) {
		this.#options = options;
	}

	get phase(): AllocatorPhase {
		if (this.#phase === AllocatorPhase.extending && this.#options.timers.nowMs() >= this.#grantsFromMs) {
			this.#beginGranting();
		}

		return this.#phase;
	}

	/** Called when no earlier allocator can grant any more; `first` if there was none. */
	completeFencing(first: boolean): void {
		if (this.#phase !== AllocatorPhase.fencing) {
			return;
		}

		this.#phase = AllocatorPhase.extending;
		this.#grantsFromMs = this.#options.timers.nowMs() + (first ? 0 : takeoverWaitMs);
		this.#cappedUntilMs = this.#options.timers.nowMs() + (first ? 0 : loanDebitMs);
	}

	/** Called when an earlier allocator that counted as stopped may have granted until now. */
	restartTakeoverWait(): void {
		if (this.phase === AllocatorPhase.extending) {
			this.#cappedUntilMs = this.#options.timers.nowMs() + loanDebitMs;
			this.#grantsFromMs = this.#options.timers.nowMs() + takeoverWaitMs;
		}
	}

	/** Grants at once, with the accounts of an allocator that has stopped and whose grants were the only ones in force. */
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

	/** All accounts; undefined while grants of earlier allocators may be in force that this one does not know. */
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

		// Between the end of loans and that of their grants in the accounts, nothing is granted.
		return pool.loanBound !== undefined && pool.loanBound.endsInMs <= 0 ? undefined : pool.renew(holder, demand, nowMs);
	}

	/** Whether this allocator knows all grants and loans of its slices. */
	get ownsSlices(): boolean {
		return this.phase === AllocatorPhase.granting && this.#options.slices.known && !this.#isCapped;
	}

	/** What holders have or may receive of a workspace. */
	committedOf(workspace: string): RateQuota {
		return this.#pools.get(poolKey(ShareKind.rate, workspace))?.committed(this.#options.timers.nowMs()) ?? zeroAmount;
	}

	get #isCapped(): boolean {
		return this.#options.timers.nowMs() < this.#cappedUntilMs;
	}

	/** Grants that rest on loans end before anything new is granted. */
	#recordLoan({resource, held}: ShareDemand, nowMs: number): void {
		if (held?.loan !== undefined) {
			const {ratePerS, burst, endsInMs} = held.loan;
			const own = rateAmount(ratePerS, burst);
			this.#ownParts.set(resource, minAmounts(own, this.#ownParts.get(resource) ?? own));
			this.#grantsFromMs = Math.max(this.#grantsFromMs, nowMs + endsInMs + grantMarginMs);
		}
	}

	returnShare(holder: string, kind: ShareKind, resource: string, tokens: number): void {
		// While another allocator's grants may be in use, a returned part is not given out again before they expire.
		if (this.phase === AllocatorPhase.granting) {
			this.#pools.get(poolKey(kind, resource))?.returnShare(holder, tokens, this.#options.timers.nowMs());
		}
	}

	/** Demand for a workspace and the part of its slice that is not lent. */
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
			// The pool's clock starts now; the unlent part accrued nothing before.
			pool.dropTokens(this.#options.timers.nowMs());
		}

		return pool;
	}

	/** Whether the size of pools of this kind is known; otherwise they have what holders reported to hold. */
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
		const limitToCap = (part: RateQuota) => (cap === undefined ? rateAmount(part.ratePerS, part.burst) : minAmounts(rateAmount(part.ratePerS, part.burst), cap));
		pool.resize(limitToCap(size), limitToCap(grantable), nowMs);
	}

	#beginGranting(): void {
		const nowMs = this.#options.timers.nowMs();
		this.#phase = AllocatorPhase.granting;
		for (const pool of this.#pools.values()) {
			if (pool.kind === ShareKind.rate || !this.#isKnown(pool.kind)) {
				const committed = pool.committed(nowMs);
				const ownPart = pool.kind === ShareKind.rate ? this.#ownParts.get(pool.resource) : undefined;
				this.#recovered.set(poolKey(pool.kind, pool.resource), minAmounts(committed, ownPart ?? committed));
			}

			this.#resize(pool, nowMs);
			pool.dropTokens(nowMs);
		}
	}
}

function poolKey(kind: ShareKind, resource: string): string {
	return `${kind}/${resource}`;
}
