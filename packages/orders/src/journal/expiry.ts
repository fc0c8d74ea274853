import {Buffer} from 'node:buffer';
import {BloomFilter, filterCapacity} from '../claim-table/bloom-filter.js';
import {type JournalIndex} from './journal-index.js';
import {type CreateObject, type TailDraft} from './tail-draft.js';

type ExpiryParameters = {readonly nowS: number; readonly repeatWindowS: number; readonly batchName: string};

/** Moves orders that are past the repeat window from segments and the tail to filters; the filters are written before the draft refers to them. */
export async function expireGenerations(draft: TailDraft, index: JournalIndex, {nowS, repeatWindowS, batchName}: ExpiryParameters, create: CreateObject): Promise<void> {
	const lastExpired = index.lastExpirableGeneration(nowS, repeatWindowS);
	if (lastExpired === undefined) {
		return;
	}

	const newFilters = fillFilters(draft, index.orderIdsThrough(lastExpired), batchName);
	for (const [filterName, filter] of newFilters) {
		await create(filterName, filter.content());
	}

	const {tail} = draft;
	const isTailExpired = index.generationOf(tail.timeS) <= lastExpired;
	draft.garbage.push(...tail.segments.filter(({generation}) => generation <= lastExpired).map(segment => segment.name));
	draft.records = isTailExpired ? Buffer.alloc(0) : draft.records;
	draft.tail = {
		...tail,
		expiredThrough: lastExpired,
		segments: tail.segments.filter(({generation}) => generation > lastExpired),
		filters: [...draft.filters].map(([filterName, {count}]) => ({name: filterName, count})),
	};
}

/** Adds orders to a copy of the last filter and to new filters; returns the filters that must be written. */
function fillFilters(draft: TailDraft, orders: Iterable<readonly [number, number, number, number]>, batchName: string): Map<string, BloomFilter> {
	const newFilters = new Map<string, BloomFilter>();
	let current: BloomFilter | undefined;
	for (const words of orders) {
		if (current === undefined || current.count >= filterCapacity) {
			current = nextFilter(draft, newFilters, `filter-${batchName}-${newFilters.size}`);
		}

		current.add(words);
	}

	return newFilters;
}

function nextFilter(draft: TailDraft, newFilters: Map<string, BloomFilter>, name: string): BloomFilter {
	const last = [...draft.filters].at(-1);
	const hasCapacity = last !== undefined && last[1].count < filterCapacity;
	const filter = hasCapacity ? last[1].copy() : new BloomFilter();
	if (hasCapacity) {
		draft.filters.delete(last[0]);
		draft.garbage.push(last[0]);
	}

	draft.filters.set(name, filter);
	newFilters.set(name, filter);
	return filter;
}
