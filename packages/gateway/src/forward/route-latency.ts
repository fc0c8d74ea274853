/** Weight of a new measurement. */
const weight = 0.1;

/** Usual duration of requests by route, and by service, in milliseconds. */
export class RouteLatency {
	readonly #byName = new Map<string, number>();

	/** The usual duration, or `initialMs` before the first measurement. */
	expectedMs(name: string, initialMs: number): number {
		return this.#byName.get(name) ?? initialMs;
	}

	add(name: string, durationMs: number, initialMs: number): void {
		const before = this.expectedMs(name, initialMs);
		this.#byName.set(name, before + ((durationMs - before) * weight));
	}
}
