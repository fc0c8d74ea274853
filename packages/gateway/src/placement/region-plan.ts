import {type Logger, type TimerService} from '@fescuewick/core';
import {type ConfigurationIndex} from '../model/configuration.js';
import {type FleetState} from '../state/fleet-state.js';
import {AdmittedPart, isAdmitted} from './object-admission.js';
import {
	assumeWork, isMeasured, regionParts, type RegionLoad,
} from './region-demand.js';
import {largestStep, RegionSteering} from './region-steering.js';
import {type RegionalWork} from './work-meter.js';
import {workShares, type WorkShares} from './work-shares.js';

/** Time after its start in which a VM takes over parts without a limit, in milliseconds; the first demand is measured and peers are heard by then. */
const youngMs = 3000;
/** Smallest change of the part of requests that leave the region that is logged. */
const loggedMovedStep = 0.05;
/** Smallest change of the admitted part of the objects that is logged. */
const loggedAdmittedStep = 0.1;

/** Parts of requests that run in other regions, by service and region. */
export type MovedParts = Readonly<Record<string, Readonly<Record<string, number>>>>;

/** Usable servers of a service in a region. */
export type ServerLoad = {
	readonly slots: number;
	/** Requests believed to be at them. */
	readonly requests: number;
};

/** What the plan of a service is adapted to. */
export type PlanInput = {
	readonly loads: ReadonlyMap<string, ServerLoad>;
	readonly work: RegionalWork;
	readonly elapsedMs: number;
	/** Parts that other VMs of this region use; undefined if none of them told. */
	readonly partsOfRegion: ReadonlyMap<string, number> | undefined;
};

/** What decides whether a request is admitted to the region that it is bound to. */
export type BoundRequest = {
	readonly service: string;
	readonly affinityKey: string | undefined;
	/** The region that its homes bind it to; undefined if it may run in any. */
	readonly boundRegion: string | undefined;
};

/** What a region plan needs. */
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

/** Which requests of this VM's callers go to which region, and which objects regions admit; adapted at a fixed interval. */
export class RegionPlan {
	readonly #startedAtMs: number;
	readonly #steerings = new Map<string, RegionSteering>();
	readonly #admittedParts = new Map<string, AdmittedPart>();
	/** Logged values by what they belong to. */
	readonly #logged = new Map<string, number>();
	#shares: {readonly index: ConfigurationIndex | undefined; readonly byService: Map<string, WorkShares>} = {index: undefined, byService: new Map()};

	constructor(private readonly options: RegionPlanOptions) {
		this.#startedAtMs = options.timers.nowMs();
	}

	/** The region of the next request; `fraction` is a stable number of its object in [0, 1), or a random one. */
	regionFor(service: string, fraction: number): string {
		return this.#steeringOf(service).next(fraction);
	}

	/** Whether the region that a request is bound to admits its object now; requests that may run in any region go to another one instead. */
	admits({service, affinityKey, boundRegion}: BoundRequest): boolean {
		return boundRegion === undefined || affinityKey === undefined || isAdmitted(affinityKey, this.#admittedPartOf(service, boundRegion).part, this.options.timers.wallClockMs());
	}

	/** Present parts that run in other regions, by service; none while the VM is young, as VMs that start together would take over each other's first measurements. */
	movedParts(): MovedParts {
		return this.#isYoung ? {} : Object.fromEntries([...this.#steerings].map(([service, {parts}]): [string, Record<string, number>] => [service, Object.fromEntries(parts)]).filter(([, parts]) => Object.keys(parts).length > 0));
	}

	/** Adapts the plan of a service to the servers and to the work of all regions' callers. */
	update(service: string, {loads, work, elapsedMs, partsOfRegion}: PlanInput): void {
		const {region, bounds} = this.options;
		for (const [name, {slots, requests}] of loads) {
			this.#admittedPartOf(service, name).update(requests / slots, elapsedMs);
			this.#logAdmission(service, name, requests / slots);
		}

		const measured = new Map<string, RegionLoad>([...loads].map(([name, {slots}]) => [name, {demandSlots: work.freeOf(name, service), boundSlots: work.boundTo(name, service), slots}]));
		const targets = regionParts(region, isMeasured(measured) ? measured : assumeWork(measured, this.#sharesOf(service)));
		const steering = this.#steeringOf(service);
		if (this.#isYoung) {
			// A VM without a past does what its region does; if no VM of the region has one, there is nothing to shift from.
			steering.update(partsOfRegion ?? targets, 1);
		} else {
			steering.update(targets, largestStep({isMeasured: isMeasured(measured), shiftMost: bounds().shiftMost, elapsedMs}));
		}

		this.#logSteering(service, steering, targets, measured);
	}

	get #isYoung(): boolean {
		return this.options.timers.nowMs() - this.#startedAtMs < youngMs;
	}

	#steeringOf(service: string): RegionSteering {
		let steering = this.#steerings.get(service);
		if (steering === undefined) {
			steering = new RegionSteering(this.options.region);
			this.#steerings.set(service, steering);
		}

		return steering;
	}

	#admittedPartOf(service: string, region: string): AdmittedPart {
		const key = `${service}\u0000${region}`;
		let part = this.#admittedParts.get(key);
		if (part === undefined) {
			part = new AdmittedPart();
			this.#admittedParts.set(key, part);
		}

		return part;
	}

	/** Shares of work by the present configuration, worked out once for each service. */
	#sharesOf(service: string): WorkShares {
		const {state: {configuration}, regions} = this.options;
		if (this.#shares.index !== configuration) {
			this.#shares = {index: configuration, byService: new Map()};
		}

		let shares = this.#shares.byService.get(service);
		if (shares === undefined) {
			const {routes = [], workspaces = []} = configuration?.configuration ?? {};
			shares = workShares({
				service, routes, workspaces, regions,
			});
			this.#shares.byService.set(service, shares);
		}

		return shares;
	}

	/** Whether a value differs from the last logged one by a step; remembers it as logged if so. */
	#shouldLog(key: string, value: number, initial: number, step: number): boolean {
		if (Math.abs(value - (this.#logged.get(key) ?? initial)) < step) {
			return false;
		}

		this.#logged.set(key, value);
		return true;
	}

	/** One line for each noticeable change of the parts of requests that leave the region. */
	#logSteering(service: string, steering: RegionSteering, targets: ReadonlyMap<string, number>, loads: ReadonlyMap<string, RegionLoad>): void {
		const movedPart = Math.round(steering.movedPart * 100) / 100;
		if (this.#shouldLog(`steering\u0000${service}`, movedPart, 0, loggedMovedStep)) {
			this.options.logger.info({
				event: 'steering', service, movedPart, targets: Object.fromEntries([...targets].map(([name, part]) => [name, Math.round(part * 100) / 100])),
				loads: Object.fromEntries([...loads].map(([name, {demandSlots, boundSlots, slots}]) => [name, {free: Math.round(demandSlots * 10) / 10, bound: Math.round(boundSlots * 10) / 10, slots}])),
			}, 'the part of requests that leaves the region changed');
		}
	}

	/** One line for each noticeable change of the part of the objects that a region admits. */
	#logAdmission(service: string, region: string, pressure: number): void {
		const admittedPart = Math.round(this.#admittedPartOf(service, region).part * 100) / 100;
		if (this.#shouldLog(`admission\u0000${service}\u0000${region}`, admittedPart, 1, loggedAdmittedStep)) {
			this.options.logger.info({
				event: 'admission', service, region, admittedPart, requestsPerSlot: Math.round(pressure * 100) / 100,
			}, 'the part of the objects that the region admits changed');
		}
	}
}
