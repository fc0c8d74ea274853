import {DemandMeter} from '@fescuewick/shares';

/** Demand in slots, by service. */
export type SlotsByService = Readonly<Record<string, number>>;

/** Demand of callers. */
export type SlotDemand = {
	/** Demand of requests that may run in any region. */
	readonly free: SlotsByService;
	/** Demand of requests bound to a home region, by that region. */
	readonly bound: Readonly<Record<string, SlotsByService>>;
};

/**
Weight of a refused request in the demand. Refused callers get a retry delay of about a quarter of their time left, so a request is refused about four times before the caller gives up; at full weight, a region that refuses would seem to have several times its demand.
*/
const refusedWeight = 0.25;

type Meters = Map<string, DemandMeter>;

/** Measures the demand of this VM's callers in slots: arrival rate times typical duration, with refused requests at a reduced weight because they are retried. */
export class SlotDemandMeter {
	readonly #free: Meters = new Map();
	readonly #bound = new Map<string, Meters>();

	/** Counts an arriving request; `region` is the home region that it is bound to, if any. */
	recordArrival(service: string, region: string | undefined): void {
		this.#meterOf(service, region).add(1);
	}

	/** Reduces the weight of a counted request that was refused with a retry delay. */
	recordRefusal(service: string, region: string | undefined): void {
		this.#meterOf(service, region).add(refusedWeight - 1);
	}

	/** Ends a measuring interval and updates the arrival rates. */
	sample(elapsedMs: number): void {
		for (const meters of [this.#free, ...this.#bound.values()]) {
			for (const meter of meters.values()) {
				meter.sample(elapsedMs);
			}
		}
	}

	/** Current demand in slots; `durationMs` returns the typical duration of a service's requests. */
	slots(durationMs: (service: string) => number): SlotDemand {
		const slotsOf = (meters: Meters): SlotsByService => Object.fromEntries([...meters].map(([service, meter]) => [service, meter.ratePerS * durationMs(service) / 1000]));
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

/** Total demand of several VMs by region. */
export class RegionalDemand {
	readonly #free = new Map<string, number>();
	readonly #bound = new Map<string, number>();

	/** Adds the demand of a VM in `region`. */
	add(region: string, {free, bound}: SlotDemand): void {
		addSlots(this.#free, region, free);
		for (const [target, demand] of Object.entries(bound)) {
			addSlots(this.#bound, target, demand);
		}
	}

	/** Demand of a region's callers for a service that may be served in any region, in slots. */
	unboundSlots(region: string, service: string): number {
		return this.#free.get(keyOf(region, service)) ?? 0;
	}

	/** Demand of all regions' callers for a service that is bound to this region, in slots. */
	boundSlots(region: string, service: string): number {
		return this.#bound.get(keyOf(region, service)) ?? 0;
	}
}

function addSlots(sums: Map<string, number>, region: string, demand: SlotsByService): void {
	for (const [service, slots] of Object.entries(demand)) {
		const key = keyOf(region, service);
		sums.set(key, (sums.get(key) ?? 0) + slots);
	}
}

function keyOf(region: string, service: string): string {
	return `${region}\u0000${service}`;
}
