import {type Logger, type TimerService} from '@fescuewick/core';
import {type ConfigurationIndex} from '../model/configuration.js';
import {type FleetState} from '../state/fleet-state.js';
import {DemandTrend} from './demand-trend.js';
import {ObjectAdmissionController, isAdmitted} from './object-admission.js';
import {
	assumeDemand, hasMeasuredDemand, offloadFractions, type RegionLoad,
} from './region-demand.js';
import {maxFractionChange, RegionSteering} from './region-steering.js';
import {type RegionalDemand} from './slot-demand-meter.js';
import {demandShares, type DemandShares} from './demand-shares.js';

/** Time after its start in which a VM applies fractions without a step limit; by its end the first demand is measured and peers have reported. */
const startupMs = 3000;
/** Minimum change of the fraction of requests shifted to other regions that is logged. */
const minLoggedShiftChange = 0.05;
/** Minimum change of the admitted fraction of objects that is logged. */
const minLoggedAdmittedChange = 0.1;

/** Fractions of requests sent to other regions, by service and region. */
export type ShiftedFractions = Readonly<Record<string, Readonly<Record<string, number>>>>;

/** Usable servers of a service in a region. */
export type ServerLoad = {
	readonly slots: number;
	/** Estimated number of requests at them. */
	readonly requests: number;
};

/** Inputs to an update of a service's plan. */
export type PlanInput = {
	readonly loads: ReadonlyMap<string, ServerLoad>;
	readonly demand: RegionalDemand;
	readonly elapsedMs: number;
	/** Fractions that other VMs of this region use; undefined if none of them reported any. */
	readonly peerFractions: ReadonlyMap<string, number> | undefined;
};

/** Inputs to the decision whether a request is admitted to the region that it is bound to. */
export type AdmissionRequest = {
	readonly service: string;
	readonly affinityKey: string | undefined;
	/** The home region that it is bound to; undefined if it may run in any region. */
	readonly boundRegion: string | undefined;
};

/** Options of a region plan. */
export type RegionPlanOptions = {
	readonly state: FleetState;
	readonly timers: TimerService;
	readonly logger: Logger;
	/** The region of this VM. */
	readonly region: string;
	/** All regions of the deployment. */
	readonly regions: readonly string[];
	readonly bounds: () => {readonly shiftMost: number};
};

/** Decides which region each request of this VM's callers goes to and which objects regions admit; updated at a fixed interval. */
export class RegionPlan {
	readonly #startedAtMs: number;
	readonly #steerings = new Map<string, RegionSteering>();
	readonly #admissionControllers = new Map<string, ObjectAdmissionController>();
	/** Trends of the demand, by service and region. */
	readonly #trends = new Map<string, DemandTrend>();
	/** Last logged values, by kind of event, service and region. */
	readonly #logged = new Map<string, number>();
	#shares: {readonly index: ConfigurationIndex | undefined; readonly byService: Map<string, DemandShares>} = {index: undefined, byService: new Map()};

	constructor(private readonly options: RegionPlanOptions) {
		this.#startedAtMs = options.timers.nowMs();
	}

	/** Assigns a region to a request; `fraction` is the hash of its object in [0, 1), or a random number. */
	regionFor(service: string, fraction: number): string {
		return this.#steeringOf(service).next(fraction);
	}

	/** Whether the region that a request is bound to admits its object now; true for requests without a bound region or an affinity key. */
	admits({service, affinityKey, boundRegion}: AdmissionRequest): boolean {
		return boundRegion === undefined || affinityKey === undefined || isAdmitted(affinityKey, this.#admissionControllerOf(service, boundRegion).fraction, this.options.timers.wallClockMs());
	}

	/** Current fractions of requests sent to other regions, by service and region; empty during startup, because VMs that start together would otherwise adopt fractions based on each other's first measurements. */
	shiftedFractions(): ShiftedFractions {
		return this.#isStartingUp ? {} : Object.fromEntries([...this.#steerings].map(([service, {fractions}]): [string, Record<string, number>] => [service, Object.fromEntries(fractions)]).filter(([, fractions]) => Object.keys(fractions).length > 0));
	}

	/** Adapts the plan of a service to its servers and to the demand in all regions. */
	update(service: string, {loads, demand, elapsedMs, peerFractions}: PlanInput): void {
		const {region, bounds} = this.options;
		for (const [name, {slots, requests}] of loads) {
			this.#admissionControllerOf(service, name).update(requests / slots, elapsedMs);
			this.#logAdmission(service, name, requests / slots);
		}

		const measured = new Map<string, RegionLoad>([...loads].map(([name, {slots}]) => [name, {
			unboundSlots: demand.unboundSlots(name, service), boundSlots: demand.boundSlots(name, service), slots,
		}]));
		const targets = offloadFractions(region, hasMeasuredDemand(measured) ? this.#forecast(service, measured) : assumeDemand(measured, this.#sharesOf(service)));
		const steering = this.#steeringOf(service);
		if (this.#isStartingUp) {
			// A starting VM adopts the fractions of its region. If no VM of the region reports any, there is no traffic to shift, so the targets apply without a step limit.
			steering.update(peerFractions ?? targets, 1);
		} else {
			steering.update(targets, maxFractionChange({isMeasured: hasMeasuredDemand(measured), shiftMost: bounds().shiftMost, elapsedMs}));
		}

		this.#logSteering(service, steering, targets, measured);
	}

	/** Replaces the unbound demand in the loads by the highest one expected in the next seconds. */
	#forecast(service: string, loads: ReadonlyMap<string, RegionLoad>): ReadonlyMap<string, RegionLoad> {
		const nowMs = this.options.timers.nowMs();
		return new Map([...loads].map(([name, load]) => [name, {...load, unboundSlots: this.#trendOf(service, name).forecast(load.unboundSlots, nowMs)}]));
	}

	#trendOf(service: string, region: string): DemandTrend {
		const key = `${service}\u0000${region}`;
		let trend = this.#trends.get(key);
		if (trend === undefined) {
			trend = new DemandTrend();
			this.#trends.set(key, trend);
		}

		return trend;
	}

	get #isStartingUp(): boolean {
		return this.options.timers.nowMs() - this.#startedAtMs < startupMs;
	}

	#steeringOf(service: string): RegionSteering {
		let steering = this.#steerings.get(service);
		if (steering === undefined) {
			steering = new RegionSteering(this.options.region);
			this.#steerings.set(service, steering);
		}

		return steering;
	}

	#admissionControllerOf(service: string, region: string): ObjectAdmissionController {
		const key = `${service}\u0000${region}`;
		let controller = this.#admissionControllers.get(key);
		if (controller === undefined) {
			controller = new ObjectAdmissionController();
			this.#admissionControllers.set(key, controller);
		}

		return controller;
	}

	/** Demand shares by the current configuration, computed once for each service. */
	#sharesOf(service: string): DemandShares {
		const {state: {configuration}, regions} = this.options;
		if (this.#shares.index !== configuration) {
			this.#shares = {index: configuration, byService: new Map()};
		}

		let shares = this.#shares.byService.get(service);
		if (shares === undefined) {
			const {routes = [], workspaces = []} = configuration?.configuration ?? {};
			shares = demandShares({
				service, routes, workspaces, regions,
			});
			this.#shares.byService.set(service, shares);
		}

		return shares;
	}

	/** Whether a value differs from the last logged one by at least `step`; if so, stores it as logged. */
	#shouldLog(key: string, value: number, initial: number, step: number): boolean {
		if (Math.abs(value - (this.#logged.get(key) ?? initial)) < step) {
			return false;
		}

		this.#logged.set(key, value);
		return true;
	}

	/** Logs each change of at least `minLoggedShiftChange`. */
	#logSteering(service: string, steering: RegionSteering, targets: ReadonlyMap<string, number>, loads: ReadonlyMap<string, RegionLoad>): void {
		const shiftedFraction = Math.round(steering.shiftedFraction * 100) / 100;
		if (this.#shouldLog(`steering\u0000${service}`, shiftedFraction, 0, minLoggedShiftChange)) {
			this.options.logger.info({
				event: 'steering', service, movedPart: shiftedFraction, targets: Object.fromEntries([...targets].map(([name, fraction]) => [name, Math.round(fraction * 100) / 100])),
				loads: Object.fromEntries([...loads].map(([name, {unboundSlots, boundSlots, slots}]) => [name, {free: Math.round(unboundSlots * 10) / 10, bound: Math.round(boundSlots * 10) / 10, slots}])),
			}, 'the part of requests that leaves the region changed');
		}
	}

	/** Logs each change of at least `minLoggedAdmittedChange`. */
	#logAdmission(service: string, region: string, utilization: number): void {
		const admittedFraction = Math.round(this.#admissionControllerOf(service, region).fraction * 100) / 100;
		if (this.#shouldLog(`admission\u0000${service}\u0000${region}`, admittedFraction, 1, minLoggedAdmittedChange)) {
			this.options.logger.info({
				event: 'admission', service, region, admittedPart: admittedFraction, requestsPerSlot: Math.round(utilization * 100) / 100,
			}, 'the fraction of objects that the region admits changed');
		}
	}
}
