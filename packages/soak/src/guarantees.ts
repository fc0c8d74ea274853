import {Outcome, resultCodeTable, type ResultCode} from '@fescuewick/core';
import {
	type Observations, type ObservedRequest, type TimeSpan,
} from './observations.js';

/** Limits from the settings of the soak's VMs and from the platform's documentation. */
export const bounds = {
	/** Time until a changed configuration is in force at VMs that no fault affected. */
	configurationMs: 3000,
	/** Time until a draining server receives no more requests. */
	drainMs: 3000,
	/** Time until an evacuated failure domain receives no more requests. */
	evacuateMs: 5000,
	/** Time without faults after which a VM has recovered and the time limits above apply to it. */
	stableMs: 4000,
	/** How late an answer may arrive after the time limit of its request. */
	lateAnswerMs: 500,
	/** Time in which a process ends after SIGTERM. */
	graceMs: 6000,
	/** Within `rateWindowMs`, a workspace may exceed its rate and burst by the fraction `rateOvershoot` and `rateSlackCount` requests. */
	rateWindowMs: 5000,
	rateOvershoot: 0.1,
	rateSlackCount: 20,
	/** How often a repeatable request may run; `maxAttempts` of the route. */
	maxRuns: 2,
} as const;

/** A violation of a guarantee. */
export type Violation = {readonly guarantee: string; readonly atMs: number; readonly text: string};

/** Finds observations of callers and servers that violate a guarantee. */
export function * findViolations(observations: Observations): Generator<Violation> {
	yield * excessRuns(observations);
	yield * falseAnswers(observations);
	yield * unansweredRequests(observations);
	yield * lateAnswers(observations);
	yield * withdrawnKeyUses(observations);
	yield * rateExcesses(observations);
	yield * drainedServerArrivals(observations);
	yield * arrivalsAfterLeavingAnswers(observations);
	yield * evacuatedDomainArrivals(observations);
}

/** Whether no fault affected a VM in the `windowMs` before `atMs`. */
export function wasFaultFree({faultSpans}: Pick<Observations, 'faultSpans'>, vm: string, atMs: number, windowMs: number): boolean {
	return !overlaps(faultSpans.get(vm), atMs - windowMs, atMs);
}

function overlaps(spans: readonly TimeSpan[] | undefined, fromMs: number, untilMs: number): boolean {
	return (spans ?? []).some(span => span.fromMs <= untilMs && span.untilMs >= fromMs);
}

function countBy<Item>(items: Iterable<Item>, keyOf: (item: Item) => string): Map<string, number> {
	const counts = new Map<string, number>();
	for (const item of items) {
		counts.set(keyOf(item), (counts.get(keyOf(item)) ?? 0) + 1);
	}

	return counts;
}

function * excessRuns({requests, runs}: Observations): Generator<Violation> {
	const counts = countBy(runs, ({id}) => id);
	for (const {id, isRepeatable, sentAtMs, vm} of requests) {
		const count = counts.get(id) ?? 0;
		if (count > (isRepeatable ? bounds.maxRuns : 1)) {
			yield {guarantee: 'once', atMs: sentAtMs, text: `request ${id} at ${vm} ran ${count} times`};
		}
	}
}

function * falseAnswers({requests, runs}: Observations): Generator<Violation> {
	const ran = new Set(runs.map(({id}) => id));
	for (const {id, code, status, sentAtMs, vm} of requests) {
		const reportsNotRun = code !== undefined && resultCodeTable[code as ResultCode]?.outcome === Outcome.notRun;
		if (reportsNotRun && ran.has(id)) {
			yield {guarantee: 'truth', atMs: sentAtMs, text: `request ${id} at ${vm} was answered with result code ${code} (not run) but ran`};
		}

		if (status === 200 && !ran.has(id)) {
			yield {guarantee: 'truth', atMs: sentAtMs, text: `request ${id} at ${vm} was answered with 200 but did not run`};
		}
	}
}

/** Requests without a complete answer, except where the VM was killed or paused, or where the connection closed before the request was forwarded. */
function * unansweredRequests({requests, runs, haltedSpans}: Observations): Generator<Violation> {
	const ran = new Set(runs.map(({id}) => id));
	for (const {id, vm, error, sentAtMs, endedAtMs} of requests) {
		const isExempt = overlaps(haltedSpans.get(vm), sentAtMs, endedAtMs) || !ran.has(id);
		if (error !== undefined && !isExempt) {
			yield {guarantee: 'answered', atMs: sentAtMs, text: `request ${id} at ${vm} ran and has no complete answer: ${error}`};
		}
	}
}

function * lateAnswers({requests, haltedSpans, ownLagMs}: Observations): Generator<Violation> {
	for (const {id, vm, sentAtMs, endedAtMs, timeLimitMs} of requests) {
		const lateMs = endedAtMs - sentAtMs - timeLimitMs;
		if (lateMs > bounds.lateAnswerMs + ownLagMs && !overlaps(haltedSpans.get(vm), sentAtMs, endedAtMs)) {
			yield {guarantee: 'in time', atMs: sentAtMs, text: `request ${id} at ${vm} ended ${Math.round(lateMs)} ms after its time limit of ${timeLimitMs} ms, limit ${Math.round(bounds.lateAnswerMs + ownLagMs)} ms`};
		}
	}
}

function * withdrawnKeyUses(observations: Observations): Generator<Violation> {
	const ran = new Set(observations.runs.map(({id}) => id));
	for (const {id, vm, key, sentAtMs} of observations.requests) {
		const withdrawnAtMs = observations.withdrawnAtMs.get(key);
		const isLate = withdrawnAtMs !== undefined && sentAtMs > withdrawnAtMs + bounds.configurationMs;
		if (isLate && ran.has(id) && wasFaultFree(observations, vm, sentAtMs, sentAtMs - withdrawnAtMs + bounds.stableMs)) {
			yield {guarantee: 'withdrawn key', atMs: sentAtMs, text: `request ${id} at ${vm} ran with a key that was withdrawn ${Math.round(sentAtMs - withdrawnAtMs)} ms before, limit ${bounds.configurationMs} ms`};
		}
	}
}

function * rateExcesses({requests, runs, rateLimits}: Observations): Generator<Violation> {
	const workspaceOf = new Map(requests.map(({id, workspace}) => [id, workspace]));
	for (const {workspace, ratePerS, burst} of rateLimits) {
		const times = runs.filter(({id}) => workspaceOf.get(id) === workspace).map(({atMs}) => atMs).sort((one, other) => one - other);
		const maxRequests = (((ratePerS * bounds.rateWindowMs / 1000) + burst) * (1 + bounds.rateOvershoot)) + bounds.rateSlackCount;
		for (let first = 0, last = 0; last < times.length; last++) {
			while (times[last] - times[first] > bounds.rateWindowMs) {
				first++;
			}

			if (last - first + 1 > maxRequests) {
				yield {guarantee: 'rate', atMs: times[first], text: `more than ${maxRequests.toFixed(0)} requests of ${workspace} ran within ${bounds.rateWindowMs} ms`};
				break;
			}
		}
	}
}

/** Requests that reached a server more than `withinMs` after it was drained or its failure domain evacuated, from VMs that no fault affected since `stableMs` before the change. */
function * lateArrivals(observations: Observations, guarantee: string, changedAtMsOf: (server: string, atMs: number) => number | undefined, withinMs: number): Generator<Violation> {
	const byId = new Map<string, ObservedRequest>(observations.requests.map(request => [request.id, request]));
	for (const {id, server, atMs} of observations.arrivals) {
		const changedAtMs = changedAtMsOf(server, atMs);
		const request = byId.get(id);
		if (request === undefined || changedAtMs === undefined || atMs <= changedAtMs + withinMs + observations.ownLagMs) {
			continue;
		}

		if (wasFaultFree(observations, request.vm, atMs, atMs - changedAtMs + bounds.stableMs)) {
			yield {guarantee, atMs, text: `request ${id} at ${request.vm} reached ${server} ${Math.round(atMs - changedAtMs)} ms after the change, limit ${Math.round(withinMs + observations.ownLagMs)} ms`};
		}
	}
}

function * drainedServerArrivals(observations: Observations): Generator<Violation> {
	yield * lateArrivals(observations, 'leaving server', server => observations.drainingAtMs.get(server), bounds.drainMs);
}

/** Requests that a VM sent to a server after it had passed on an answer in which the server said that it is leaving, also while the store does not know it; a restart or pause of the VM since then is an excuse. */
function * arrivalsAfterLeavingAnswers({requests, runs, arrivals, saidLeavingAtMs, haltedSpans, ownLagMs}: Observations): Generator<Violation> {
	const byId = new Map<string, ObservedRequest>(requests.map(request => [request.id, request]));
	const passedOnAtMs = new Map<string, number>();
	for (const {id, server, atMs} of runs) {
		const request = byId.get(id);
		const isLeaving = atMs >= (saidLeavingAtMs.get(server) ?? Number.POSITIVE_INFINITY);
		if (isLeaving && request?.status === 200) {
			const key = `${request.vm} ${server}`;
			passedOnAtMs.set(key, Math.min(request.endedAtMs, passedOnAtMs.get(key) ?? Number.POSITIVE_INFINITY));
		}
	}

	for (const {id, server, atMs} of arrivals) {
		const request = byId.get(id);
		const fromMs = request && passedOnAtMs.get(`${request.vm} ${server}`);
		const isLate = fromMs !== undefined && request!.sentAtMs > fromMs + bounds.drainMs + ownLagMs;
		if (isLate && !overlaps(haltedSpans.get(request!.vm), fromMs, atMs)) {
			yield {guarantee: 'leaving answer', atMs, text: `request ${id} at ${request!.vm} reached ${server} ${Math.round(atMs - fromMs)} ms after an answer that said it is leaving, limit ${bounds.drainMs} ms`};
		}
	}
}

function * evacuatedDomainArrivals(observations: Observations): Generator<Violation> {
	yield * lateArrivals(observations, 'evacuated domain', (server, atMs) => observations.evacuations.get(observations.domainOf.get(server) ?? '')?.find(({fromMs, untilMs}) => fromMs <= atMs && atMs <= untilMs)?.fromMs, bounds.evacuateMs);
}
