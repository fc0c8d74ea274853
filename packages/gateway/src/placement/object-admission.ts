import {hashFraction} from '@fescuewick/core';

/** Time in which the set of admitted objects rotates once through all objects: long compared with the time for which servers cache an object, but short enough for callers that wait for a particular object. */
const rotationPeriodMs = 120_000;
/** Requests per slot at which the admitted fraction is held constant: just below the point where requests begin to queue. */
const targetUtilization = 0.9;
/** Change of the admitted fraction per second when utilization is one request per slot above or below the target. With a faster decrease, most objects were refused before the servers' answers showed the effect. */
const decreasePerS = 0.2;
const increasePerS = 0.15;
/** Minimum fraction of objects admitted, so that freed capacity is detected. */
const minFraction = 0.2;

/** Controller for the fraction of objects that a service admits in a region, driven by the utilization of its servers. */
export class ObjectAdmissionController {
	#fraction = 1;

	get fraction(): number {
		return this.#fraction;
	}

	/** Adjusts the fraction; `utilization` is the estimated number of requests per slot. */
	update(utilization: number, elapsedMs: number): void {
		const excess = utilization - targetUtilization;
		const change = excess * (excess > 0 ? decreasePerS : increasePerS) * elapsedMs / 1000;
		this.#fraction = Math.min(1, Math.max(minFraction, this.#fraction - change));
	}
}

/**
Whether requests for an object are admitted at the given wall-clock time, if `admittedFraction` of all objects is.

Handles demand that is bound to a home region with too few servers. Its servers cannot cache all objects, and a request for an uncached object takes three times as long. Refusing by object instead of at random keeps the admitted objects cached, so that more requests are served, and in time. All VMs admit the same objects without coordination; the set changes slowly, so that each object is admitted in turn.
*/
export function isAdmitted(object: string, admittedFraction: number, wallClockMs: number): boolean {
	if (admittedFraction >= 1) {
		return true;
	}

	const position = (hashFraction(`admission\u0000${object}`) + (wallClockMs % rotationPeriodMs / rotationPeriodMs)) % 1;
	return position < admittedFraction;
}
