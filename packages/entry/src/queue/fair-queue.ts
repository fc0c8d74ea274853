/** A queued request; the queue only orders and removes items, the caller serves or refuses them. */
export type QueueItem = {
	readonly workspace: string;
	/** Arrival time plus the lateness target of the class; within a workspace, the earliest is served first. */
	readonly dueAtMs: number;
	readonly deadlineAtMs: number;
};

type Flow<Item> = {readonly workspace: string; readonly items: Item[]; deficit: number; quantum: number};

/**
Queued requests of one service, with one flow per workspace.

Flows are served by deficit round robin. A flow's quantum is its weight relative to the heaviest backlogged flow, so that a visit serves at most one request and the flows are interleaved request by request.
*/
export class FairQueue<Item extends QueueItem> {
	readonly #flows = new Map<string, Flow<Item>>();
	/** Backlogged flows, in the order of the next visits. */
	readonly #activeFlows: Array<Flow<Item>> = [];
	#nextIndex = 0;
	#size = 0;

	/** `weightOf` returns the positive weight of a workspace, for example its rate. */
	constructor(private readonly weightOf: (workspace: string) => number) {}

	get size(): number {
		return this.#size;
	}

	/** Number of queued requests of a workspace. */
	sizeOf(workspace: string): number {
		return this.#flows.get(workspace)?.items.length ?? 0;
	}

	/** Workspaces with queued requests. */
	* workspaces(): Generator<string> {
		for (const flow of this.#activeFlows) {
			yield flow.workspace;
		}
	}

	/** Queued requests of a workspace in the order in which they will be served. */
	itemsOf(workspace: string): readonly Item[] {
		return this.#flows.get(workspace)?.items ?? [];
	}

	add(item: Item): void {
		let flow = this.#flows.get(item.workspace);
		if (flow === undefined) {
			flow = {
				workspace: item.workspace, items: [], deficit: 0, quantum: 1,
			};
			this.#flows.set(item.workspace, flow);
		}

		flow.items.splice(insertionIndex(flow.items, item), 0, item);
		this.#size++;
		if (flow.items.length === 1) {
			this.#activate(flow);
		}
	}

	/** Removes a request; returns whether it was still queued. */
	remove(item: Item): boolean {
		const flow = this.#flows.get(item.workspace);
		const index = flow?.items.indexOf(item) ?? -1;
		if (flow === undefined || index === -1) {
			return false;
		}

		flow.items.splice(index, 1);
		this.#size--;
		if (flow.items.length === 0) {
			this.#deactivate(flow);
		}

		return true;
	}

	/** Dequeues the next request; undefined if the queue is empty. */
	take(): Item | undefined {
		if (this.#size === 0) {
			return undefined;
		}

		for (;;) {
			const flow = this.#activeFlows[this.#nextIndex];
			flow.deficit += flow.quantum;
			// The tolerance allows for rounding errors in a sum of fractional quanta.
			if (flow.deficit >= 1 - 1e-9) {
				flow.deficit -= 1;
				return this.#takeFrom(flow);
			}

			this.#nextIndex = (this.#nextIndex + 1) % this.#activeFlows.length;
		}
	}

	/** Fraction of the service that a workspace gets while all current flows and its own stay backlogged. */
	serviceFractionOf(workspace: string): number {
		let sum = this.sizeOf(workspace) === 0 ? this.weightOf(workspace) : 0;
		for (const flow of this.#activeFlows) {
			sum += this.weightOf(flow.workspace);
		}

		return this.weightOf(workspace) / sum;
	}

	#takeFrom(flow: Flow<Item>): Item {
		const item = flow.items.shift()!;
		this.#size--;
		if (flow.items.length === 0) {
			this.#deactivate(flow);
		} else {
			this.#nextIndex = (this.#nextIndex + 1) % this.#activeFlows.length;
		}

		return item;
	}

	/** A newly backlogged flow is visited after all others and starts without a deficit. */
	#activate(flow: Flow<Item>): void {
		flow.deficit = 0;
		this.#activeFlows.splice(this.#nextIndex, 0, flow);
		this.#nextIndex = (this.#nextIndex + 1) % this.#activeFlows.length;
		this.#updateQuanta();
	}

	#deactivate(flow: Flow<Item>): void {
		const index = this.#activeFlows.indexOf(flow);
		this.#activeFlows.splice(index, 1);
		this.#flows.delete(flow.workspace);
		if (index < this.#nextIndex) {
			this.#nextIndex--;
		}

		if (this.#nextIndex >= this.#activeFlows.length) {
			this.#nextIndex = 0;
		}

		this.#updateQuanta();
	}

	#updateQuanta(): void {
		let heaviest = 0;
		for (const flow of this.#activeFlows) {
			heaviest = Math.max(heaviest, this.weightOf(flow.workspace));
		}

		for (const flow of this.#activeFlows) {
			flow.quantum = this.weightOf(flow.workspace) / heaviest;
		}
	}
}

function insertionIndex<Item extends QueueItem>(items: readonly Item[], item: Item): number {
	let low = 0;
	let high = items.length;
	while (low < high) {
		const middle = Math.floor((low + high) / 2);
		const other = items[middle];
		if (other.dueAtMs < item.dueAtMs || (other.dueAtMs === item.dueAtMs && other.deadlineAtMs <= item.deadlineAtMs)) {
			low = middle + 1;
		} else {
			high = middle;
		}
	}

	return low;
}
