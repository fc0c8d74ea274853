/** Whether a token was taken; if not, `retryAfterMs` is the time to wait before the next attempt, otherwise 0. */
export type RateDecision = {readonly allowed: boolean; readonly retryAfterMs: number};

/** Limits the request rate of each workspace with token buckets. */
export abstract class RateLimiter {
	/** Takes a token of a workspace if one is available. */
	abstract take(workspace: string): RateDecision;

	/** Whether this VM has a valid share of the workspace's rate; without one, requests are refused as `noShare` instead of `rateExceeded`. */
	hasShare(_workspace: string): boolean {
		return true;
	}
}
