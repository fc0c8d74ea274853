import {
	FescuewickError, ResultCode, toFescuewickError, type Logger, type TimerService,
} from '@fescuewick/core';
import {
	ClaimState, MessageType, OrderResult, type ClaimReplyBody, type ControlClient, type StoredAnswer,
} from '@fescuewick/wire';

const claimRetryAfterMs = 1000;
const retryDelayMs = 100;
/** Attempts to report a completion or release, 100 ms to 1 s apart; the link to the control daemon reconnects every 250 ms. */
const maxReportAttempts = 100;

/** The right of this attempt to run an order. */
export type Claim = {readonly workspace: string; readonly orderKey: string; readonly claimant: string};

/** Content, repeat window and deadline of a claim. */
export type ClaimTerms = {
	/** Hash of the request's method, path and body. */
	readonly contentHash: number;
	readonly repeatWindowMs: number;
	readonly deadlineAtMs: number;
};

/** Result of a claim request: the right to run the order, or the stored answer for a repeat. */
export type ClaimResult = {readonly claim: Claim} | {readonly replay: StoredAnswer};

/** Claims orders at the control daemon and reports their outcome. */
export class OrderClaims {
	#pending = 0;
	#stopped = false;

	constructor(
		private readonly control: Pick<ControlClient, 'request'>,
		private readonly timers: TimerService,
		private readonly logger: Logger,
		private readonly claimTimeoutMs: number,
	) {}

	/** Number of reports that the control daemon has not accepted yet. */
	get pendingReports(): number {
		return this.#pending;
	}

	/**
	Requests the right to run an order.

	After a lost reply it retries as the same claimant, until `deadlineAtMs` or the claim timeout. Throws `claimUnavailable`, `orderOutcomeUnknown`, `orderInProgress`, `orderDoneNotHeld`, `orderKeyExpired` or `orderContentDiffers`.
	*/
	async claim(claim: Claim, {contentHash, repeatWindowMs, deadlineAtMs}: ClaimTerms): Promise<ClaimResult> {
		const endsAtMs = Math.min(deadlineAtMs, this.timers.nowMs() + this.claimTimeoutMs);
		let mayBeRecorded = false;
		for (;;) {
			const remainingMs = endsAtMs - this.timers.nowMs();
			try {
				const reply = await this.control.request(MessageType.claimRequest, {...claim, contentHash, repeatWindowMs}, Math.max(1, Math.min(remainingMs, this.claimTimeoutMs / 2)));
				mayBeRecorded ||= reply.mayBeRecorded ?? false;
				return resultOf(claim, reply);
			} catch (error) {
				const failure = toFescuewickError(error);
				const replyLost = isReplyLost(failure);
				mayBeRecorded ||= replyLost;
				const isLastAttempt = !replyLost || endsAtMs - this.timers.nowMs() <= retryDelayMs;
				if (isLastAttempt && mayBeRecorded) {
					// The control daemon may have granted an earlier request, or may still do so; without a release, the order would stay in progress.
					void this.release(claim);
				}

				if (!replyLost) {
					throw failure;
				}

				if (isLastAttempt) {
					throw new FescuewickError(ResultCode.claimUnavailable, 'the order could not be claimed; an earlier attempt may have run', {retryAfterMs: claimRetryAfterMs, cause: failure});
				}

				await this.timers.sleep(retryDelayMs);
			}
		}
	}

	/** Reports that an order ended with an answer; `answer` is undefined if it is too long to be stored. */
	async complete(claim: Claim, answer: StoredAnswer | undefined): Promise<void> {
		await this.#report(claim, async () => this.control.request(MessageType.claimComplete, {...claim, result: OrderResult.done, answer}, this.claimTimeoutMs));
	}

	/** Reports that an order ended without a complete answer and may have run. */
	async completeUnknown(claim: Claim): Promise<void> {
		await this.#report(claim, async () => this.control.request(MessageType.claimComplete, {...claim, result: OrderResult.unknown, answer: undefined}, this.claimTimeoutMs));
	}

	/** Releases the claim of an order that did not run. */
	async release(claim: Claim): Promise<void> {
		await this.#report(claim, async () => this.control.request(MessageType.claimRelease, claim, this.claimTimeoutMs));
	}

	stop(): void {
		this.#stopped = true;
	}

	async #report(claim: Claim, send: () => Promise<unknown>): Promise<void> {
		this.#pending++;
		try {
			for (let attempt = 1; attempt <= maxReportAttempts && !this.#stopped; attempt++) {
				try {
					await send();
					return;
				} catch (error) {
					const {code} = toFescuewickError(error);
					this.logger.warn({code, claimant: claim.claimant, attempt}, 'control daemon did not accept the outcome of an order');
				}

				await this.timers.sleep(retryDelayMs * Math.min(10, attempt));
			}
		} finally {
			this.#pending--;
		}
	}
}

function isReplyLost({code}: FescuewickError): boolean {
	return code === ResultCode.requestToPeerTimeout || code === ResultCode.peerClosed || code === ResultCode.peerSilent;
}

function resultOf(claim: Claim, {state, answer}: ClaimReplyBody): ClaimResult {
	switch (state) {
		case ClaimState.granted: {
			return {claim};
		}

		case ClaimState.inProgress: {
			throw new FescuewickError(ResultCode.orderInProgress, 'an earlier attempt of this order is still in progress', {retryAfterMs: claimRetryAfterMs});
		}

		case ClaimState.done: {
			if (answer !== undefined) {
				return {replay: answer};
			}

			throw new FescuewickError(ResultCode.orderDoneNotHeld, 'the order ran; its answer is no longer held');
		}

		case ClaimState.unknown: {
			throw new FescuewickError(ResultCode.orderOutcomeUnknown, 'an earlier attempt of this order may have run; it is not run again');
		}

		case ClaimState.expired: {
			throw new FescuewickError(ResultCode.orderKeyExpired, 'the order key is too old to be recognised; the order is not run');
		}

		case ClaimState.contentDiffers: {
			throw new FescuewickError(ResultCode.orderContentDiffers, 'the order key belongs to an earlier request with another method, path or body');
		}

		case ClaimState.unavailable: {
			throw new FescuewickError(ResultCode.claimUnavailable, 'the order could not be claimed; an earlier attempt may have run', {retryAfterMs: claimRetryAfterMs});
		}

		default: {
			throw new FescuewickError(ResultCode.claimUnavailable, 'the control daemon answered with an unknown claim state');
		}
	}
}
