import {ClaimTable, EntryState, type ClaimEntry} from '../claim-table/claim-table.js';
import {type OrderId} from '../order-key/order-id.js';
import {type BloomFilter} from '../claim-table/bloom-filter.js';
import {RecordKind, type EndKind, type JournalRecord} from './journal-record.js';

/** State of an order after a record that ends its claim. */
export const endStates: Readonly<Record<EndKind, EntryState>> = {
	[RecordKind.done]: EntryState.done, [RecordKind.release]: EntryState.released, [RecordKind.unknown]: EntryState.unknown,
};

/** In-memory index of a partition's journal: tables of exact entries by generation of claim time, and filters for expired orders. */
export class JournalIndex {
	readonly #tables = new Map<number, ClaimTable>();
	/** Orders of expired generations. */
	filters: readonly BloomFilter[] = [];

	/** `expiredThrough` is the latest generation that was moved into the filters. */
	constructor(readonly generationS: number, public expiredThrough: number) {}

	/** Number of exact entries, without orders in filters. */
	get orderCount(): number {
		let orders = 0;
		for (const table of this.#tables.values()) {
			orders += table.count;
		}

		return orders;
	}

	get sizeBytes(): number {
		let bytes = 0;
		for (const part of [...this.#tables.values(), ...this.filters]) {
			bytes += part.sizeBytes;
		}

		return bytes;
	}

	generationOf(timeS: number): number {
		return Math.floor(timeS / this.generationS);
	}

	/** The latest exact entry of an order. */
	get({words}: Pick<OrderId, 'words'>): ClaimEntry | undefined {
		return this.#newestTableWith(words)?.get(words);
	}

	/** Whether the order was moved to a filter; each filter has false positives at a rate of up to `filterFalsePositiveRate`. */
	isInFilter({words}: Pick<OrderId, 'words'>): boolean {
		return this.filters.some(filter => filter.has(words));
	}

	/** Applies a record; applying a complete sequence of records again leaves the same state. */
	apply({kind, words, claimant, timeS, contentHash}: JournalRecord): void {
		if (kind !== RecordKind.claim) {
			this.#newestTableWith(words)?.setState(words, endStates[kind]);
			return;
		}

		const generation = this.generationOf(timeS);
		if (generation <= this.expiredThrough) {
			return;
		}

		let table = this.#tables.get(generation);
		if (table === undefined) {
			table = new ClaimTable();
			this.#tables.set(generation, table);
		}

		table.set(words, {
			claimant, claimedAtS: timeS, state: EntryState.open, contentHash,
		});
	}

	/** The latest generation whose orders are all past the repeat window; undefined if there is none. */
	lastExpirableGeneration(nowS: number, repeatWindowS: number): number | undefined {
		const ended = [...this.#tables.keys()].filter(generation => ((generation + 1) * this.generationS) + repeatWindowS <= nowS);
		return ended.length === 0 ? undefined : Math.max(...ended);
	}

	/** Yields the ids of orders up to and including a generation, except released orders, which have not run. */
	* orderIdsThrough(generation: number): Generator<OrderId['words']> {
		for (const [number, table] of this.#tables) {
			if (number > generation) {
				continue;
			}

			for (const {words, entry} of table.entries()) {
				if (entry.state !== EntryState.released) {
					yield words;
				}
			}
		}
	}

	/** Deletes the tables up to and including a generation; call after their orders were added to the filters. */
	deleteTablesThrough(generation: number): void {
		this.expiredThrough = Math.max(this.expiredThrough, generation);
		for (const number of this.#tables.keys()) {
			if (number <= generation) {
				this.#tables.delete(number);
			}
		}
	}

	// An order that was released and claimed again later can have entries in two tables.
	#newestTableWith(words: OrderId['words']): ClaimTable | undefined {
		let newest = Number.NEGATIVE_INFINITY;
		for (const [generation, table] of this.#tables) {
			if (generation > newest && table.get(words) !== undefined) {
				newest = generation;
			}
		}

		return this.#tables.get(newest);
	}
}
