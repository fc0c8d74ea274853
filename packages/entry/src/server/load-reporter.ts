import {type Cancel, type Location, type TimerService} from '@fescuewick/core';
import {MessageType, type ControlClient, type LoadEntry} from '@fescuewick/wire';
import {type ServiceRegistry} from './service-registry.js';

const reportIntervalMs = 1000;

/** Reports capacity and load of each service to the control daemon every second. */
export class LoadReporter {
	readonly #cancel: Cancel;
	#reportedAtMs: number;

	constructor(private readonly timers: TimerService, private readonly control: Pick<ControlClient, 'send'>, private readonly location: Location, private readonly services: ServiceRegistry) {
		this.#reportedAtMs = timers.nowMs();
		this.#cancel = timers.repeat(reportIntervalMs, () => {
			this.report();
		});
	}

	report(): void {
		const intervalMs = Math.max(1, this.timers.nowMs() - this.#reportedAtMs);
		this.#reportedAtMs = this.timers.nowMs();
		const {failureDomain, region} = this.location;
		const entries = [...this.services.schedulers].map(({service, pool}): LoadEntry => {
			const {requests, bytes} = this.services.takeLoad(service);
			return {
				service,
				failureDomain,
				region,
				capacityPerS: this.services.capacityPerS(service),
				loadPerS: requests * 1000 / intervalMs,
				cold: [...pool.backends].some(backend => backend.slowStarting),
				bytesPerRequest: requests === 0 ? 0 : bytes / requests,
				ageMs: 0,
			};
		});
		this.control.send(MessageType.loadReport, {entries});
	}

	stop(): void {
		this.#cancel();
	}
}
