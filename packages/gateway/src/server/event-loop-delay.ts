import {type Logger, type Metrics, type TimerService} from '@fescuewick/core';

/** A check that is late by more than this is logged, in milliseconds; meanwhile the process reads nothing from its sockets. */
const reportedDelayMs = 250;
/** Upper bounds of the delay buckets, in seconds. */
const delayBucketsS = [0.01, 0.05, 0.1, 0.25, 0.5, 1, 2];

type EventLoopDelayOptions = {
	readonly metrics: Metrics;
	readonly timers: TimerService;
	readonly logger: Logger;
	/** Interval at which `check` is called, in milliseconds. */
	readonly intervalMs: number;
};

/** Measures how late the event loop runs timers, as when the process is short of processor time. */
export class EventLoopDelay {
	readonly #histogram;
	#lastCheckMs: number;

	constructor(private readonly options: EventLoopDelayOptions) {
		this.#lastCheckMs = options.timers.nowMs();
		this.#histogram = options.metrics.histogram('fescuewick_event_loop_delay_seconds', 'Time by which a regular check of the event loop was late', delayBucketsS);
	}

	/** To be called every `intervalMs`. */
	check(): void {
		const {timers, logger, intervalMs} = this.options;
		const nowMs = timers.nowMs();
		const delayMs = Math.max(0, nowMs - this.#lastCheckMs - intervalMs);
		this.#lastCheckMs = nowMs;
		this.#histogram.observe(delayMs / 1000);
		if (delayMs > reportedDelayMs) {
			logger.warn({event: 'event-loop-late', delayMs: Math.round(delayMs), limitMs: reportedDelayMs}, 'the event loop was late; requests and closes of callers were read late');
		}
	}
}
