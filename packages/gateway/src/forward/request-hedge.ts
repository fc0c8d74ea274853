import {type Cancel} from '@fescuewick/core';
import {type Placement} from '../placement/placer.js';
import {type AdmittedRequest} from './admitted-request.js';
import {isReplayable, type BackendAttempt} from './backend-attempt.js';
import {type ForwardingContext} from './forwarding-context.js';
import {HedgeWinner, type Hedging} from './hedging.js';
import {hedgeDelay, hedgeRefusal, HedgeRefusal} from './hedging-policy.js';
import {type OpenAttempts} from './open-attempts.js';
import {type RequestPlacement} from './request-placement.js';

/** A server is silent if it has not started to answer after this multiple of the expected duration. */
const silenceFactor = 4;
/** Shortest time after which a server is silent, in milliseconds. */
const minSilenceMs = 1000;

/** Fields of a request's log line about its hedging. */
export type HedgeSummary = {
	/** Time from sending the first attempt to hedging it, in milliseconds. */
	readonly hedgedAfterMs?: number;
	/** Id of the server of the first attempt. */
	readonly hedgedFrom?: string;
	readonly hedgeWinner?: HedgeWinner;
	/** Why the request was last not hedged although its delay had passed or its server was silent. */
	readonly hedgeRefusal?: HedgeRefusal;
};

/** Dependencies of a request's hedge. */
export type RequestHedgeOptions = {
	readonly admitted: AdmittedRequest;
	readonly context: ForwardingContext;
	readonly openAttempts: OpenAttempts;
	readonly requestPlacement: RequestPlacement;
	readonly isFinished: () => boolean;
	/** Attempts of the request so far. */
	readonly attempts: () => number;
	readonly timeLeftMs: () => number;
	/** Mean duration of requests on the route, in milliseconds. */
	readonly expectedMs: () => number;
	/** Whether a second attempt is allowed; takes it from the retry budget. */
	readonly takeRetry: () => boolean;
	/** Sends the request to a second server; undefined if it could not be sent. */
	readonly send: (placement: Placement) => BackendAttempt | undefined;
};

/** Creates the hedge of a request: by the settings, or by the mean duration of its route without them. */
export function createRequestHedge(options: RequestHedgeOptions): RequestHedge {
	const {hedging} = options.context;
	return hedging === undefined ? new SilenceHedge(options) : new QuantileHedge(options, hedging);
}

/** Sends a repeatable request to a second server if the first has not started to answer after some time. */
export abstract class RequestHedge {
	readonly #cancels: Cancel[] = [];

	constructor(protected readonly options: RequestHedgeOptions) {}

	/** To be called after each attempt was sent. */
	onSent(attempt: BackendAttempt): void {
		if (this.isRepeatable) {
			this.afterSilence(attempt, Math.max(minSilenceMs, this.options.expectedMs() * silenceFactor), () => {
				this.onSilent(attempt);
			});
		}
	}

	/** To be called when the response of an attempt is about to be passed on to the caller, before the other attempts are cancelled. */
	abstract onAnswered(attempt: BackendAttempt): void;

	/** To be called before all attempts are cancelled because the request ends without a response. */
	abstract onAbandoned(): void;

	/** Stops the timers and returns the fields of the log line; to be called when the request has ended. */
	end(): HedgeSummary | undefined {
		for (const cancel of this.#cancels) {
			cancel();
		}

		return undefined;
	}

	protected get isRepeatable(): boolean {
		const {admitted} = this.options;
		return admitted.route.isRepeatable && isReplayable(admitted);
	}

	/** Runs the callback after a time if the attempt has not been answered by then. */
	protected afterSilence(attempt: BackendAttempt, delayMs: number, callback: () => void): void {
		const {context: {timers, closeBarrier}, openAttempts, isFinished} = this.options;
		this.#cancels.push(timers.after(delayMs, () => {
			closeBarrier.run(() => {
				if (!isFinished() && openAttempts.has(attempt) && attempt.exchange.head === undefined) {
					callback();
				}
			});
		}));
	}

	/** Counts the silence of an attempt's server as a failure. */
	protected recordSilence({backend}: BackendAttempt): void {
		backend.recordOutcome(true, undefined, this.options.context.timers.nowMs());
	}

	/** Called when the server of an attempt is silent. */
	protected abstract onSilent(attempt: BackendAttempt): void;
}

/** Hedges a request whose server is silent, within the retry budget. */
class SilenceHedge extends RequestHedge {
	onAnswered(): void {
		// The mean duration is kept elsewhere.
	}

	onAbandoned(): void {
		// The mean duration is kept elsewhere.
	}

	protected onSilent(attempt: BackendAttempt): void {
		const {openAttempts, requestPlacement, takeRetry, send} = this.options;
		if (openAttempts.count > 1) {
			return;
		}

		this.recordSilence(attempt);
		const placement = requestPlacement.find();
		// Without a second server the first attempt goes on.
		if (typeof placement !== 'string' && takeRetry()) {
			send(placement);
		}
	}
}

/** Hedges a request that takes longer than the quantile of its route, within the operator's fraction and the retry budget. */
class QuantileHedge extends RequestHedge {
	#isCounted = false;
	/** Last attempt before the hedged one. */
	#first: BackendAttempt | undefined;
	#hedge: BackendAttempt | undefined;
	#hedgedAfterMs: number | undefined;
	#winner = HedgeWinner.none;
	#refusal: HedgeRefusal | undefined;

	constructor(options: RequestHedgeOptions, private readonly hedging: Hedging) {
		super(options);
	}

	override onSent(attempt: BackendAttempt): void {
		const {admitted: {route, service}, openAttempts, timeLeftMs, expectedMs} = this.options;
		if (!this.#isCounted) {
			this.#isCounted = true;
			this.hedging.recordRequest(service);
		}

		super.onSent(attempt);
		// A request is hedged at most once, and an attempt may have failed when it was sent.
		if (this.#hedgedAfterMs !== undefined || !openAttempts.has(attempt)) {
			return;
		}

		this.#first = attempt;
		const delay = hedgeDelay({
			isRepeatable: this.isRepeatable, responseTimes: this.hedging.responseTimes.of(route.name), quantile: this.hedging.quantile, timeLeftMs: timeLeftMs(), expectedMs: expectedMs(),
		});
		if (typeof delay === 'number') {
			this.afterSilence(attempt, delay, () => {
				this.#tryHedge(attempt);
			});
		} else {
			this.hedging.recordRefusal(delay);
		}
	}

	onAnswered(attempt: BackendAttempt): void {
		const {admitted: {route}, context: {timers}, openAttempts, expectedMs} = this.options;
		const {sentAtMs, headAtMs, exchange} = attempt;
		if (attempt !== this.#hedge) {
			this.#winner = attempt === this.#first ? HedgeWinner.first : HedgeWinner.none;
			if (this.isRepeatable && headAtMs !== undefined && exchange.head!.status < 500) {
				this.hedging.responseTimes.add(route.name, headAtMs - sentAtMs);
			}

			return;
		}

		this.#winner = HedgeWinner.hedge;
		const first = this.#first!;
		if (openAttempts.has(first)) {
			// The server of the first attempt would have taken at least this long.
			const nowMs = timers.nowMs();
			first.backend.recordOutcome(false, (nowMs - first.sentAtMs) / expectedMs(), nowMs);
			this.onAbandoned();
		}
	}

	onAbandoned(): void {
		const {admitted: {route}, context: {timers}, openAttempts} = this.options;
		const first = this.#first;
		if (first !== undefined && this.isRepeatable && openAttempts.has(first) && first.headAtMs === undefined) {
			this.hedging.responseTimes.addUnanswered(route.name, timers.nowMs() - first.sentAtMs);
		}
	}

	override end(): HedgeSummary {
		super.end();
		if (this.#hedge === undefined) {
			return {hedgeRefusal: this.#refusal};
		}

		this.hedging.recordEnd(this.#winner);
		return {hedgedAfterMs: this.#hedgedAfterMs, hedgedFrom: this.#first!.backend.id, hedgeWinner: this.#winner};
	}

	/** Counts the silence of the server also while a hedged attempt is open, because the first attempt of a hedged request rarely gets to fail otherwise. Without one the decision is made again: the first may have been refused for a reason that has passed, or for want of samples. */
	protected onSilent(attempt: BackendAttempt): void {
		this.recordSilence(attempt);
		if (this.#hedgedAfterMs === undefined) {
			this.#tryHedge(attempt);
		}
	}

	#tryHedge(attempt: BackendAttempt): void {
		const {admitted: {route, service}, context: {timers, queues, retryBudgets, isDraining}, openAttempts, requestPlacement, attempts, timeLeftMs, expectedMs, send} = this.options;
		if (openAttempts.count > 1) {
			return;
		}

		const retryBudget = retryBudgets.forService(service);
		const refusal = hedgeRefusal({
			isStopping: isDraining(),
			attempts: attempts(),
			maxAttempts: route.maxAttempts,
			timeLeftMs: timeLeftMs(),
			expectedMs: expectedMs(),
			queued: queues.of(service).size,
			sinceRejectionMs: this.hedging.sinceRejectionMs(service),
			fractionLeft: this.hedging.fractionLeft(service),
			retriesLeft: retryBudget.remaining,
		});
		const placement = refusal === undefined ? requestPlacement.findFree(timers.nowMs()) : undefined;
		if (placement === undefined) {
			this.#refusal = refusal ?? HedgeRefusal.noFreeServer;
			this.hedging.recordRefusal(this.#refusal);
			return;
		}

		retryBudget.take();
		this.hedging.recordHedge(service);
		this.#hedgedAfterMs = Math.round(timers.nowMs() - attempt.sentAtMs);
		this.#hedge = send(placement);
	}
}
