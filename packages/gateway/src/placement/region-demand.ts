import {type WorkShares} from './work-shares.js';

/** Work and slots of one region for one service. */
export type RegionLoad = {
	/** Slots that the region's callers need for requests that may run in any region. */
	readonly demandSlots: number;
	/** Slots that callers of all regions need for requests that have to run in this one. */
	readonly boundSlots: number;
	/** Slots of the region's usable servers. */
	readonly slots: number;
};

/** Part of the slots of a region up to which its own callers use them before any leave; the rest absorbs short peaks. */
const localPart = 0.6;
/** Part of the slots of a region up to which callers of other regions are taken in. */
const guestPart = 0.8;

/** Work that is assumed before any was measured, as a part of all slots. */
const assumedPart = 0.5;
/** Work under which none counts as measured, in slots. */
const minMeasuredSlots = 1;

/** Whether callers of any region asked for work that can be measured. */
export function isMeasured(regions: ReadonlyMap<string, RegionLoad>): boolean {
	let slots = 0;
	for (const {demandSlots, boundSlots} of regions.values()) {
		slots += demandSlots + boundSlots;
	}

	return slots >= minMeasuredSlots;
}

/** The loads with work as the shares let expect it, for a fleet that has not measured any yet. */
export function assumeWork(regions: ReadonlyMap<string, RegionLoad>, shares: WorkShares): ReadonlyMap<string, RegionLoad> {
	let slots = 0;
	for (const region of regions.values()) {
		slots += region.slots;
	}

	const assumedSlots = slots * assumedPart;
	return new Map([...regions].map(([name, region]) => [name, {
		...region, demandSlots: assumedSlots * (shares.free.get(name) ?? 0), boundSlots: assumedSlots * (shares.bound.get(name) ?? 0),
	}]));
}

/**
Part of a region's requests, 0 to 1, that should run in each other region.

Load it answers: regions with few servers and as many callers as others, or with workspaces bound to them by their homes. What has to run in a region has its slots first. Of the rest, only what exceeds the region's own slots leaves, and only as far as the others have slots left after their own callers; all regions with an excess divide these in proportion to it.
*/
export function regionParts(own: string, regions: ReadonlyMap<string, RegionLoad>): ReadonlyMap<string, number> {
	const excessOf = ({demandSlots, boundSlots, slots}: RegionLoad) => Math.min(demandSlots, Math.max(0, demandSlots + boundSlots - (slots * localPart)));
	const spareOf = ({demandSlots, boundSlots, slots}: RegionLoad) => Math.max(0, (slots * guestPart) - boundSlots - demandSlots);
	const load = regions.get(own);
	if (load === undefined || load.demandSlots <= 0) {
		return new Map();
	}

	let totalExcess = 0;
	let totalSpare = 0;
	for (const region of regions.values()) {
		totalExcess += excessOf(region);
		totalSpare += spareOf(region);
	}

	const moved = Math.min(1, totalSpare / Math.max(totalExcess, Number.EPSILON)) * excessOf(load);
	const parts = new Map<string, number>();
	for (const [name, region] of regions) {
		const spare = spareOf(region);
		if (name !== own && spare > 0 && moved > 0) {
			parts.set(name, (moved / load.demandSlots) * (spare / totalSpare));
		}
	}

	return parts;
}
