import {type Cancel, type TimerService} from '@fescuewick/core';
import {type WorkspaceLimiter} from './workspace-limiter.js';

/** Time after which an owner's reply is no longer awaited, in milliseconds; a round trip in a failure domain takes 1 to 3 ms, and a busy VM answers late. */
const replyTimeoutMs = 30;
/** Time for which an owner that did not reply is not asked, in milliseconds; its heartbeats decide after 2.5 to 3.5 s whether it is lost. */
const suspensionMs = 1000;
/** Time for which a pool without tokens is not asked, in milliseconds; a workspace over its rate would cause two datagrams for each refusal otherwise. */
const denialPauseMs = 50;
/** Most token requests of a workspace without a reply; further requests are refused at once. */
const maxPending = 16;

/** How a request for a token of the pool ended. */
export enum BorrowOutcome {
	granted = 'granted',
	denied = 'denied',
	timedOut = 'timedOut',
	/** No pool could help, or its owner was not asked because of an earlier result. */
	notAsked = 'notAsked',
}

type PendingBorrow = {readonly workspace: string; readonly owner: string; readonly end: (outcome: BorrowOutcome) => void; readonly cancel: Cancel};

/** Dependencies of the borrower. */
export type TokenBorrowerOptions = {
	readonly limiter: WorkspaceLimiter;
	readonly timers: TimerService;
	/** Sends a token request to a pool's owner. */
	readonly send: (owner: string, workspace: string, id: number) => void;
	/** Called with the result of each request for a token that was sent. */
	readonly onEnd: (outcome: BorrowOutcome) => void;
};

/** Asks the owners of pools for tokens that this VM's own allowance lacks. */
export class TokenBorrower {
	readonly #pending = new Map<number, PendingBorrow>();
	/** Number of pending token requests by workspace. */
	readonly #pendingCounts = new Map<string, number>();
	/** Until when the pool of a workspace is not asked, after it had no token left. */
	readonly #deniedUntilMs = new Map<string, number>();
	#id = 0;

	constructor(private readonly options: TokenBorrowerOptions) {}

	/** Whether `borrow` would ask an owner. */
	mayBorrow(workspace: string): boolean {
		return this.options.limiter.poolOwnerToAsk(workspace) !== undefined
			&& this.options.timers.nowMs() >= (this.#deniedUntilMs.get(workspace) ?? Number.NEGATIVE_INFINITY)
			&& (this.#pendingCounts.get(workspace) ?? 0) < maxPending;
	}

	/** Asks the pool's owner for a token and waits for at most `maxWaitMs`. Without a reply, the VM uses its whole share for a while (`WorkspaceLimiter.take`). */
	async borrow(workspace: string, maxWaitMs: number): Promise<BorrowOutcome> {
		const {limiter, timers, send} = this.options;
		const owner = limiter.poolOwnerToAsk(workspace);
		if (owner === undefined || !this.mayBorrow(workspace)) {
			return BorrowOutcome.notAsked;
		}

		this.#id++;
		const id = this.#id;
		this.#pendingCounts.set(workspace, (this.#pendingCounts.get(workspace) ?? 0) + 1);
		return new Promise(resolve => {
			const cancel = timers.after(Math.min(replyTimeoutMs, maxWaitMs), () => {
				limiter.pools.suspend(owner, timers.nowMs() + suspensionMs);
				this.#end(id, BorrowOutcome.timedOut);
			});
			this.#pending.set(id, {
				workspace, owner, end: resolve, cancel,
			});
			send(owner, workspace, id);
		});
	}

	/** Applies a reply. One that comes too late, or from a VM that this VM does not consider the owner, has no effect. */
	onReply(vm: string, id: number, isGranted: boolean): void {
		const pending = this.#pending.get(id);
		const {limiter, timers} = this.options;
		if (pending?.owner !== vm || limiter.pools.ownerOf(pending.workspace) !== vm) {
			return;
		}

		if (isGranted) {
			limiter.recordBorrowed(pending.workspace);
		} else {
			this.#deniedUntilMs.set(pending.workspace, timers.nowMs() + denialPauseMs);
		}

		this.#end(id, isGranted ? BorrowOutcome.granted : BorrowOutcome.denied);
	}

	#end(id: number, outcome: BorrowOutcome): void {
		const {workspace, end, cancel} = this.#pending.get(id)!;
		cancel();
		this.#pending.delete(id);
		const count = this.#pendingCounts.get(workspace)! - 1;
		if (count === 0) {
			this.#pendingCounts.delete(workspace);
		} else {
			this.#pendingCounts.set(workspace, count);
		}

		this.options.onEnd(outcome);
		end(outcome);
	}
}
