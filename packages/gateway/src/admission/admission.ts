/** What decides whether a request waits for a slot. */
export type AdmissionInput = {
	/** Waiting requests that would be served before it. */
	readonly ahead: number;
	/** Slots of the servers that may run it. */
	readonly slots: number;
	/** Usual duration of requests of the service, in milliseconds. */
	readonly serviceMs: number;
	/** Usual duration of requests of its route, in milliseconds. */
	readonly expectedMs: number;
	readonly targetMs: number;
	/** Time until the request must have its answer, in milliseconds. */
	readonly timeLeftMs: number;
};

/** Part of the latency target for which a request may wait in any case: callers lose nothing by a refusal that comes so soon. */
const freeWaitPart = 1 / 8;
/** Shortest and longest time after which refused callers are told to come back, in milliseconds. */
const minRetryMs = 250;
const maxRetryMs = 1500;

/**
How long a request may wait for a slot, in milliseconds; 0 to refuse it at once.

Load it answers: more work than slots for seconds. A request waits only as long as it can still be answered within its target; with so many before it that its turn would come later, it is refused at once, while the caller still has time to come back.
*/
export function admittedWaitMs({ahead, slots, serviceMs, expectedMs, targetMs, timeLeftMs}: AdmissionInput): number {
	const usefulMs = Math.min(Math.max(targetMs * freeWaitPart, targetMs - expectedMs), timeLeftMs - expectedMs);
	const turnMs = ahead * serviceMs / Math.max(1, slots);
	return turnMs <= usefulMs ? Math.max(0, usefulMs) : 0;
}

/** When a refused caller should come back, in milliseconds; spread so that refused callers do not return together. */
export function retryAfterMs(timeLeftMs: number, random: number): number {
	return Math.round(Math.min(maxRetryMs, Math.max(minRetryMs, timeLeftMs / 4)) * (0.75 + (random / 2)));
}

/** What decides when a caller beyond its workspace's rate should come back. */
export type RateRefusal = {
	/** Time until the next token, in milliseconds. */
	readonly waitMs: number;
	/** Whether the workspace asks for more than its rate over all VMs. */
	readonly isOverRate: boolean;
	readonly timeLeftMs: number;
	/** In [0, 1). */
	readonly random: number;
};

/** When a caller beyond its workspace's rate should come back, in milliseconds: with the next token, but no sooner than any refused caller if the workspace asks for more than its rate, since it would meet the same refusal. */
export function rateRetryAfterMs({waitMs, isOverRate, timeLeftMs, random}: RateRefusal): number {
	return isOverRate ? Math.max(waitMs, retryAfterMs(timeLeftMs, random)) : waitMs;
}
