import {type RoutePart} from '../model/configuration.js';

/** Smooth weighted round robin over the services of a route: each prefix of the sequence follows the weights as closely as possible. */
export class WeightedRoundRobin {
	readonly #credits: number[];
	readonly #total: number;

	constructor(private readonly parts: readonly RoutePart[]) {
		this.#credits = parts.map(() => 0);
		this.#total = parts.reduce((sum, {weight}) => sum + weight, 0);
	}

	/** The service of the next request. */
	next(): string {
		let selected = 0;
		for (const [index, {weight}] of this.parts.entries()) {
			this.#credits[index] += weight;
			if (this.#credits[index] > this.#credits[selected]) {
				selected = index;
			}
		}

		this.#credits[selected] -= this.#total;
		return this.parts[selected].service;
	}
}
