/** A request that waits for a free slot. */
export type Waiting = {
	/** Rank; 0 is the most urgent. */
	readonly priority: number;
	readonly arrivedAtMs: number;
};

/** Requests of one service that wait for a slot: urgent ones first, then in order of arrival. */
export class WaitingLine<Item extends Waiting> {
	readonly #items: Item[] = [];

	get size(): number {
		return this.#items.length;
	}

	/** Number of waiting requests that would be served before one of the given rank. */
	ahead(priority: number): number {
		let count = 0;
		for (const item of this.#items) {
			count += item.priority <= priority ? 1 : 0;
		}

		return count;
	}

	add(item: Item): void {
		let index = this.#items.length;
		while (index > 0 && this.#items[index - 1].priority > item.priority) {
			index--;
		}

		this.#items.splice(index, 0, item);
	}

	/** Removes a request; returns whether it was waiting. */
	remove(item: Item): boolean {
		const index = this.#items.indexOf(item);
		if (index !== -1) {
			this.#items.splice(index, 1);
		}

		return index !== -1;
	}

	/** The waiting requests in the order in which they are to be served, as a copy: the line may change while it is gone through. */
	inOrder(): readonly Item[] {
		return [...this.#items];
	}
}
