import {ShareKind, type ShareDemand, type ShareGrant} from '@fescuewick/wire';
import {DemandMeter} from './demand-meter.js';
import {HeldGrant, type GrantId} from './held-grant.js';

/** Retry delay for callers of a workspace without a share, one renewal interval; also the maximum for callers that wait for tokens. */
const noShareRetryMs = 1000;

/** Token bucket whose rate, burst and initial tokens come from grants. */
export class TokenBucket {
	readonly demand = new DemandMeter();
	readonly grant = new HeldGrant();
	#ratePerMs = 0;
	#burst = 0;
	#tokens = 0;
	#updatedMs = 0;
	#surrenderedTokens = 0;
	#loan: ShareGrant['loan'];
	#loanEndsAtMs = 0;

	constructor(readonly workspace: string) {}

	/** Tokens at the last update. */
	get tokens(): number {
		return this.#tokens;
	}

	get ratePerS(): number {
		return this.#ratePerMs * 1000;
	}

	get burst(): number {
		return this.#burst;
	}

	/** Tokens available at `nowMs`. */
	available(nowMs: number): number {
		return nowMs >= this.grant.expiresAtMs ? 0 : Math.min(this.#burst, this.#tokens + ((nowMs - this.#updatedMs) * this.#ratePerMs));
	}

	/** Takes `count` tokens; returns 0 if they were taken, else the retry delay in milliseconds. */
	take(nowMs: number, count: number): number {
		this.demand.add(count);
		if (nowMs >= this.grant.expiresAtMs) {
			this.expire();
			return noShareRetryMs;
		}

		this.#tokens = Math.min(this.#burst, this.#tokens + ((nowMs - this.#updatedMs) * this.#ratePerMs));
		this.#updatedMs = nowMs;
		if (this.#tokens >= count) {
			this.#tokens -= count;
			return 0;
		}

		const waitMs = (count - this.#tokens) / this.#ratePerMs;
		return waitMs < noShareRetryMs ? Math.max(1, Math.ceil(waitMs)) : noShareRetryMs;
	}

	/** Applies a grant and returns whether it was adopted; `expiresAtMs` is counted from the time the request was sent. */
	apply(grant: ShareGrant, expiresAtMs: number, nowMs: number, reported: GrantId | undefined): boolean {
		this.#accrue(nowMs);
		if (!this.grant.adopt(grant, expiresAtMs, nowMs, reported)) {
			return false;
		}

		const tokens = this.#tokens + Math.max(0, grant.addedTokens);
		this.#ratePerMs = Math.max(0, grant.ratePerS) / 1000;
		this.#burst = Math.max(0, grant.burst);
		this.#tokens = Math.min(this.#burst, tokens);
		this.#surrenderedTokens = tokens - this.#tokens;
		this.#updatedMs = nowMs;
		this.#loan = grant.loan;
		this.#loanEndsAtMs = expiresAtMs - grant.expiresInMs + (grant.loan?.endsInMs ?? 0);
		return true;
	}

	/** Ends the share; its tokens are lost. */
	expire(): void {
		this.grant.expire();
		this.#ratePerMs = 0;
		this.#burst = 0;
		this.#tokens = 0;
		this.#surrenderedTokens = 0;
	}

	/** Entry of a share request for this workspace. */
	report(nowMs: number): ShareDemand {
		this.#accrue(nowMs);
		const {id} = this.grant;
		return {
			kind: ShareKind.rate,
			resource: this.workspace,
			wanted: this.demand.ratePerS,
			tokens: this.#tokens,
			seenEpoch: this.grant.seenEpoch,
			...(id === undefined
				? {}
				: {
					held: {
						...id, ratePerS: this.ratePerS, burst: this.#burst, slots: 0, connections: 0, surrenderedTokens: this.#surrenderedTokens,
						...(this.#loan === undefined ? {} : {loan: {...this.#loan, endsInMs: this.#loanEndsAtMs - nowMs}}),
					},
				}),
		};
	}

	#accrue(nowMs: number): void {
		if (nowMs >= this.grant.expiresAtMs) {
			this.expire();
			return;
		}

		this.#tokens = Math.min(this.#burst, this.#tokens + ((nowMs - this.#updatedMs) * this.#ratePerMs));
		this.#updatedMs = nowMs;
	}
}
