import {DemandMeter} from '@fescuewick/shares';

/** Slots needed, by service. */
export type WorkBySlots = Readonly<Record<string, number>>;

/** Work that callers ask for. */
export type RequestedWork = {
	/** Of requests that may run in any region. */
	readonly free: WorkBySlots;
	/** Of requests that have to run in a region, by region. */
	readonly bound: Readonly<Record<string, WorkBySlots>>;
};

/**
Part of a refused request that counts as work. Refused callers are told to come back within a quarter of the time that they have left, so a request is refused about four times before it is given up; counted in full, a region that refuses would seem to need several times its work.
*/
const refusedPart = 0.25;

type Meters = Map<string, DemandMeter>;

/** Measures how many slots the requests of this VM's callers need: arrivals times usual duration, refused ones included for the part that does not come back. */
export class WorkMeter {
	readonly #free: Meters = new Map();
	readonly #bound = new Map<string, Meters>();

	/** Counts a request that was asked for; `region` is the one in which it has to run, if any. */
	arrived(service: string, region: string | undefined): void {
		this.#meterOf(service, region).add(1);
	}

	/** Takes in that a request that was counted was refused and its caller told to come back. */
	refused(service: string, region: string | undefined): void {
		this.#meterOf(service, region).add(refusedPart - 1);
	}

	/** Ends a measuring interval. */
	sample(elapsedMs: number): void {
		for (const meters of [this.#free, ...this.#bound.values()]) {
			for (const meter of meters.values()) {
				meter.sample(elapsedMs);
			}
		}
	}

	/** Slots needed now; `durationMs` gives the usual duration of requests of a service. */
	slots(durationMs: (service: string) => number): RequestedWork {
		const slotsOf = (meters: Meters): WorkBySlots => Object.fromEntries([...meters].map(([service, meter]) => [service, meter.ratePerS * durationMs(service) / 1000]));
		return {free: slotsOf(this.#free), bound: Object.fromEntries([...this.#bound].map(([region, meters]) => [region, slotsOf(meters)]))};
	}

	#meterOf(service: string, region: string | undefined): DemandMeter {
		const meters = region === undefined ? this.#free : this.#metersOf(region);
		let meter = meters.get(service);
		if (meter === undefined) {
			meter = new DemandMeter();
			meters.set(service, meter);
		}

		return meter;
	}

	#metersOf(region: string): Meters {
		let meters = this.#bound.get(region);
		if (meters === undefined) {
			meters = new Map();
			this.#bound.set(region, meters);
		}

		return meters;
	}
}

/** Work of several VMs, by the region of their callers. */
export class RegionalWork {
	readonly #free = new Map<string, number>();
	readonly #bound = new Map<string, number>();

	/** Adds the work of a VM of the region. */
	add(region: string, {free, bound}: RequestedWork): void {
		addAll(this.#free, region, free);
		for (const [target, work] of Object.entries(bound)) {
			addAll(this.#bound, target, work);
		}
	}

	/** Slots of a service that a region's callers need in any region. */
	freeOf(region: string, service: string): number {
		return this.#free.get(keyOf(region, service)) ?? 0;
	}

	/** Slots of a service that callers of all regions need in this region. */
	boundTo(region: string, service: string): number {
		return this.#bound.get(keyOf(region, service)) ?? 0;
	}
}

function addAll(sums: Map<string, number>, region: string, work: WorkBySlots): void {
	for (const [service, slots] of Object.entries(work)) {
		const key = keyOf(region, service);
		sums.set(key, (sums.get(key) ?? 0) + slots);
	}
}

function keyOf(region: string, service: string): string {
	return `${region}\u0000${service}`;
}
