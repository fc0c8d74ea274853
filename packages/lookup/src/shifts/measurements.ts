import {type TimerService} from '@fescuewick/core';
import {type LoadEntry} from '@fescuewick/wire';
import {type Fleet} from '../fleet/fleet.js';
import {coldCapacityFraction} from './limits.js';

/** A report that is older than the stored one by at most this is accepted: its age is that of its oldest VM and can increase from one report to the next. */
const reportAgeToleranceMs = 1000;

/** A grant and its expiry on the local monotonic clock. */
export type ActiveGrant = {readonly toDomain: string; readonly toRegion: string; readonly grantedPerS: number; readonly expiresAtMs: number};

/** Load and capacity of a region for one service. */
export type RegionLoad = {
	readonly loadPerS: number;
	/** Capacity of the serving, undrained failure domains; that of a cold one counts half. */
	readonly capacityPerS: number;
	readonly isCold: boolean;
	readonly bytesPerRequest: number;
	/** Age of the oldest report of a serving failure domain, infinite if one is missing; without serving failure domains that of the newest report. */
	readonly ageMs: number;
};

/** Stores load reports and grants with their ages on the local monotonic clock. */
export class Measurements {
	readonly #loads = new Map<string, {entry: LoadEntry; receivedAtMs: number}>();
	/** By service, home region and target region, then by failure domain. */
	readonly #grants = new Map<string, Map<string, ActiveGrant>>();

	constructor(private readonly timers: TimerService) {}

	/** Stores load reports; one that is more than 1 s older than the stored report of its failure domain is ignored. */
	addLoads(entries: readonly LoadEntry[]): void {
		const nowMs = this.timers.nowMs();
		for (const entry of entries) {
			const key = `${entry.service}/${entry.failureDomain}`;
			const held = this.#loads.get(key);
			if (held === undefined || entry.ageMs <= held.entry.ageMs + nowMs - held.receivedAtMs + reportAgeToleranceMs) {
				this.#loads.set(key, {entry, receivedAtMs: nowMs});
			}
		}
	}

	/** Stores a grant; it replaces the previous one for the same failure domain. */
	addGrant(service: string, fromRegion: string, grant: ActiveGrant): void {
		const key = `${service}/${fromRegion}/${grant.toRegion}`;
		const grants = this.#grants.get(key) ?? new Map<string, ActiveGrant>();
		grants.set(grant.toDomain, grant);
		this.#grants.set(key, grants);
	}

	/** Requests per second that a failure domain's grant admits from a home region; 0 if it has expired or there is none. */
	grantedPerS(service: string, fromRegion: string, toRegion: string, toDomain: string): number {
		const grant = this.#grants.get(`${service}/${fromRegion}/${toRegion}`)?.get(toDomain);
		return grant !== undefined && grant.expiresAtMs > this.timers.nowMs() ? grant.grantedPerS : 0;
	}

	/** Drops all grants, for example after a pause of the process. */
	dropGrants(): void {
		this.#grants.clear();
	}

	/** Age of a failure domain's newest report; infinite if there is none. */
	reportAgeMs(service: string, failureDomain: string): number {
		const held = this.#loads.get(`${service}/${failureDomain}`);
		return held === undefined ? Number.POSITIVE_INFINITY : held.entry.ageMs + this.timers.nowMs() - held.receivedAtMs;
	}

	/** Sums the load of a region over its failure domains; undefined if nothing was ever reported. */
	regionLoad(service: string, region: string, fleet: Fleet): RegionLoad | undefined {
		const nowMs = this.timers.nowMs();
		const domains = servingDomains(fleet, region);
		const held = [...this.#loads.values()]
			.filter(({entry}) => entry.service === service && entry.region === region)
			.map(({entry, receivedAtMs}) => ({entry, ageMs: entry.ageMs + nowMs - receivedAtMs, isServing: domains.has(entry.failureDomain)}));
		if (held.length === 0) {
			return undefined;
		}

		const ageMs = [...domains].map(domain => held.find(({entry}) => entry.failureDomain === domain)?.ageMs ?? Number.POSITIVE_INFINITY);
		const newestMs = Math.min(...held.map(item => item.ageMs));
		// The last report of a lost failure domain is ignored once it is 5 s older than the region's newest report: by then its clients have reached the other failure domain and are part of its load.
		const counted = held.filter(item => item.isServing || item.ageMs < newestMs + 5000);
		const loadPerS = sum(counted, ({entry}) => entry.loadPerS);
		return {
			loadPerS,
			capacityPerS: sum(counted.filter(item => item.isServing), ({entry}) => entry.capacityPerS * (entry.cold ? coldCapacityFraction : 1)),
			isCold: counted.some(item => item.isServing && item.entry.cold),
			bytesPerRequest: loadPerS > 0 ? sum(counted, ({entry}) => entry.bytesPerRequest * entry.loadPerS) / loadPerS : Math.max(...held.map(({entry}) => entry.bytesPerRequest)),
			ageMs: domains.size === 0 ? newestMs : Math.max(...ageMs),
		};
	}
}

/** Undrained failure domains of a region with serving VMs; empty if the region does not serve. */
export function servingDomains(fleet: Fleet, region: string): Set<string> {
	const fleetRegion = fleet.regions.get(region);
	return new Set(fleetRegion?.isServing ? fleetRegion.eligibleVms.map(vm => vm.failureDomain) : []);
}

function sum<Item>(items: readonly Item[], value: (item: Item) => number): number {
	let total = 0;
	for (const item of items) {
		total += value(item);
	}

	return total;
}
