/** Whether a token was granted; `retryAfterMs` is the time until the next attempt, 0 if granted. */
export type RateDecision = {readonly granted: boolean; readonly retryAfterMs: number};

/** Limits the request rate of each workspace with token buckets. */
export abstract class RateLimiter {
	/** Takes a token of a workspace if one is available. */
	abstract take(workspace: string): RateDecision;

	/** Whether this VM holds a share of the workspace's rate; distinguishes an exceeded rate from a missing share. */
	hasShare(_workspace: string): boolean {
		return true;
	}
}
