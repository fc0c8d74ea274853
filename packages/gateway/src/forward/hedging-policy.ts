import {type ResponseTimeQuantiles} from './response-times.js';

/** Why a request is not hedged. */
export enum HedgeRefusal {
	/** It may run at most once, or its body is not kept. */
	notRepeatable = 'not-repeatable',
	/** The route has too few recent responses for its quantile. */
	tooFewSamples = 'too-few-samples',
	/** A hedged request would probably not be answered in time. */
	noTimeLeft = 'no-time-left',
	/** The VM is stopping. */
	stopping = 'stopping',
	/** The route allows no further attempt. */
	maxAttempts = 'max-attempts',
	/** Requests wait for a slot of the service. */
	queue = 'queue',
	/** A server of the service has rejected a request lately. */
	rejections = 'rejections',
	/** The operator's fraction of hedged requests is used up. */
	fraction = 'fraction',
	/** The retry budget of the service is used up. */
	retryBudget = 'retry-budget',
	/** No other server has a free slot. */
	noFreeServer = 'no-free-server',
}

/** Least number of samples of a route, whatever the quantile. */
const minSamples = 30;
/** Least number of samples above the quantile; with a single one the quantile is the slowest response. */
const minSamplesAboveQuantile = 2;
/** Shortest time before a hedged request, in milliseconds; faster responses are not worth the connection that a hedged request costs. */
const minDelayMs = 10;
/** How long a rejection by a server keeps requests of its service from being hedged, in milliseconds. */
const rejectionPauseMs = 1000;

/** Inputs to the time at which a request is hedged. */
export type HedgeDelayInput = {
	/** Whether the request may run twice and its body is kept. */
	readonly isRepeatable: boolean;
	/** Recent response times of the route. */
	readonly responseTimes: ResponseTimeQuantiles;
	/** The configured quantile, 0 to 1. */
	readonly quantile: number;
	readonly timeLeftMs: number;
	/** Mean duration of requests on the route, in milliseconds. */
	readonly expectedMs: number;
};

/** Inputs to the decision whether a request without a response is hedged when its delay has passed. */
export type HedgeInput = {
	readonly isStopping: boolean;
	/** Attempts of the request so far. */
	readonly attempts: number;
	readonly maxAttempts: number;
	readonly timeLeftMs: number;
	/** Mean duration of requests on the route, in milliseconds. */
	readonly expectedMs: number;
	/** Requests that wait for a slot of the service. */
	readonly queued: number;
	/** Time since a server of the service last rejected a request, in milliseconds. */
	readonly sinceRejectionMs: number;
	/** Hedged requests that the operator's fraction still allows the service. */
	readonly fractionLeft: number;
	/** Attempts that the retry budget of the service still allows. */
	readonly retriesLeft: number;
};

/** Whether a route has enough recent responses for a quantile. */
function hasEnoughSamples(sampleCount: number, quantile: number): boolean {
	return sampleCount >= minSamples && sampleCount * (1 - quantile) >= minSamplesAboveQuantile;
}

/**
Returns the time from sending a request to hedging it, in milliseconds, or why it is not hedged.

Handles a few slow responses among many usual ones, as of servers that share their machines: a request that takes longer than the route's quantile is more likely to be answered sooner by another server. The delay is shortened where the second response would otherwise come after the deadline, but not below the median, since a usual response would then be hedged as well.
*/
export function hedgeDelay({isRepeatable, responseTimes: {sampleCount, medianMs, quantileMs}, quantile, timeLeftMs, expectedMs}: HedgeDelayInput): number | HedgeRefusal {
	if (!isRepeatable) {
		return HedgeRefusal.notRepeatable;
	}

	if (!hasEnoughSamples(sampleCount, quantile)) {
		return HedgeRefusal.tooFewSamples;
	}

	const latestMs = timeLeftMs - expectedMs;
	return latestMs < Math.max(minDelayMs, medianMs) ? HedgeRefusal.noTimeLeft : Math.min(Math.max(minDelayMs, quantileMs), latestMs);
}

/**
Returns why a request whose delay has passed without a response is not hedged; undefined if it is.

Handles servers that all become slow or full at once. Every request then exceeds the quantile of the time before, and hedging each would double the load where it is highest. A queue and rejections show that slots are short; the operator's fraction and the retry budget bound the additional requests where neither does.
*/
export function hedgeRefusal({isStopping, attempts, maxAttempts, timeLeftMs, expectedMs, queued, sinceRejectionMs, fractionLeft, retriesLeft}: HedgeInput): HedgeRefusal | undefined {
	if (isStopping) {
		return HedgeRefusal.stopping;
	}

	if (attempts >= maxAttempts) {
		return HedgeRefusal.maxAttempts;
	}

	// The timer may have been late.
	if (timeLeftMs < expectedMs) {
		return HedgeRefusal.noTimeLeft;
	}

	if (queued > 0) {
		return HedgeRefusal.queue;
	}

	if (sinceRejectionMs < rejectionPauseMs) {
		return HedgeRefusal.rejections;
	}

	if (fractionLeft <= 0) {
		return HedgeRefusal.fraction;
	}

	return retriesLeft <= 0 ? HedgeRefusal.retryBudget : undefined;
}
