import {type DemandShares} from './demand-shares.js';

/** Demand and capacity of one region for one service, in slots. */
export type RegionLoad = {
	/** Slots that the region's callers need for requests that may run in any region. */
	readonly unboundSlots: number;
	/** Slots that callers of all regions need for requests bound to this region. */
	readonly boundSlots: number;
	/** Slots of the region's usable servers. */
	readonly slots: number;
};

/** Fraction of a region's slots that its own callers use before any are shifted to other regions; the remainder absorbs short peaks. */
const maxLocalUtilization = 0.6;
/** Fraction of a region's slots up to which it accepts callers of other regions. */
const maxRemoteUtilization = 0.8;

/** Demand assumed before any was measured, as a fraction of all slots. */
const assumedUtilization = 0.5;
/** Minimum total demand that counts as measured. */
const minMeasuredSlots = 1;

/** Whether the total demand of all regions is high enough to count as measured. */
export function hasMeasuredDemand(regions: ReadonlyMap<string, RegionLoad>): boolean {
	let slots = 0;
	for (const {unboundSlots, boundSlots} of regions.values()) {
		slots += unboundSlots + boundSlots;
	}

	return slots >= minMeasuredSlots;
}

/** Replaces the demand in the loads by the demand expected from the shares, for a fleet that has not measured any yet. */
export function assumeDemand(regions: ReadonlyMap<string, RegionLoad>, shares: DemandShares): ReadonlyMap<string, RegionLoad> {
	let slots = 0;
	for (const region of regions.values()) {
		slots += region.slots;
	}

	const assumedSlots = slots * assumedUtilization;
	return new Map([...regions].map(([name, region]) => [name, {
		...region, unboundSlots: assumedSlots * (shares.unbound.get(name) ?? 0), boundSlots: assumedSlots * (shares.bound.get(name) ?? 0),
	}]));
}

/**
Target fraction, 0 to 1, of a region's requests to run in each other region.

Handles regions with few servers and as many callers as others, or with workspaces bound to them by home regions. Bound demand gets the slots of its region first. Of the other demand, only the excess over the region's own slots is shifted, and only as far as other regions have spare slots after their own callers; regions with an excess share the spare slots in proportion to it.
*/
export function offloadFractions(ownRegion: string, regions: ReadonlyMap<string, RegionLoad>): ReadonlyMap<string, number> {
	const excessOf = ({unboundSlots, boundSlots, slots}: RegionLoad) => Math.min(unboundSlots, Math.max(0, unboundSlots + boundSlots - (slots * maxLocalUtilization)));
	const spareOf = ({unboundSlots, boundSlots, slots}: RegionLoad) => Math.max(0, (slots * maxRemoteUtilization) - boundSlots - unboundSlots);
	const load = regions.get(ownRegion);
	if (load === undefined || load.unboundSlots <= 0) {
		return new Map();
	}

	let totalExcess = 0;
	let totalSpare = 0;
	for (const region of regions.values()) {
		totalExcess += excessOf(region);
		totalSpare += spareOf(region);
	}

	const shiftedSlots = Math.min(1, totalSpare / Math.max(totalExcess, Number.EPSILON)) * excessOf(load);
	const fractions = new Map<string, number>();
	for (const [name, region] of regions) {
		const spare = spareOf(region);
		if (name !== ownRegion && spare > 0 && shiftedSlots > 0) {
			fractions.set(name, (shiftedSlots / load.unboundSlots) * (spare / totalSpare));
		}
	}

	return fractions;
}
