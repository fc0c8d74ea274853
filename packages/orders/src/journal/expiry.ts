import {Buffer} from 'node:buffer';
import {BloomFilter, filterCapacity} from '../claim-table/bloom-filter.js';
import {type JournalIndex} from './journal-index.js';
import {type CreateObject, type TailDraft} from './tail-draft.js';

type Expiry = {readonly nowS: number; readonly windowS: number; readonly name: string};

/** Moves orders that are past the repeat window from segments into filters; the filters are written before the draft refers to them. */
export async function expireGenerations(draft: TailDraft, index: JournalIndex, {nowS, windowS, name}: Expiry, create: CreateObject): Promise<void> {
	const through = index.expirable(nowS, windowS);
	if (through === undefined) {
		return;
	}

	const grown = fillFilters(draft, index.ordersThrough(through), name);
	for (const [filterName, filter] of grown) {
		await create(filterName, filter.content());
	}

	const {tail} = draft;
	const isTailExpired = index.generationOf(tail.timeS) <= through;
	draft.garbage.push(...tail.segments.filter(({generation}) => generation <= through).map(segment => segment.name));
	draft.records = isTailExpired ? Buffer.alloc(0) : draft.records;
	draft.tail = {
		...tail,
		expiredThrough: through,
		segments: tail.segments.filter(({generation}) => generation > through),
		filters: [...draft.filters].map(([filterName, {count}]) => ({name: filterName, count})),
	};
}

/** Adds orders to a copy of the last filter and to new ones; returns the filters that have to be written. */
function fillFilters(draft: TailDraft, orders: Iterable<readonly [number, number, number, number]>, name: string): Map<string, BloomFilter> {
	const grown = new Map<string, BloomFilter>();
	let current: BloomFilter | undefined;
	for (const words of orders) {
		if (current === undefined || current.count >= filterCapacity) {
			current = nextFilter(draft, grown, `filter-${name}-${grown.size}`);
		}

		current.add(words);
	}

	return grown;
}

function nextFilter(draft: TailDraft, grown: Map<string, BloomFilter>, name: string): BloomFilter {
	const last = [...draft.filters].at(-1);
	const hasRoom = last !== undefined && last[1].count < filterCapacity;
	const filter = hasRoom ? last[1].copy() : new BloomFilter();
	if (hasRoom) {
		draft.filters.delete(last[0]);
		draft.garbage.push(last[0]);
	}

	draft.filters.set(name, filter);
	grown.set(name, filter);
	return filter;
}
