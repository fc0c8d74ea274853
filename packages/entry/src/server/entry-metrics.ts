import {Metrics, type ResultCode} from '@fescuewick/core';

const secondsBuckets = [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10];

/** Metrics of the request path. */
export class EntryMetrics {
	readonly #requests;
	readonly #duration;
	readonly #queueDuration;
	readonly #repeatedAttempts;
	readonly #inFlight;
	readonly #queueLength;
	readonly #usableSlots;
	readonly #drainDuration;

	constructor(readonly metrics: Metrics = new Metrics()) {
		this.#requests = metrics.counter('fescuewick_entry_requests_total', 'Requests by result code and class.', ['code', 'class']);
		this.#duration = metrics.histogram('fescuewick_entry_request_duration_seconds', 'Time from the arrival of a request to the end of its answer.', secondsBuckets, ['class']);
		this.#queueDuration = metrics.histogram('fescuewick_entry_queue_duration_seconds', 'Time that requests waited for a backend slot.', secondsBuckets, ['class']);
		this.#repeatedAttempts = metrics.counter('fescuewick_entry_repeated_attempts_total', 'Retries and hedges.', ['kind']);
		this.#inFlight = metrics.gauge('fescuewick_entry_in_flight_requests', 'Requests in progress.');
		this.#queueLength = metrics.gauge('fescuewick_entry_queued_requests', 'Requests that wait for a backend slot.', ['service']);
		this.#usableSlots = metrics.gauge('fescuewick_entry_usable_slots', 'Granted backend slots on servers that take new work.', ['service']);
		this.#drainDuration = metrics.gauge('fescuewick_entry_drain_duration_seconds', 'Time that the drain of this process took.');
	}

	recordRequest(code: ResultCode, className: string, durationS: number, queuedS: number): void {
		this.#requests.inc({code: String(code), class: className});
		this.#duration.observe({class: className}, durationS);
		this.#queueDuration.observe({class: className}, queuedS);
	}

	recordRepeatedAttempt(kind: 'retry' | 'hedge'): void {
		this.#repeatedAttempts.inc({kind});
	}

	sample(inFlight: number, services: Iterable<{service: string; queued: number; slots: number}>): void {
		this.#inFlight.set(inFlight);
		for (const {service, queued, slots} of services) {
			this.#queueLength.set({service}, queued);
			this.#usableSlots.set({service}, slots);
		}
	}

	recordDrain(durationS: number): void {
		this.#drainDuration.set(durationS);
	}
}
