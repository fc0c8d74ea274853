/** Weight of a new measurement. */
const meanWeight = 0.1;
/** Part of the requests that are shorter than the typical duration; low, so that waits at servers and objects that a server does not remember count little. */
const typicalQuantile = 0.4;
/** Largest change of the typical duration by one measurement, as a part of it. */
const typicalStepScale = 0.08;

/** Durations of requests by route, and what they occupy a slot for by service, in milliseconds. */
export class RouteLatency {
	readonly #routes = new Map<string, number>();
	readonly #services = new Map<string, number>();

	/** The mean duration of a route, or `initialMs` before the first measurement. */
	expectedMs(route: string, initialMs: number): number {
		return this.#routes.get(route) ?? initialMs;
	}

	/** The typical duration of a service's requests without waits, or `initialMs` before the first measurement. */
	typicalMs(service: string, initialMs: number): number {
		return this.#services.get(service) ?? initialMs;
	}

	add({route, service, durationMs, initialMs}: {readonly route: string; readonly service: string; readonly durationMs: number; readonly initialMs: number}): void {
		const mean = this.expectedMs(route, initialMs);
		this.#routes.set(route, mean + ((durationMs - mean) * meanWeight));
		// Moves towards the quantile, whatever the distribution of the rest.
		const typical = this.typicalMs(service, initialMs);
		this.#services.set(service, typical * (durationMs > typical ? 1 + (typicalStepScale * typicalQuantile) : 1 - (typicalStepScale * (1 - typicalQuantile))));
	}
}
