/** Requests by which a region may be ahead of or behind its part, so that objects can keep to one region. */
const maxLead = 1.5;

/** Window over which moves between regions are limited, in milliseconds. */
const shiftWindowMs = 2000;
/** Part of the limit of moves between regions that planned shifts use within a window. */
const steeringPart = 0.5;

/** What decides how far the parts of a region may move at once. */
export type StepInput = {
	/** Whether callers asked for work in the last seconds. */
	readonly isMeasured: boolean;
	/** Largest part of a region's requests that may change the region between two windows. */
	readonly shiftMost: number;
	readonly elapsedMs: number;
};

/** Largest change of the parts that leave a region; without callers there is nothing that a change could move, so a fleet that starts is at its targets when they come. */
export function largestStep({isMeasured, shiftMost, elapsedMs}: StepInput): number {
	return isMeasured ? shiftMost * steeringPart * elapsedMs / shiftWindowMs : Number.POSITIVE_INFINITY;
}

/**
Deals the requests of one service and region out to regions.

The parts move towards their targets by a limited step, because traffic between regions may change only by a stated part from one window of two seconds to the next. Each region gets its part of any sequence of requests up to `maxLead`; within that, an object goes to the region that its hash names, where servers have handled it before.
*/
export class RegionSteering {
	readonly #parts = new Map<string, number>();
	readonly #leads = new Map<string, number>();

	constructor(private readonly own: string) {}

	/** Present part of requests that leave the region. */
	get movedPart(): number {
		let sum = 0;
		for (const part of this.#parts.values()) {
			sum += part;
		}

		return sum;
	}

	/** Present parts of other regions. */
	get parts(): ReadonlyMap<string, number> {
		return this.#parts;
	}

	/** Moves the parts towards `targets`; `maxStep` is the largest total change. */
	update(targets: ReadonlyMap<string, number>, maxStep: number): void {
		const names = new Set([...this.#parts.keys(), ...targets.keys()]);
		let distance = 0;
		for (const name of names) {
			distance += Math.abs((targets.get(name) ?? 0) - (this.#parts.get(name) ?? 0));
		}

		const scale = distance > maxStep ? maxStep / distance : 1;
		for (const name of names) {
			const before = this.#parts.get(name) ?? 0;
			this.#parts.set(name, before + (((targets.get(name) ?? 0) - before) * scale));
		}
	}

	/** The region for a request; `fraction` is a stable number of its object in [0, 1), or a random one. */
	next(fraction: number): string {
		const parts = new Map(this.#parts);
		parts.set(this.own, 1 - this.movedPart);
		let preferred = this.own;
		let behind = this.own;
		let bound = 0;
		for (const [name, part] of this.#parts) {
			if (fraction >= bound && fraction < bound + part) {
				preferred = name;
			}

			bound += part;
		}

		for (const [name, part] of parts) {
			const lead = (this.#leads.get(name) ?? 0) + part;
			this.#leads.set(name, lead);
			if (lead > this.#leads.get(behind)!) {
				behind = name;
			}
		}

		const isBalanced = this.#leads.get(behind)! <= maxLead && this.#leads.get(preferred)! > -maxLead;
		const chosen = isBalanced ? preferred : behind;
		this.#leads.set(chosen, this.#leads.get(chosen)! - 1);
		return chosen;
	}
}
