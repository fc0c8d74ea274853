import {type Metrics, type TimerService} from '@fescuewick/core';
import {type GatewaySettings} from '../settings.js';
import {RetryBudgets, type ForwardingContext} from './forwarding-context.js';
import {Hedging} from './hedging.js';

/** Fraction of the retry budget that is used; the remainder covers windows of VMs that are not aligned, and VMs that have just joined. */
const usedBudgetFraction = 0.75;

type AttemptLimitsOptions = {
	readonly timers: TimerService;
	readonly metrics: Metrics;
	/** The present settings. */
	readonly settings: () => GatewaySettings;
	/** Number of VMs that share the retry budgets. */
	readonly sharerCount: () => number;
};

/** Creates the limits on additional attempts of a process: the retry budgets, and hedging if the settings allow it. */
export function createAttemptLimits({timers, metrics, settings, sharerCount}: AttemptLimitsOptions): Pick<ForwardingContext, 'retryBudgets' | 'hedging'> {
	const {bounds: {retryRatio, retryWindowMs: windowMs}, hedging} = settings();
	return {
		retryBudgets: new RetryBudgets(timers, {
			windowMs,
			fraction: retryRatio * usedBudgetFraction,
			minCount: () => Math.floor(settings().bounds.retrySlack * usedBudgetFraction / sharerCount()),
		}),
		hedging: hedging.fraction > 0
			? new Hedging({
				timers, metrics, settings: hedging, windowMs,
			})
			: undefined,
	};
}
