import {rendezvousOrder} from '@fescuewick/core';

/** Recipient of a division; `wanted` is its demand in the unit that is divided. */
export type Recipient = {readonly id: string; readonly wanted: number};
/** Quota of a workspace's rate and burst. */
export type RateQuota = {readonly ratePerS: number; readonly burst: number};
/** Quota of a backend server's slots and connections. */
export type SlotQuota = {readonly slots: number; readonly connections: number};

/** Minimum quotas for recipients without demand. */
export type FloorPolicy = {
	/** Maximum floor as a fraction of the total. */
	readonly maxFractionOfTotal: number;
	/** Maximum floor as a fraction of an equal quota. */
	readonly maxFractionOfEqualShare: number;
	/** Demand added to that of every recipient, as a fraction of an equal quota; keeps quotas stable while demand is negligible. */
	readonly baseDemandFraction: number;
	/** Fraction of the surplus (the total minus the sum of demand) that is divided evenly; the remainder is divided by demand. */
	readonly evenSurplusFraction: number;
};

/** Floors among the VMs of a failure domain, as specified in the design page. */
export const vmFloors: FloorPolicy = {
	maxFractionOfTotal: 0.02, maxFractionOfEqualShare: 0.1, baseDemandFraction: 0.01, evenSurplusFraction: 0,
};
/** Floors among failure domains; lower, because the floors of the two levels multiply. Half of the surplus is divided evenly, so that an idle domain has a quota for sudden demand. */
export const domainFloors: FloorPolicy = {
	maxFractionOfTotal: 0.0025, maxFractionOfEqualShare: 0.015, baseDemandFraction: 0.01, evenSurplusFraction: 0.5,
};

/** Minimum useful burst: a request takes a whole token, so a smaller burst admits none. */
const minBurst = 1;
/** Maximum fraction of the total burst for the minimum bursts of recipients without demand. */
const idleMinBurstFraction = 0.5;
/** Fraction of a server's slots that may stay with holders that do not use the server. */
const idleSlotFraction = 0.25;

/** Divides a rate and a burst by demand with floors; the quotas add up to the total. */
export function divideRate(total: RateQuota, recipients: readonly Recipient[], policy: FloorPolicy): Map<string, RateQuota> {
	const ordered = [...recipients].sort((a, b) => b.wanted - a.wanted || (a.id < b.id ? -1 : 1));
	// If the burst is too small for all, recipients with demand get a usable quota and the others none.
	const usable = Math.max(1, Math.floor(total.burst / minBurst));
	const idleUsable = Math.floor(total.burst * idleMinBurstFraction / minBurst);
	const served = ordered.filter(({wanted}, index) => index < (wanted > 0 ? usable : idleUsable) || index === 0);
	const count = Math.max(1, served.length);
	const floorRate = Math.min(total.ratePerS * policy.maxFractionOfTotal, total.ratePerS * policy.maxFractionOfEqualShare / count);
	const floorBurst = Math.max(
		Math.min(total.burst * policy.maxFractionOfTotal, total.burst * policy.maxFractionOfEqualShare / count),
		Math.min(minBurst, total.burst / count),
	);
	let demand = 0;
	for (const {wanted} of served) {
		demand += wanted;
	}

	const base = (total.ratePerS * policy.baseDemandFraction / count) + evenSurplusWeight(Math.max(0, total.ratePerS - demand), demand, count, policy);
	let weights = 0;
	for (const {wanted} of served) {
		weights += wanted + base;
	}

	const quotas = new Map<string, RateQuota>(recipients.map(({id}) => [id, {ratePerS: 0, burst: 0}]));
	for (const {id, wanted} of served) {
		const fraction = weights > 0 ? (wanted + base) / weights : 1 / count;
		quotas.set(id, {
			ratePerS: floorRate + (fraction * (total.ratePerS - (floorRate * count))),
			burst: floorBurst + (fraction * (total.burst - (floorBurst * count))),
		});
	}

	return quotas;
}

/** Weight that, added to each recipient's demand, divides `evenSurplusFraction` of the surplus evenly and the remainder by demand. */
function evenSurplusWeight(surplus: number, demand: number, count: number, {evenSurplusFraction}: FloorPolicy): number {
	return demand > 0 ? evenSurplusFraction * surplus * demand / (count * (demand + ((1 - evenSurplusFraction) * surplus))) : 0;
}

/** Divides the slots and connections of a server in whole units; the sum of the quotas never exceeds the total. */
export function divideSlots(server: string, total: SlotQuota, recipients: readonly Recipient[]): Map<string, SlotQuota> {
	const byId = new Map(recipients.map(recipient => [recipient.id, recipient]));
	const ranked = rendezvousOrder(server, byId.keys()).map(id => byId.get(id)!);
	const withDemand = ranked.filter(({wanted}) => wanted > 0);
	const idle = ranked.filter(({wanted}) => wanted <= 0);
	const slots = new Map<string, number>(ranked.map(({id}) => [id, 0]));
	let left = total.slots;
	const idleFloors = Math.max(withDemand.length === 0 ? total.slots : 0, Math.floor(total.slots * idleSlotFraction));
	for (const {id} of [...withDemand, ...idle.slice(0, idleFloors)]) {
		if (left > 0) {
			slots.set(id, 1);
			left--;
		}
	}

	const served = withDemand.length > 0 ? withDemand : ranked;
	addProportionally(slots, left, served.filter(({id}) => slots.get(id)! > 0));
	return withConnections(slots, total);
}

/** Adds whole units by weight, largest remainder first. */
function addProportionally(slots: Map<string, number>, units: number, recipients: readonly Recipient[]): void {
	const weights = recipients.reduce((sum, {wanted}) => sum + wanted, 0);
	const exact = recipients.map(({id, wanted}) => ({id, quota: weights > 0 ? units * wanted / weights : units / recipients.length}));
	let left = units;
	for (const {id, quota} of exact) {
		slots.set(id, slots.get(id)! + Math.floor(quota));
		left -= Math.floor(quota);
	}

	exact.sort((a, b) => (b.quota % 1) - (a.quota % 1) || (a.id < b.id ? -1 : 1));
	for (const {id} of exact.slice(0, Math.max(0, left))) {
		slots.set(id, slots.get(id)! + 1);
	}
}

/** Adds connections in proportion to the slots. */
function withConnections(slots: Map<string, number>, total: SlotQuota): Map<string, SlotQuota> {
	const quotas = new Map<string, SlotQuota>();
	for (const [id, count] of slots) {
		quotas.set(id, {slots: count, connections: total.slots === 0 ? 0 : Math.floor(total.connections * count / total.slots)});
	}

	return quotas;
}
