import {ClaimTable, type ClaimEntry} from '../claim-table/claim-table.js';
import {BloomFilter, filterCapacity} from '../claim-table/bloom-filter.js';
import {type OrderId} from '../order-key/order-id.js';

/** Orders whose tickets were issued in the same time slice: exact entries, and filters for entries that no longer change. */
export class TicketGeneration {
	#table = new ClaimTable();
	readonly #filters: BloomFilter[] = [];

	/** Number of exact entries. */
	get exactCount(): number {
		return this.#table.count;
	}

	/** Number of filters, each for up to `filterCapacity` orders. */
	get filterCount(): number {
		return this.#filters.length;
	}

	get sizeBytes(): number {
		let bytes = this.#table.sizeBytes;
		for (const filter of this.#filters) {
			bytes += filter.sizeBytes;
		}

		return bytes;
	}

	get table(): ClaimTable {
		return this.#table;
	}

	/** Whether the order was moved to a filter; each filter has false positives at a rate of up to `filterFalsePositiveRate`. */
	isInFilter(words: OrderId['words']): boolean {
		return this.#filters.some(filter => filter.has(words));
	}

	/** Number of new filters needed to move every exact entry. */
	get additionalFilterCount(): number {
		const remainingCapacity = this.#filters.length === 0 ? 0 : filterCapacity - this.#filters.at(-1)!.count;
		return Math.ceil(Math.max(0, this.#table.count - remainingCapacity) / filterCapacity);
	}

	/** Moves entries claimed before the given time to filters; returns their number. */
	moveToFilters(claimedBeforeS: number): number {
		const kept: Array<{words: OrderId['words']; entry: ClaimEntry}> = [];
		let movedCount = 0;
		for (const {words, entry} of this.#table.entries()) {
			if (entry.claimedAtS >= claimedBeforeS) {
				kept.push({words, entry});
				continue;
			}

			this.#filterWithCapacity().add(words);
			movedCount++;
		}

		this.#table = new ClaimTable();
		for (const {words, entry} of kept) {
			this.#table.set(words, entry);
		}

		return movedCount;
	}

	#filterWithCapacity(): BloomFilter {
		const last = this.#filters.at(-1);
		if (last !== undefined && last.count < filterCapacity) {
			return last;
		}

		const filter = new BloomFilter();
		this.#filters.push(filter);
		return filter;
	}
}
