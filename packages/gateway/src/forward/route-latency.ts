/** Weight of a new measurement in the moving average. */
const meanWeight = 0.1;
/** Quantile of the typical duration; below the median, so that queueing at servers and cache misses for objects have little effect. */
const typicalQuantile = 0.4;
/** Step size of the quantile estimate, as a fraction of the estimate. */
const typicalStepFraction = 0.08;

/** Mean durations of requests by route, and typical times that a request occupies a slot by service, in milliseconds. */
export class RouteLatency {
	readonly #routes = new Map<string, number>();
	readonly #services = new Map<string, number>();

	/** Mean duration of requests on a route, or `initialMs` before the first measurement. */
	expectedMs(route: string, initialMs: number): number {
		return this.#routes.get(route) ?? initialMs;
	}

	/** Typical duration of a service's requests without queueing, or `initialMs` before the first measurement. */
	typicalMs(service: string, initialMs: number): number {
		return this.#services.get(service) ?? initialMs;
	}

	add({route, service, durationMs, initialMs}: {readonly route: string; readonly service: string; readonly durationMs: number; readonly initialMs: number}): void {
		const mean = this.expectedMs(route, initialMs);
		this.#routes.set(route, mean + ((durationMs - mean) * meanWeight));
		// Stochastic quantile estimate: the step depends only on whether the measurement is above or below the estimate, so outliers have no more weight than others.
		const typical = this.typicalMs(service, initialMs);
		this.#services.set(service, typical * (durationMs > typical ? 1 + (typicalStepFraction * typicalQuantile) : 1 - (typicalStepFraction * (1 - typicalQuantile))));
	}
}
