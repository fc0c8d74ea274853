import {type TimerService} from '@fescuewick/core';
import {
	decayAfterMs, maxFreshAgeMs, maxGrantUtilization, hysteresis, targetUtilization, type LoadEntry, type ShiftGrantBody, type ShiftRequestBody,
} from '@fescuewick/wire';
import {fairParts} from './fair-parts.js';

/** Lifetime of a grant from the moment it is asked for. */
export const grantLifetimeMs = 10_000;
/** Clients keep answers that were given on a grant's last moment for up to this long. */
export const maxAnswerTtlMs = 5000;
/** A grant counts as given until no message and no cached answer based on it can be left. */
export const grantHeldMs = grantLifetimeMs + 1000 + maxAnswerTtlMs;
const decayMs = 30_000;

type Lease = {readonly grantedPerS: number; readonly heldUntilMs: number};
type Holder = {wantedPerS: number; reservePerS: number; movedPerS: number; movedFraction: number; demandPerS: number; askedAtMs: number; leases: Lease[]};
/** Holders by name for each home region of the traffic. */
type ServiceBook = Map<string, Map<string, Holder>>;

/** What a grantor needs. */
export type ShiftGrantorOptions = {
	readonly timers: TimerService;
	/** Load of this failure domain. */
	readonly load: (service: string) => LoadEntry | undefined;
};

/**
Divides the headroom of a failure domain for moved traffic among those that ask.

All VMs that steer the traffic of one home region move the same blocks, so the grants of its holders overlap: the traffic of a home region is at most the largest of them. Grants for different home regions add up, and their sum stays within the headroom.
*/
export class ShiftGrantor {
	readonly #options: ShiftGrantorOptions;
	readonly #books = new Map<string, ServiceBook>();
	readonly #cuts = new Map<string, {readonly totalPerS: number; readonly untilMs: number}>();

	constructor(options: ShiftGrantorOptions) {
		this.#options = options;
	}

	/** Answers a request; `holder` names the VM that asks. While `isNew`, earlier grants of a predecessor may be in force and only those are renewed. */
	request(body: ShiftRequestBody, holder: string, isNew: boolean): ShiftGrantBody {
		const nowMs = this.#options.timers.nowMs();
		const book = this.#books.get(body.service) ?? new Map<string, Map<string, Holder>>();
		this.#books.set(body.service, book);
		const entry = this.#holder(book, body.fromRegion, holder);
		entry.wantedPerS = body.wantedPerS;
		entry.reservePerS = body.reservePerS;
		entry.movedPerS = body.movedPerS;
		entry.movedFraction = body.movedFraction;
		entry.demandPerS = body.demandPerS;
		entry.askedAtMs = nowMs;
		this.#expire(book, nowMs);
		const allowedPerS = isNew ? body.movedPerS / maxGrantUtilization : this.#allowedPerS(body.service, body.fromRegion, book);
		const grantedPerS = Math.max(0, Math.min(body.wantedPerS + body.reservePerS, allowedPerS));
		// A lease that is no larger than a later one has no effect any more; so the first lease is always the largest.
		while (entry.leases.length > 0 && entry.leases.at(-1)!.grantedPerS <= grantedPerS) {
			entry.leases.pop();
		}

		entry.leases.push({grantedPerS, heldUntilMs: nowMs + grantHeldMs});
		const others = [...book.get(body.fromRegion)!].filter(([name, other]) => name !== holder && nowMs - other.askedAtMs <= maxFreshAgeMs).map(([, other]) => other);
		return {
			service: body.service,
			grantedPerS,
			expiresInMs: grantLifetimeMs,
			movedFraction: Math.max(0, ...others.map(other => other.movedFraction)),
			demandPerS: Math.max(0, ...others.map(other => other.demandPerS)),
		};
	}

	/** Sum of the grants that count as given for a service, in requests per second. */
	outstandingPerS(service: string): number {
		const book = this.#books.get(service);
		if (book === undefined) {
			return 0;
		}

		this.#expire(book, this.#options.timers.nowMs());
		return sum([...book.values()].map(holders => outstanding(holders)));
	}

	#allowedPerS(service: string, fromRegion: string, book: ServiceBook): number {
		const totalPerS = this.#totalPerS(service, book);
		const nowMs = this.#options.timers.nowMs();
		const wanted = largest(book, nowMs, holder => holder.wantedPerS);
		const parts = fairParts(wanted, totalPerS);
		// Reserves share what the traffic that is to be moved now leaves over.
		const reserves = fairParts(largest(book, nowMs, holder => holder.reservePerS), totalPerS - sum([...parts.values()]));
		const othersPerS = sum([...book].filter(([region]) => region !== fromRegion).map(([, holders]) => outstanding(holders)));
		return Math.min(parts.get(fromRegion)! + reserves.get(fromRegion)!, totalPerS - othersPerS);
	}

	/** The sum that grants may have now. */
	#totalPerS(service: string, book: ServiceBook): number {
		const nowMs = this.#options.timers.nowMs();
		const givenPerS = sum([...book.values()].map(holders => outstanding(holders)));
		const load = this.#options.load(service);
		if (load === undefined || load.ageMs > maxFreshAgeMs) {
			const overdueMs = load === undefined ? decayMs : Math.max(0, load.ageMs - decayAfterMs);
			return givenPerS * Math.max(0, 1 - (overdueMs / decayMs));
		}

		const usablePerS = targetUtilization * load.capacityPerS;
		if (load.loadPerS > usablePerS * (1 + hysteresis)) {
			return this.#cut(service, givenPerS, load.loadPerS - usablePerS);
		}

		// Moved traffic that has arrived is part of the load already; only the rest of the grants is still to come.
		const arrivedPerS = sum([...book.values()].map(holders => Math.min(outstanding(holders), arrived(holders, nowMs))));
		const headroomPerS = usablePerS - load.loadPerS - (givenPerS - arrivedPerS);
		return givenPerS + Math.max(0, load.cold ? headroomPerS / 2 : headroomPerS);
	}

	/** Reduces the sum once and then waits until the reduction shows in the load; reducing on each report would take back too much. */
	#cut(service: string, givenPerS: number, excessPerS: number): number {
		const nowMs = this.#options.timers.nowMs();
		const present = this.#cuts.get(service);
		if (present !== undefined && present.untilMs > nowMs) {
			return Math.min(givenPerS, present.totalPerS);
		}

		const totalPerS = Math.max(0, givenPerS - excessPerS);
		this.#cuts.set(service, {totalPerS, untilMs: nowMs + grantHeldMs});
		return totalPerS;
	}

	#holder(book: ServiceBook, fromRegion: string, name: string): Holder {
		const holders = book.get(fromRegion) ?? new Map<string, Holder>();
		book.set(fromRegion, holders);
		const holder = holders.get(name) ?? {
			wantedPerS: 0, reservePerS: 0, movedPerS: 0, movedFraction: 0, demandPerS: 0, askedAtMs: 0, leases: [],
		};
		holders.set(name, holder);
		return holder;
	}

	#expire(book: ServiceBook, nowMs: number): void {
		for (const [region, holders] of book) {
			for (const [name, holder] of holders) {
				while (holder.leases.length > 0 && holder.leases[0].heldUntilMs <= nowMs) {
					holder.leases.shift();
				}

				if (holder.leases.length === 0 && nowMs - holder.askedAtMs > maxFreshAgeMs) {
					holders.delete(name);
				}
			}

			if (holders.size === 0) {
				book.delete(region);
			}
		}
	}
}

/** The largest value of each home region's holders that asked recently. */
function largest(book: ServiceBook, nowMs: number, value: (holder: Holder) => number): Map<string, number> {
	return new Map([...book].map(([region, holders]) => [
		region,
		Math.max(0, ...[...holders.values()].filter(holder => nowMs - holder.askedAtMs <= maxFreshAgeMs).map(holder => value(holder))),
	]));
}

/** The most that a home region can move here under the leases of its holders. */
function outstanding(holders: ReadonlyMap<string, Holder>): number {
	let largestPerS = 0;
	for (const holder of holders.values()) {
		largestPerS = Math.max(largestPerS, holder.leases[0]?.grantedPerS ?? 0);
	}

	return largestPerS;
}

/** The least that its holders say has arrived; one that has just started reports nothing, which only delays further grants. */
function arrived(holders: ReadonlyMap<string, Holder>, nowMs: number): number {
	const recent = [...holders.values()].filter(holder => nowMs - holder.askedAtMs <= maxFreshAgeMs);
	return recent.length === 0 ? 0 : Math.min(...recent.map(holder => holder.movedPerS));
}

function sum(values: readonly number[]): number {
	let total = 0;
	for (const value of values) {
		total += value;
	}

	return total;
}
