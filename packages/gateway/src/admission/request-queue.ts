/** Item of a request queue. */
export type QueuedItem = {
	/** 0 is the most urgent. */
	readonly priority: number;
	readonly arrivedAtMs: number;
};

/** Queue of one service's requests that wait for a slot, ordered by priority, then by arrival. */
export class RequestQueue<Item extends QueuedItem> {
	readonly #items: Item[] = [];

	get size(): number {
		return this.#items.length;
	}

	/** Number of queued requests that would be served before a new one of the given priority. */
	countAhead(priority: number): number {
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

	/** Removes a request; returns whether it was queued. */
	remove(item: Item): boolean {
		const index = this.#items.indexOf(item);
		if (index !== -1) {
			this.#items.splice(index, 1);
		}

		return index !== -1;
	}

	/** Copy of the queue in serving order; the queue may change during iteration. */
	snapshot(): readonly Item[] {
		return [...this.#items];
	}
}
