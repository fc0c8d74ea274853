/** Inputs to the decision whether a request may wait for a slot. */
export type AdmissionInput = {
	/** Queued requests that would be served before it. */
	readonly ahead: number;
	/** Total slots of the backend servers that may run it. */
	readonly slots: number;
	/** Typical duration of the service's requests. */
	readonly serviceMs: number;
	/** Typical duration of requests on its route. */
	readonly expectedMs: number;
	/** Remaining time of the route's latency target. */
	readonly targetMs: number;
	/** Time until the request's deadline. */
	readonly timeLeftMs: number;
};

/** Fraction of the latency target that a request may wait even if it can no longer meet the target; within this time a refusal costs the caller nothing. */
const minWaitFraction = 1 / 8;
/** Bounds of the retry delay before jitter. */
const minRetryMs = 250;
const maxRetryMs = 1500;

/**
Maximum time in milliseconds that a request may wait for a slot; 0 to refuse it immediately.

Handles overload that lasts for seconds. A request is queued only while it can still meet its latency target. If the queue ahead of it would take longer, it is refused immediately, while the caller still has time to retry.
*/
export function maxQueueWaitMs({ahead, slots, serviceMs, expectedMs, targetMs, timeLeftMs}: AdmissionInput): number {
	const maxWaitMs = Math.min(Math.max(targetMs * minWaitFraction, targetMs - expectedMs), timeLeftMs - expectedMs);
	const expectedWaitMs = ahead * serviceMs / Math.max(1, slots);
	return expectedWaitMs <= maxWaitMs ? Math.max(0, maxWaitMs) : 0;
}

/** Retry delay for a refused caller in milliseconds, with ±25% jitter so that refused callers do not retry in step; `random` is in [0, 1). */
export function retryAfterMs(timeLeftMs: number, random: number): number {
	return Math.round(Math.min(maxRetryMs, Math.max(minRetryMs, timeLeftMs / 4)) * (0.75 + (random / 2)));
}

/** Fraction of a pause over which returning callers are spread. */
const pauseSpreadFraction = 0.5;

/**
Retry delay in milliseconds for a caller refused because all servers ask for a pause, of which the first ends after `pauseMs`; `random` is in [0, 1).

Handles a service whose servers all turn requests away for a while. An earlier return would be refused again, and a return of all callers at the end of the pause would bring it about once more, so they return spread over half of the pause, at least over the delay of any refused caller.
*/
export function pauseRetryAfterMs(pauseMs: number, random: number): number {
	return Math.round(pauseMs + (Math.max(minRetryMs, pauseMs * pauseSpreadFraction) * random));
}

/** Inputs to the retry delay of a request refused by its workspace's rate limit. */
export type RateRetryInput = {
	/** Time until the next token. */
	readonly waitMs: number;
	/** Whether the workspace's demand over all VMs exceeds its rate. */
	readonly isOverRate: boolean;
	readonly timeLeftMs: number;
	/** In [0, 1). */
	readonly random: number;
};

/** Retry delay in milliseconds after a refusal by the rate limit: the time until the next token, and at least the delay of any refused caller while the workspace's demand exceeds its rate, since an earlier retry would be refused again. */
export function rateRetryAfterMs({waitMs, isOverRate, timeLeftMs, random}: RateRetryInput): number {
	return isOverRate ? Math.max(waitMs, retryAfterMs(timeLeftMs, random)) : waitMs;
}
