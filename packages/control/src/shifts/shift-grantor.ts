import {type TimerService} from '@fescuewick/core';
import {
	decayAfterMs, maxFreshAgeMs, maxGrantUtilization, hysteresis, targetUtilization, type LoadEntry, type ShiftGrantBody, type ShiftRequestBody,
} from '@fescuewick/wire';
import {maxMinFairShares} from './max-min-fair-shares.js';

/** Lifetime of a grant, from the time of its request. */
export const grantLifetimeMs = 10_000;
/** Clients may cache a look-up answer for this long, including one given just before a grant expires. */
export const maxAnswerTtlMs = 5000;
/** Time for which a grant counts as outstanding: after its lifetime, 1 s for messages based on it and the time for which answers based on it are cached. */
export const grantOutstandingMs = grantLifetimeMs + 1000 + maxAnswerTtlMs;
/** Time within which the grants decrease linearly to 0 while measurements are older than `decayAfterMs`. */
const decayDurationMs = 30_000;

type Lease = {readonly grantedPerS: number; readonly outstandingUntilMs: number};
type Holder = {wantedPerS: number; reservePerS: number; movedPerS: number; movedFraction: number; demandPerS: number; requestedAtMs: number; leases: Lease[]};
/** Holders by home region of the traffic, then by name. */
type HoldersByRegion = Map<string, Map<string, Holder>>;

/** Dependencies of a shift grantor. */
export type ShiftGrantorOptions = {
	readonly timers: TimerService;
	/** Load of a service in this failure domain. */
	readonly load: (service: string) => LoadEntry | undefined;
};

/**
Divides the headroom of a failure domain for shifted traffic among the requesters.

All VMs that steer the traffic of one home region shift the same blocks, so the grants of these holders overlap: the traffic from a home region is at most the largest of them. Grants for different home regions add up, and their sum stays within the headroom.
*/
export class ShiftGrantor {
	readonly #options: ShiftGrantorOptions;
	readonly #holdersByService = new Map<string, HoldersByRegion>();
	readonly #reductions = new Map<string, {readonly totalPerS: number; readonly untilMs: number}>();

	constructor(options: ShiftGrantorOptions) {
		this.#options = options;
	}

	/** Answers a request; `holder` names the requesting VM. If `isNewGrantor`, grants of a predecessor may still be in force, and only these are renewed. */
	request(body: ShiftRequestBody, holder: string, isNewGrantor: boolean): ShiftGrantBody {
		const nowMs = this.#options.timers.nowMs();
		const holdersByRegion = this.#holdersByService.get(body.service) ?? new Map<string, Map<string, Holder>>();
		this.#holdersByService.set(body.service, holdersByRegion);
		const requester = this.#holder(holdersByRegion, body.fromRegion, holder);
		requester.wantedPerS = body.wantedPerS;
		requester.reservePerS = body.reservePerS;
		requester.movedPerS = body.movedPerS;
		requester.movedFraction = body.movedFraction;
		requester.demandPerS = body.demandPerS;
		requester.requestedAtMs = nowMs;
		this.#expire(holdersByRegion, nowMs);
		const allowedPerS = isNewGrantor ? body.movedPerS / maxGrantUtilization : this.#allowedPerS(body.service, body.fromRegion, holdersByRegion);
		const grantedPerS = Math.max(0, Math.min(body.wantedPerS + body.reservePerS, allowedPerS));
		// A lease that is no larger than a later one has no effect and is removed, so the first lease is always the largest.
		while (requester.leases.length > 0 && requester.leases.at(-1)!.grantedPerS <= grantedPerS) {
			requester.leases.pop();
		}

		requester.leases.push({grantedPerS, outstandingUntilMs: nowMs + grantOutstandingMs});
		const others = [...holdersByRegion.get(body.fromRegion)!].filter(([name, other]) => name !== holder && nowMs - other.requestedAtMs <= maxFreshAgeMs).map(([, other]) => other);
		return {
			service: body.service,
			grantedPerS,
			expiresInMs: grantLifetimeMs,
			movedFraction: Math.max(0, ...others.map(other => other.movedFraction)),
			demandPerS: Math.max(0, ...others.map(other => other.demandPerS)),
		};
	}

	/** Sum of the outstanding grants of a service, in requests per second. */
	outstandingPerS(service: string): number {
		const holdersByRegion = this.#holdersByService.get(service);
		if (holdersByRegion === undefined) {
			return 0;
		}

		this.#expire(holdersByRegion, this.#options.timers.nowMs());
		return sum([...holdersByRegion.values()].map(holders => outstandingOf(holders)));
	}

	#allowedPerS(service: string, fromRegion: string, holdersByRegion: HoldersByRegion): number {
		const totalPerS = this.#maxTotalPerS(service, holdersByRegion);
		const nowMs = this.#options.timers.nowMs();
		const wanted = maxByRegion(holdersByRegion, nowMs, holder => holder.wantedPerS);
		const shares = maxMinFairShares(wanted, totalPerS);
		// Reserves are granted from the part of the total that the wanted traffic does not use.
		const reserves = maxMinFairShares(maxByRegion(holdersByRegion, nowMs, holder => holder.reservePerS), totalPerS - sum([...shares.values()]));
		const othersPerS = sum([...holdersByRegion].filter(([region]) => region !== fromRegion).map(([, holders]) => outstandingOf(holders)));
		return Math.min(shares.get(fromRegion)! + reserves.get(fromRegion)!, totalPerS - othersPerS);
	}

	/** Maximum sum of the grants at present. */
	#maxTotalPerS(service: string, holdersByRegion: HoldersByRegion): number {
		const nowMs = this.#options.timers.nowMs();
		const outstandingPerS = sum([...holdersByRegion.values()].map(holders => outstandingOf(holders)));
		const load = this.#options.load(service);
		if (load === undefined || load.ageMs > maxFreshAgeMs) {
			const overdueMs = load === undefined ? decayDurationMs : Math.max(0, load.ageMs - decayAfterMs);
			return outstandingPerS * Math.max(0, 1 - (overdueMs / decayDurationMs));
		}

		const usablePerS = targetUtilization * load.capacityPerS;
		if (load.loadPerS > usablePerS * (1 + hysteresis)) {
			return this.#reduceTotal(service, outstandingPerS, load.loadPerS - usablePerS);
		}

		// Shifted traffic that has arrived is already part of the load, so only the remainder of the grants reduces the headroom.
		const arrivedPerS = sum([...holdersByRegion.values()].map(holders => Math.min(outstandingOf(holders), arrivedOf(holders, nowMs))));
		const headroomPerS = usablePerS - load.loadPerS - (outstandingPerS - arrivedPerS);
		return outstandingPerS + Math.max(0, load.cold ? headroomPerS / 2 : headroomPerS);
	}

	/** Reduces the sum once and keeps it until the reduction is visible in the load; a reduction with each report would revoke too much. */
	#reduceTotal(service: string, outstandingPerS: number, excessPerS: number): number {
		const nowMs = this.#options.timers.nowMs();
		const current = this.#reductions.get(service);
		if (current !== undefined && current.untilMs > nowMs) {
			return Math.min(outstandingPerS, current.totalPerS);
		}

		const totalPerS = Math.max(0, outstandingPerS - excessPerS);
		this.#reductions.set(service, {totalPerS, untilMs: nowMs + grantOutstandingMs});
		return totalPerS;
	}

	#holder(holdersByRegion: HoldersByRegion, fromRegion: string, name: string): Holder {
		const holders = holdersByRegion.get(fromRegion) ?? new Map<string, Holder>();
		holdersByRegion.set(fromRegion, holders);
		const holder = holders.get(name) ?? {
			wantedPerS: 0, reservePerS: 0, movedPerS: 0, movedFraction: 0, demandPerS: 0, requestedAtMs: 0, leases: [],
		};
		holders.set(name, holder);
		return holder;
	}

	#expire(holdersByRegion: HoldersByRegion, nowMs: number): void {
		for (const [region, holders] of holdersByRegion) {
			for (const [name, holder] of holders) {
				while (holder.leases.length > 0 && holder.leases[0].outstandingUntilMs <= nowMs) {
					holder.leases.shift();
				}

				if (holder.leases.length === 0 && nowMs - holder.requestedAtMs > maxFreshAgeMs) {
					holders.delete(name);
				}
			}

			if (holders.size === 0) {
				holdersByRegion.delete(region);
			}
		}
	}
}

/** Largest value among the holders with a recent request, by home region. */
function maxByRegion(holdersByRegion: HoldersByRegion, nowMs: number, value: (holder: Holder) => number): Map<string, number> {
	return new Map([...holdersByRegion].map(([region, holders]) => [
		region,
		Math.max(0, ...[...holders.values()].filter(holder => nowMs - holder.requestedAtMs <= maxFreshAgeMs).map(holder => value(holder))),
	]));
}

/** Maximum traffic that a home region may shift to this failure domain under the leases of its holders. */
function outstandingOf(holders: ReadonlyMap<string, Holder>): number {
	let largestPerS = 0;
	for (const holder of holders.values()) {
		largestPerS = Math.max(largestPerS, holder.leases[0]?.grantedPerS ?? 0);
	}

	return largestPerS;
}

/** Minimum of the arrived traffic that the holders report; a holder that has just started reports 0, which only delays further grants. */
function arrivedOf(holders: ReadonlyMap<string, Holder>, nowMs: number): number {
	const recent = [...holders.values()].filter(holder => nowMs - holder.requestedAtMs <= maxFreshAgeMs);
	return recent.length === 0 ? 0 : Math.min(...recent.map(holder => holder.movedPerS));
}

function sum(values: readonly number[]): number {
	let total = 0;
	for (const value of values) {
		total += value;
	}

	return total;
}
