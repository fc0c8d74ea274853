import {type Route, type Workspace} from '../model/configuration.js';
import {boundRegionOf, allowedHomeRegions} from './homes.js';

/** Shares of a service's demand by region; all of them together sum to 1. */
export type DemandShares = {
	/** Requests that may run in any region, by the region of their callers. */
	readonly unbound: ReadonlyMap<string, number>;
	/** Requests bound to a home region, by that region. */
	readonly bound: ReadonlyMap<string, number>;
};

/** Inputs to the computation of demand shares. */
export type DemandShareInput = {
	readonly service: string;
	readonly routes: readonly Route[];
	readonly workspaces: readonly Workspace[];
	readonly regions: readonly string[];
};

/**
Expected shares of demand by the configuration, used before any demand was measured.

Handles a starting fleet whose smallest region is the home of large workspaces. If home regions were ignored, the region would accept its other callers in the first second, and its servers would be full. Those callers would then have to be shifted to other regions faster than the shift limit allows. All regions are assumed to have equally many callers, all routes equally many requests, and workspaces requests in proportion to their rates; a workspace without a rate counts as the mean of the others.
*/
export function demandShares({service, routes, workspaces, regions}: DemandShareInput): DemandShares {
	const unbound = new Map<string, number>();
	const bound = new Map<string, number>();
	const rates = workspaces.map(({ratePerS}) => ratePerS).filter(rate => rate > 0);
	const meanRate = rates.length === 0 ? 1 : rates.reduce((sum, rate) => sum + rate, 0) / rates.length;
	const rateOf = ({ratePerS}: Workspace) => ratePerS > 0 ? ratePerS : meanRate;
	let total = 0;
	const add = (route: Route, workspace: Workspace | undefined, amount: number) => {
		const homes = allowedHomeRegions(route, workspace);
		for (const region of regions) {
			const target = boundRegionOf(homes, region);
			const sums = target === undefined ? unbound : bound;
			sums.set(target ?? region, (sums.get(target ?? region) ?? 0) + amount);
			total += amount;
		}
	};

	for (const route of routes) {
		const weights = route.parts.reduce((sum, {weight}) => sum + weight, 0);
		const ownWeight = route.parts.reduce((sum, part) => sum + (part.service === service ? part.weight : 0), 0);
		if (ownWeight === 0) {
			continue;
		}

		const amount = ownWeight / weights;
		if (route.isOpen || workspaces.length === 0) {
			add(route, undefined, amount);
			continue;
		}

		const allRates = workspaces.reduce((sum, workspace) => sum + rateOf(workspace), 0);
		for (const workspace of workspaces) {
			add(route, workspace, amount * rateOf(workspace) / allRates);
		}
	}

	const scale = (sums: ReadonlyMap<string, number>) => new Map([...sums].map(([region, sum]) => [region, sum / total]));
	return {unbound: scale(unbound), bound: scale(bound)};
}
