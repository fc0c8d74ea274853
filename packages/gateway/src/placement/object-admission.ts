import {hashFraction} from '@fescuewick/core';

/** Time in which the admitted objects move once through all objects, in milliseconds: long against the time for which servers remember an object, short for callers that need a certain one. */
const rotationMs = 120_000;
/** Requests at the servers, as a part of their slots, at which the admitted part stays: just under the point where requests begin to wait. */
const aimedPressure = 0.9;
/** Change of the admitted part in a second by an excess or a lack of one request a slot. A faster fall refused most objects before the servers' answers told the effect. */
const fallPerS = 0.2;
const risePerS = 0.15;
/** Smallest part of the objects that is admitted, so that servers that become free are found. */
const minPart = 0.2;

/** Part of the objects whose requests the servers of a service in a region admit; follows the requests that are at the servers. */
export class AdmittedPart {
	#part = 1;

	get part(): number {
		return this.#part;
	}

	/** Takes in the requests believed to be at the servers, as a part of their slots. */
	update(pressure: number, elapsedMs: number): void {
		const excess = pressure - aimedPressure;
		const change = excess * (excess > 0 ? fallPerS : risePerS) * elapsedMs / 1000;
		this.#part = Math.min(1, Math.max(minPart, this.#part - change));
	}
}

/**
Whether requests for an object are admitted at a time of day, if a `part` of the objects is.

Load it answers: work that homes bind to a region with too few servers for it. Its servers cannot remember all objects, and a server takes three times as long for one that it does not remember. Refusing by object rather than by chance keeps the admitted ones in memory, so that more callers are served, and on time. All VMs prefer the same objects without talking to each other; these change slowly, so that each object has its turn.
*/
export function isAdmitted(object: string, part: number, wallClockMs: number): boolean {
	if (part >= 1) {
		return true;
	}

	const position = (hashFraction(`admission\u0000${object}`) + (wallClockMs % rotationMs / rotationMs)) % 1;
	return position < part;
}
