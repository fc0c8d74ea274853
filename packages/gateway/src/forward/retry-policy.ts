/** How an attempt failed, by whether the request may have run. */
export enum FailureKind {
	/** The request did not run: no connection was made, or the server stated so. */
	notRun = 'not-run',
	/** The request may have run. */
	unknown = 'unknown',
	/** The server answered with a status of 500 or more. */
	serverError = 'server-error',
}

/** Inputs of the decision whether to retry a failed request at another server. */
export type RetryInput = {
	readonly kind: FailureKind;
	readonly isRepeatable: boolean;
	/** Attempts that may have run the request. */
	readonly possibleRuns: number;
	/** All attempts so far. */
	readonly attempts: number;
	readonly maxAttempts: number;
	readonly timeLeftMs: number;
	/** Mean duration of requests on the route, in milliseconds. */
	readonly expectedMs: number;
};

/** Attempts beyond `maxAttempts` that a request may make if servers reject it without running it. */
const maxRejections = 2;
/** A request is retried only if at least this fraction of its expected duration is left before the deadline. */
const minTimeLeftFraction = 0.5;

/** Whether a failed request may be retried at another server; the caller must also take a token from the retry budget. */
export function mayRetry({kind, isRepeatable, possibleRuns, attempts, maxAttempts, timeLeftMs, expectedMs}: RetryInput): boolean {
	if (timeLeftMs < expectedMs * minTimeLeftFraction || attempts >= maxAttempts + maxRejections) {
		return false;
	}

	return kind === FailureKind.notRun ? possibleRuns < maxAttempts : isRepeatable && possibleRuns < maxAttempts;
}
