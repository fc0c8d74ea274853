import {type TimerService} from '@fescuewick/core';
import {RetryBudget, type CloseBarrier, type RetryLimits} from '@fescuewick/entry/http';
import {type ActiveRequest, type RequestQueues} from '../admission/request-queues.js';
import {type TokenBorrower} from '../limits/token-borrower.js';
import {type WorkspaceLimiter} from '../limits/workspace-limiter.js';
import {type SlotDemandMeter} from '../placement/slot-demand-meter.js';
import {type Placer} from '../placement/placer.js';
import {type HeaderDialect} from './header-dialect.js';
import {type Hedging} from './hedging.js';
import {type RouteLatency} from './route-latency.js';

/** Fields of a finished request's log line. */
export type RequestSummary = Readonly<Record<string, string | number | boolean | undefined>> & {readonly code: number; readonly durationMs: number};

/** Retry budgets by service. */
export class RetryBudgets {
	readonly #budgets = new Map<string, RetryBudget>();

	constructor(private readonly timers: TimerService, private readonly limits: RetryLimits) {}

	forService(service: string): RetryBudget {
		let budget = this.#budgets.get(service);
		if (budget === undefined) {
			budget = new RetryBudget(this.timers, this.limits);
			this.#budgets.set(service, budget);
		}

		return budget;
	}
}

/** Dependencies that all requests of the process share. */
export type ForwardingContext = {
	readonly timers: TimerService;
	readonly random: () => number;
	readonly dialect: HeaderDialect;
	readonly placer: Placer;
	readonly limiter: WorkspaceLimiter;
	readonly tokenBorrower: TokenBorrower;
	readonly queues: RequestQueues;
	/** Requests are sent to servers only behind it. */
	readonly closeBarrier: CloseBarrier;
	readonly retryBudgets: RetryBudgets;
	/** Undefined unless the settings allow hedged requests. */
	readonly hedging: Hedging | undefined;
	readonly latency: RouteLatency;
	readonly slotDemandMeter: SlotDemandMeter;
	readonly isDraining: () => boolean;
	/** Longest body of an answer, in bytes. */
	readonly maxAnswerBytes: number;
	readonly configurationVersion: () => number | undefined;
	/** Called once for each request; `request` is undefined for those that were refused at admission. */
	readonly onFinished: (request: ActiveRequest | undefined, summary: RequestSummary) => void;
};
