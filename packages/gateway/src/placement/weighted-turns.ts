import {type RoutePart} from '../model/configuration.js';

/** Deals requests out to the parts of a route so that each prefix of the sequence keeps the weights as closely as possible (smooth weighted round robin). */
export class WeightedTurns {
	readonly #credits: number[];
	readonly #total: number;

	constructor(private readonly parts: readonly RoutePart[]) {
		this.#credits = parts.map(() => 0);
		this.#total = parts.reduce((sum, {weight}) => sum + weight, 0);
	}

	/** The service of the next request. */
	next(): string {
		let best = 0;
		for (const [index, {weight}] of this.parts.entries()) {
			this.#credits[index] += weight;
			if (this.#credits[index] > this.#credits[best]) {
				best = index;
			}
		}

		this.#credits[best] -= this.#total;
		return this.parts[best].service;
	}
}
