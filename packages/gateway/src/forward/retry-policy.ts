/** How an attempt failed. */
export enum FailureKind {
	/** It certainly did not run: no connection, or the server said so. */
	notRun = 'not-run',
	/** It may have run. */
	unknown = 'unknown',
	/** The server answered with an error of its own. */
	serverError = 'server-error',
}

/** What decides whether a failed request goes to another server. */
export type RetryInput = {
	readonly kind: FailureKind;
	readonly isRepeatable: boolean;
	/** Attempts that may have run. */
	readonly possibleRuns: number;
	/** All attempts so far. */
	readonly attempts: number;
	readonly maxAttempts: number;
	readonly timeLeftMs: number;
	/** Usual duration of the route, in milliseconds. */
	readonly expectedMs: number;
};

/** Attempts of one request beyond its limit of runs that servers may reject without running them. */
const maxRejections = 2;
/** A request is sent again only if this part of its usual duration is left. */
const minTimeLeftFraction = 0.5;

/** Whether a failed request may go to another server; the retry budget is asked afterwards. */
export function mayRetry({kind, isRepeatable, possibleRuns, attempts, maxAttempts, timeLeftMs, expectedMs}: RetryInput): boolean {
	if (timeLeftMs < expectedMs * minTimeLeftFraction || attempts >= maxAttempts + maxRejections) {
		return false;
	}

	return kind === FailureKind.notRun ? possibleRuns < maxAttempts : isRepeatable && possibleRuns < maxAttempts;
}
