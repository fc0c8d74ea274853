import {type TimerService} from '@fescuewick/core';

/** Samples kept of each route; with the highest quantile that the settings allow, 0.99, five of them are above it. */
const maxSamples = 512;
/** Samples older than this are left out, in milliseconds; a VM that sees a few requests a second of a route still has enough of them. */
const maxSampleAgeMs = 60_000;
/** Interval at which the quantiles of a route are computed anew, in milliseconds. */
const refreshIntervalMs = 500;

/** Quantiles of a route's recent response times. */
export type ResponseTimeQuantiles = {
	readonly sampleCount: number;
	/** 0 without samples. */
	readonly medianMs: number;
	/** The configured quantile; 0 without samples. */
	readonly quantileMs: number;
};

/** Recent response times of one route, in a ring buffer. */
class ResponseTimeWindow {
	quantiles: ResponseTimeQuantiles = {sampleCount: 0, medianMs: 0, quantileMs: 0};
	readonly #durationsMs = new Float64Array(maxSamples);
	readonly #addedAtMs = new Float64Array(maxSamples);
	#count = 0;
	#refreshedAtMs = Number.NEGATIVE_INFINITY;

	add(durationMs: number, nowMs: number): void {
		const index = this.#count % maxSamples;
		this.#durationsMs[index] = durationMs;
		this.#addedAtMs[index] = nowMs;
		this.#count++;
	}

	refresh(quantile: number, nowMs: number): void {
		if (nowMs - this.#refreshedAtMs < refreshIntervalMs) {
			return;
		}

		this.#refreshedAtMs = nowMs;
		const sorted = this.#durationsMs.slice(0, this.#count).filter((_, index) => nowMs - this.#addedAtMs[index] <= maxSampleAgeMs).sort();
		const valueAt = (fraction: number) => sorted[Math.max(0, Math.ceil(sorted.length * fraction) - 1)] ?? 0;
		this.quantiles = {sampleCount: sorted.length, medianMs: valueAt(0.5), quantileMs: valueAt(quantile)};
	}
}

/** Quantiles of the recent times from sending a request to the head of its response, by route. */
export class ResponseTimes {
	readonly #routes = new Map<string, ResponseTimeWindow>();

	constructor(private readonly timers: TimerService, private readonly quantile: number) {}

	/** Quantiles of a route, at most half a second old. */
	of(route: string): ResponseTimeQuantiles {
		const window = this.#windowOf(route);
		window.refresh(this.quantile, this.timers.nowMs());
		return window.quantiles;
	}

	add(route: string, durationMs: number): void {
		this.#windowOf(route).add(durationMs, this.timers.nowMs());
	}

	/**
	Adds an attempt that was cancelled without a response after `elapsedMs`.

	Without these samples the quantile would fall with each hedged request that wins, since the slowest responses never arrive. An attempt cancelled below the quantile could have ended on either side of it and is left out.
	*/
	addUnanswered(route: string, elapsedMs: number): void {
		if (elapsedMs >= this.of(route).quantileMs) {
			this.add(route, elapsedMs);
		}
	}

	#windowOf(route: string): ResponseTimeWindow {
		let window = this.#routes.get(route);
		if (window === undefined) {
			window = new ResponseTimeWindow();
			this.#routes.set(route, window);
		}

		return window;
	}
}
