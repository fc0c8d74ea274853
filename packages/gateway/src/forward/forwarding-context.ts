import {type TimerService} from '@fescuewick/core';
import {RetryBudget, type RetryLimits} from '@fescuewick/entry/http';
import {WaitingLine} from '../admission/waiting-line.js';
import {type WorkspaceLimiter} from '../limits/workspace-limiter.js';
import {type WorkMeter} from '../placement/work-meter.js';
import {type Placer} from '../placement/placer.js';
import {type HeaderDialect} from './header-dialect.js';
import {type RequestRun} from './request-run.js';
import {type RouteLatency} from './route-latency.js';

/** What a finished request leaves in the log. */
export type RequestSummary = Readonly<Record<string, string | number | boolean | undefined>> & {readonly code: number; readonly durationMs: number};

/** Requests that a waiting line tries to place when a slot becomes free. */
const triedAtOnce = 8;

/** The waiting lines by service. */
export class WaitingLines {
	readonly #lines = new Map<string, WaitingLine<RequestRun>>();

	of(service: string): WaitingLine<RequestRun> {
		let line = this.#lines.get(service);
		if (line === undefined) {
			line = new WaitingLine();
			this.#lines.set(service, line);
		}

		return line;
	}

	/** Gives the first waiting requests of a service another try. */
	roomFor(service: string): void {
		let tried = 0;
		for (const run of this.of(service).inOrder()) {
			if (tried++ >= triedAtOnce) {
				return;
			}

			run.onRoom();
		}
	}

	/** As `roomFor`, for all services. */
	room(): void {
		for (const service of this.#lines.keys()) {
			this.roomFor(service);
		}
	}
}

/** Retry budgets by service. */
export class RetryBudgets {
	readonly #budgets = new Map<string, RetryBudget>();

	constructor(private readonly timers: TimerService, private readonly limits: RetryLimits) {}

	of(service: string): RetryBudget {
		let budget = this.#budgets.get(service);
		if (budget === undefined) {
			budget = new RetryBudget(this.timers, this.limits);
			this.#budgets.set(service, budget);
		}

		return budget;
	}
}

/** What all requests of a process share. */
export type ForwardingContext = {
	readonly timers: TimerService;
	readonly random: () => number;
	readonly dialect: HeaderDialect;
	readonly placer: Placer;
	readonly limiter: WorkspaceLimiter;
	readonly lines: WaitingLines;
	readonly budgets: RetryBudgets;
	readonly latency: RouteLatency;
	readonly work: WorkMeter;
	readonly isDraining: () => boolean;
	readonly configurationVersion: () => number | undefined;
	/** Called once for each request. */
	readonly finished: (run: RequestRun | undefined, summary: RequestSummary) => void;
};
