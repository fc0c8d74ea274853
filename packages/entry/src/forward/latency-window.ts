import {build, type Histogram} from 'hdr-histogram-js';
import {type TimerService} from '@fescuewick/core';

const windowMs = 10_000;
const refreshMs = 500;
const minSamples = 50;

/** Computes the p95 latency of recent answers, over windows of 10 s. */
export class LatencyWindow {
	#current: Histogram = newHistogram();
	#previous: Histogram = newHistogram();
	#rotatedAtMs: number;
	#computedAtMs = Number.NEGATIVE_INFINITY;
	#p95Ms: number | undefined;

	constructor(private readonly timers: TimerService) {
		this.#rotatedAtMs = timers.nowMs();
	}

	record(latencyMs: number): void {
		this.#current.recordValue(Math.min(3_600_000, Math.max(1, Math.round(latencyMs))));
	}

	/** The p95 latency, at least 1 ms; undefined if neither the current nor the previous window has 50 samples. */
	p95Ms(): number | undefined {
		const nowMs = this.timers.nowMs();
		if (nowMs - this.#computedAtMs < refreshMs) {
			return this.#p95Ms;
		}

		this.#computedAtMs = nowMs;
		if (nowMs - this.#rotatedAtMs >= windowMs) {
			this.#rotatedAtMs = nowMs;
			this.#previous = this.#current;
			this.#current = newHistogram();
		}

		const samples = this.#current.totalCount >= minSamples ? this.#current : this.#previous;
		this.#p95Ms = samples.totalCount >= minSamples ? samples.getValueAtPercentile(95) : undefined;
		return this.#p95Ms;
	}
}

function newHistogram(): Histogram {
	return build({
		bitBucketSize: 32, lowestDiscernibleValue: 1, highestTrackableValue: 3_600_000, numberOfSignificantValueDigits: 2, autoResize: false,
	});
}
