import {DemandMeter} from '@fescuewick/shares';

/** Slots needed, by service. */
export type WorkBySlots = Readonly<Record<string, number>>;

/** Measures how many slots the requests of this VM's callers need, by service: arrivals times usual duration, refused ones included. */
export class WorkMeter {
	readonly #arrivals = new Map<string, DemandMeter>();

	/** Counts a request that was asked for. */
	arrived(service: string): void {
		let meter = this.#arrivals.get(service);
		if (meter === undefined) {
			meter = new DemandMeter();
			this.#arrivals.set(service, meter);
		}

		meter.add(1);
	}

	/** Ends a measuring interval. */
	sample(elapsedMs: number): void {
		for (const meter of this.#arrivals.values()) {
			meter.sample(elapsedMs);
		}
	}

	/** Slots needed now; `durationMs` gives the usual duration of requests of a service. */
	slots(durationMs: (service: string) => number): WorkBySlots {
		return Object.fromEntries([...this.#arrivals].map(([service, meter]) => [service, meter.ratePerS * durationMs(service) / 1000]));
	}
}
