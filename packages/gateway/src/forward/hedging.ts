import {type Metrics, type TimerService} from '@fescuewick/core';
import {type GatewaySettings} from '../settings.js';
import {RetryBudgets} from './forwarding-context.js';
import {type HedgeRefusal} from './hedging-policy.js';
import {ResponseTimes} from './response-times.js';

/** Which attempt of a hedged request was answered to the caller. */
export enum HedgeWinner {
	first = 'first',
	hedge = 'hedge',
	none = 'none',
}

type HedgingOptions = {
	readonly timers: TimerService;
	readonly metrics: Metrics;
	readonly settings: GatewaySettings['hedging'];
	/** Window of the operator's fraction, in milliseconds. */
	readonly windowMs: number;
};

/** What this VM knows for hedging requests: response times by route, and the use of the operator's fraction and recent rejections by service. */
export class Hedging {
	readonly responseTimes: ResponseTimes;
	readonly quantile: number;
	readonly #budgets: RetryBudgets;
	readonly #rejectedAtMs = new Map<string, number>();
	readonly #hedged;
	readonly #refusals;

	constructor(private readonly options: HedgingOptions) {
		const {timers, metrics, settings: {fraction, quantile}, windowMs} = options;
		this.quantile = quantile;
		this.responseTimes = new ResponseTimes(timers, quantile);
		this.#budgets = new RetryBudgets(timers, {windowMs, fraction, minCount: () => 0});
		this.#hedged = metrics.counter('fescuewick_hedged_requests_total', 'Hedged requests by the attempt whose response the caller got', ['winner'] as const);
		this.#refusals = metrics.counter('fescuewick_hedge_refusals_total', 'Requests that were not hedged, by reason', ['reason'] as const);
	}

	/** Counts a request of a service. */
	recordRequest(service: string): void {
		this.#budgets.forService(service).recordFirstAttempt();
	}

	/** Records that a server of a service rejected a request. */
	recordRejection(service: string): void {
		this.#rejectedAtMs.set(service, this.options.timers.nowMs());
	}

	/** Time since a server of a service last rejected a request, in milliseconds. */
	sinceRejectionMs(service: string): number {
		return this.options.timers.nowMs() - (this.#rejectedAtMs.get(service) ?? Number.NEGATIVE_INFINITY);
	}

	/** Hedged requests that the operator's fraction still allows a service. */
	fractionLeft(service: string): number {
		return this.#budgets.forService(service).remaining;
	}

	/** Counts a hedged request against the operator's fraction. */
	recordHedge(service: string): void {
		this.#budgets.forService(service).take();
	}

	/** Counts a hedged request that has ended. */
	recordEnd(winner: HedgeWinner): void {
		this.#hedged.inc({winner});
	}

	recordRefusal(reason: HedgeRefusal): void {
		this.#refusals.inc({reason});
	}
}
