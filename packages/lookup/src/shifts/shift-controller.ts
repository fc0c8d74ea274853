import {
	FescuewickError, ResultCode, type TimerService,
} from '@fescuewick/core';
import {type ConfigurationDocument} from '@fescuewick/config';
import {type LoadEntry, type ShiftRequestBody, type SnapshotBody} from '@fescuewick/wire';
import {regionOrder, type Fleet} from '../fleet/fleet.js';
import {HomeState} from './home-ramp-up.js';
import {
	HomeShift, type ShiftInput, type ShiftReason, type ShiftTarget,
} from './home-shift.js';
import {
	defaultShiftCaps, maxFreshAgeMs, maxGrantUtilization, maxLinkBytesPerS, minuteMs, type ShiftCaps,
} from './limits.js';
import {Measurements, servingDomains, type RegionLoad} from './measurements.js';
import {type ShiftAllocation} from './placement.js';

/** Interval between two steps of the controller. */
export const shiftStepMs = 1000;
/** Bytes per request that are assumed until load reports state them. */
const assumedBytesPerRequest = 65_536;
/** Renewals request this multiple of the shifted traffic, so that noise in the measured demand does not lower the shift. */
const renewalFactor = 1.1;
/** Smaller amounts are not requested, as they are not worth a message. */
const minRequestPerS = 0.01;
/** Maximum delay between a change of load and its arrival in a report. */
const maxReportDelayMs = 5000;

/** State of the shift of one service and home region from which answers are built. */
export type ShiftDecision = {
	readonly service: string;
	readonly home: string;
	readonly state: HomeState;
	/** Fraction of the home region's demand that is shifted to other regions. */
	readonly totalFraction: number;
	/** Of the blocks that are not shifted, the fraction that is directed to the home region. */
	readonly homeFraction: number;
	/** One allocation for each failure domain of every other region, in the same order on all VMs. */
	readonly allocations: readonly ShiftAllocation[];
	readonly reason: ShiftReason;
	/** Whether a fraction changed within the last minute. */
	readonly isChanging: boolean;
};

/** Decisions of a step and the requests for grants that follow from them. */
export type ShiftStep = {readonly decisions: readonly ShiftDecision[]; readonly requests: readonly ShiftRequestBody[]};

/** Dependencies and settings of a shift controller. */
export type ShiftControllerOptions = {
	readonly timers: TimerService;
	readonly failureDomain: string;
	readonly region: string;
	readonly lookupTtlMs: number;
	readonly nearestRegions: Readonly<Record<string, readonly string[]>>;
};

/** A service and home region with their shift and load. */
type HomeContext = {readonly service: string; readonly home: string; readonly shift: HomeShift; readonly load: RegionLoad | undefined};

type StepState = {
	readonly fleet: Fleet;
	readonly loads: Map<string, RegionLoad | undefined>;
	readonly domains: ReadonlyMap<string, ReadonlySet<string>>;
	/** Bandwidth that remains on the links between regions in this step, by `home/region`. */
	readonly availableLinkBytesPerS: Map<string, number>;
};

/** Computes for each service and home region which fraction of the traffic is shifted to other regions. */
export class ShiftController {
	readonly measurements: Measurements;
	readonly #options: ShiftControllerOptions;
	readonly #shifts = new Map<string, HomeShift>();
	/** Time at which a region last lost a serving failure domain. */
	readonly #lastLossAtMs = new Map<string, number>();
	#fleet: Fleet | undefined;
	#services: readonly string[] = [];
	#caps = new Map<string, ShiftCaps>();

	constructor(options: ShiftControllerOptions) {
		this.#options = options;
		this.measurements = new Measurements(options.timers);
	}

	/** Sets the fleet, services and caps for the next step. */
	configure(fleet: Fleet, document: Pick<ConfigurationDocument, 'services' | 'shiftCaps'>): void {
		if (this.#fleet !== undefined && this.#fleet !== fleet) {
			this.#recordLosses(this.#fleet, fleet);
		}

		this.#fleet = fleet;
		this.#services = document.services.map(service => service.name).sort();
		this.#caps = new Map(document.shiftCaps.map(cap => [cap.service, {max: cap.maxPercent / 100, maxPerMinute: cap.maxPercentPerMinute / 100}]));
	}

	/** Stores load reports. */
	addLoads(entries: readonly LoadEntry[]): void {
		this.measurements.addLoads(entries);
	}

	/** Stores the grants of a snapshot. */
	addGrants(grants: SnapshotBody['shiftGrants']): void {
		const nowMs = this.#options.timers.nowMs();
		for (const {service, fromRegion, toDomain, toRegion, grantedPerS, expiresInMs} of grants) {
			this.measurements.addGrant(service, fromRegion, {
				toDomain, toRegion, grantedPerS, expiresAtMs: nowMs + expiresInMs,
			});
		}
	}

	/** Steps all shifts; throws `lookupNotReady` before `configure`. */
	step(): ShiftStep {
		if (this.#fleet === undefined) {
			throw new FescuewickError(ResultCode.lookupNotReady, 'shift controller stepped before it was configured');
		}

		const fleet = this.#fleet;
		const names = [...fleet.regions.keys()];
		const state: StepState = {
			fleet, loads: new Map(), domains: new Map(names.map(name => [name, servingDomains(fleet, name)])), availableLinkBytesPerS: new Map(),
		};
		const decisions: ShiftDecision[] = [];
		const requests: ShiftRequestBody[] = [];
		for (const service of this.#services) {
			for (const home of names) {
				const result = this.#stepHome(service, home, state);
				decisions.push(result.decision);
				requests.push(...result.requests);
			}
		}

		return {decisions, requests};
	}

	/** The shift of a service and home region; created if it does not exist. */
	shift(service: string, home: string): HomeShift {
		const key = `${service}/${home}`;
		const shift = this.#shifts.get(key) ?? new HomeShift();
		this.#shifts.set(key, shift);
		return shift;
	}

	#stepHome(service: string, home: string, state: StepState): {decision: ShiftDecision; requests: ShiftRequestBody[]} {
		const {timers, nearestRegions, lookupTtlMs} = this.#options;
		const shift = this.shift(service, home);
		const caps = this.#caps.get(service) ?? defaultShiftCaps;
		const load = this.#load(service, home, state);
		const context: HomeContext = {
			service, home, shift, load,
		};
		const order = regionOrder(home, state.fleet.regions.keys(), nearestRegions);
		const input: ShiftInput = {
			nowMs: timers.nowMs(),
			state: homeState(state.fleet, home),
			load,
			caps,
			targets: order.flatMap(region => state.fleet.regions.get(region)!.domains.map(domain => this.#target(context, region, domain, state))),
			settleMs: lookupTtlMs + maxReportDelayMs,
		};
		shift.step(input);
		this.#subtractLinkUse(shift, input, home, state);
		return {
			decision: {
				service,
				home,
				state: input.state,
				totalFraction: shift.totalFraction,
				homeFraction: shift.homeFraction,
				allocations: allocationsOf(shift, input),
				reason: shift.reason,
				isChanging: input.nowMs - shift.lastChangeMs < minuteMs,
			},
			requests: this.#requests(context, input, state),
		};
	}

	#load(service: string, region: string, {loads, fleet}: StepState): RegionLoad | undefined {
		const key = `${service}/${region}`;
		if (!loads.has(key)) {
			loads.set(key, this.measurements.regionLoad(service, region, fleet));
		}

		return loads.get(key);
	}

	/** Records when a region loses a serving failure domain, because load reports from before the loss do not show how little headroom remains. */
	#recordLosses(before: Fleet, after: Fleet): void {
		for (const name of before.regions.keys()) {
			const present = servingDomains(after, name);
			if ([...servingDomains(before, name)].some(domain => !present.has(domain))) {
				this.#lastLossAtMs.set(name, this.#options.timers.nowMs());
			}
		}
	}

	/** Computes the limit of a failure domain; the bandwidth of the link to its region is divided evenly among the serving failure domains there. */
	#target({service, home, load}: HomeContext, region: string, domain: string, state: StepState): ShiftTarget {
		const serving = state.domains.get(region)!;
		const linkPerS = (state.availableLinkBytesPerS.get(`${home}/${region}`) ?? maxLinkBytesPerS) / bytesPerRequest(load) / Math.max(1, serving.size);
		const ageMs = this.measurements.reportAgeMs(service, domain);
		// A grant is not used while the newest report of its failure domain is not fresh and predates the loss: the load of the clients of the lost failure domain on the remaining one would go unnoticed.
		const isOutdated = ageMs > maxFreshAgeMs && this.#options.timers.nowMs() - ageMs < (this.#lastLossAtMs.get(region) ?? Number.NEGATIVE_INFINITY);
		const grantedPerS = serving.has(domain) && !isOutdated ? this.measurements.grantedPerS(service, home, region, domain) : 0;
		return {
			domain, region, limitPerS: Math.max(0, Math.min(linkPerS, maxGrantUtilization * grantedPerS)), ageMs,
		};
	}

	#subtractLinkUse(shift: HomeShift, {targets, load}: ShiftInput, home: string, {availableLinkBytesPerS}: StepState): void {
		for (const {region, domain} of targets) {
			const key = `${home}/${region}`;
			const usedBytesPerS = shift.fraction(domain) * (shift.demandPerS ?? 0) * bytesPerRequest(load);
			availableLinkBytesPerS.set(key, (availableLinkBytesPerS.get(key) ?? maxLinkBytesPerS) - usedBytesPerS);
		}
	}

	/** Requests the wanted amount from the nearest region, and from each further one the amount that nearer regions do not grant. */
	#requests(context: HomeContext, input: ShiftInput, state: StepState): ShiftRequestBody[] {
		const {home, shift, load} = context;
		const demandPerS = shift.demandPerS ?? 0;
		const {caps, targets} = input;
		const isOwnServingHome = home === this.#options.region && input.state === HomeState.serving;
		const goalFraction = Math.min(caps.max, Math.max(shift.totalFraction, Math.min(shift.wantedFraction(input), shift.totalFraction + caps.maxPerMinute)));
		const linkPerS = maxLinkBytesPerS / bytesPerRequest(load);
		let remainingPerS = goalFraction * demandPerS / maxGrantUtilization;
		// The VMs of a serving home region reserve grants for the growth that the cap per minute allows, so that its clients can fail over.
		let remainingReservePerS = isOwnServingHome ? Math.min(caps.maxPerMinute, caps.max - goalFraction) * demandPerS / maxGrantUtilization : 0;
		const requests: ShiftRequestBody[] = [];
		for (const region of new Set(targets.map(target => target.region))) {
			const servingTargets = targets.filter(target => target.region === region && state.domains.get(region)!.has(target.domain));
			const admittedPerS = sum(servingTargets, target => target.limitPerS / maxGrantUtilization);
			for (const target of servingTargets) {
				// Requests an equal amount from each failure domain, and more from one if the others grant less than theirs.
				const othersPerS = admittedPerS - (target.limitPerS / maxGrantUtilization);
				const requestPerS = (amountPerS: number): number => Math.min(linkPerS, Math.max(amountPerS / servingTargets.length, amountPerS - othersPerS));
				requests.push(this.#request(context, target, requestPerS(remainingPerS), requestPerS(remainingPerS + remainingReservePerS) - requestPerS(remainingPerS)));
			}

			remainingReservePerS -= Math.min(remainingReservePerS, Math.max(0, admittedPerS - remainingPerS));
			remainingPerS -= Math.min(remainingPerS, admittedPerS);
		}

		// Within the adoption window requests are always sent, because their answers contain the fractions that other VMs shift.
		return requests.filter(request => shift.isInAdoptionWindow(input.nowMs) || request.wantedPerS + request.reservePerS >= minRequestPerS);
	}

	#request({service, home, shift}: HomeContext, target: ShiftTarget, missingPerS: number, reservePerS: number): ShiftRequestBody {
		const demandPerS = shift.demandPerS ?? 0;
		return {
			service,
			fromDomain: this.#options.failureDomain,
			fromRegion: home,
			toDomain: target.domain,
			wantedPerS: Math.max(missingPerS, Math.max(shift.fraction(target.domain), shift.adoptedFraction(target.domain)) * demandPerS * renewalFactor / maxGrantUtilization),
			reservePerS,
			movedPerS: shift.settledFraction(target.domain) * demandPerS,
			movedFraction: shift.fraction(target.domain),
			demandPerS,
		};
	}
}

function sum<Item>(items: readonly Item[], value: (item: Item) => number): number {
	let total = 0;
	for (const item of items) {
		total += value(item);
	}

	return total;
}

function homeState(fleet: Fleet, home: string): HomeState {
	const region = fleet.regions.get(home)!;
	return region.isServing ? HomeState.serving : (region.isDrained ? HomeState.drained : HomeState.lost);
}

function bytesPerRequest(load: RegionLoad | undefined): number {
	return load === undefined || load.bytesPerRequest <= 0 ? assumedBytesPerRequest : load.bytesPerRequest;
}

/** Allocations with the fraction of each target and the additional fraction that may fail over to it; the latter is within the target's limit and, over all targets, within the remaining caps, and 0 unless the home region serves. */
function allocationsOf(shift: HomeShift, {targets, state, caps}: ShiftInput): ShiftAllocation[] {
	const demandPerS = shift.demandPerS ?? 0;
	let reserve = state === HomeState.serving ? shift.raiseBudget(caps) : 0;
	return targets.map(({region, domain, limitPerS}) => {
		const fraction = shift.fraction(domain);
		const limit = demandPerS > 0 ? Math.min(1, limitPerS / demandPerS) : 0;
		const standby = Math.max(0, Math.min(reserve, limit - fraction));
		reserve -= standby;
		return {
			domain, region, fraction, standbyFraction: fraction + standby,
		};
	});
}
