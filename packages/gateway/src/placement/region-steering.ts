/** Requests by which a region may be ahead of or behind its part, so that objects can keep to one region. */
const maxLead = 1.5;

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
