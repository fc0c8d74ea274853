import {Outcome, resultCodeTable, type ResultCode} from '@fescuewick/core';
import {
	type Observations, type SeenRequest, type Span,
} from './observations.js';

/** Bounds that the settings of the soak's VMs and the platform's pages state, in milliseconds unless they say otherwise. */
export const bounds = {
	/** A changed configuration is in force at VMs that are in touch with the store. */
	configurationMs: 3000,
	/** A server that leaves gets no more requests. */
	drainMs: 3000,
	/** An evacuated failure domain gets no more requests. */
	evacuateMs: 5000,
	/** A VM counts as in touch when nothing was done to it for this time. */
	stableMs: 4000,
	/** How far an answer may come after the request's time. */
	lateAnswerMs: 500,
	/** A stopped VM has ended. */
	graceMs: 6000,
	/** Requests beyond rate and burst of a workspace within a window, as a part and a count. */
	rateWindowMs: 5000,
	rateOvershoot: 0.1,
	rateSlackCount: 20,
	/** Sends of a repeatable request; `maxAttempts` of the route. */
	maxRuns: 2,
} as const;

/** A promise that was broken. */
export type Broken = {readonly promise: string; readonly atMs: number; readonly text: string};

/** What callers and servers saw that should not have happened. */
export function * brokenPromises(seen: Observations): Generator<Broken> {
	yield * runTooOften(seen);
	yield * untrueAnswers(seen);
	yield * lostRequests(seen);
	yield * lateAnswers(seen);
	yield * withdrawnKeys(seen);
	yield * overRate(seen);
	yield * leftServers(seen);
	yield * evacuatedDomains(seen);
}

/** Whether nothing was done to a VM in a time before the moment. */
export function isInTouch({disturbed}: Pick<Observations, 'disturbed'>, vm: string, atMs: number, forMs: number): boolean {
	return !overlaps(disturbed.get(vm), atMs - forMs, atMs);
}

function overlaps(spans: readonly Span[] | undefined, fromMs: number, untilMs: number): boolean {
	return (spans ?? []).some(span => span.fromMs <= untilMs && span.untilMs >= fromMs);
}

function countBy<Item>(items: Iterable<Item>, keyOf: (item: Item) => string): Map<string, number> {
	const counts = new Map<string, number>();
	for (const item of items) {
		counts.set(keyOf(item), (counts.get(keyOf(item)) ?? 0) + 1);
	}

	return counts;
}

function * runTooOften({requests, runs}: Observations): Generator<Broken> {
	const counts = countBy(runs, ({id}) => id);
	for (const {id, isRepeatable, sentAtMs, vm} of requests) {
		const count = counts.get(id) ?? 0;
		if (count > (isRepeatable ? bounds.maxRuns : 1)) {
			yield {promise: 'once', atMs: sentAtMs, text: `request ${id} at ${vm} ran ${count} times`};
		}
	}
}

function * untrueAnswers({requests, runs}: Observations): Generator<Broken> {
	const ran = new Set(runs.map(({id}) => id));
	for (const {id, code, status, sentAtMs, vm} of requests) {
		const saysNotRun = code !== undefined && resultCodeTable[code as ResultCode]?.outcome === Outcome.notRun;
		if (saysNotRun && ran.has(id)) {
			yield {promise: 'truth', atMs: sentAtMs, text: `request ${id} at ${vm} got ${code}, not run, and has run`};
		}

		if (status === 200 && !ran.has(id)) {
			yield {promise: 'truth', atMs: sentAtMs, text: `request ${id} at ${vm} got 200 and has not run`};
		}
	}
}

/** A request without a complete answer, unless its VM was killed or paused, or it crossed the close of its connection and was not passed on. */
function * lostRequests({requests, runs, halted}: Observations): Generator<Broken> {
	const ran = new Set(runs.map(({id}) => id));
	for (const {id, vm, error, sentAtMs, endedAtMs} of requests) {
		const isExcused = overlaps(halted.get(vm), sentAtMs, endedAtMs) || !ran.has(id);
		if (error !== undefined && !isExcused) {
			yield {promise: 'answered', atMs: sentAtMs, text: `request ${id} at ${vm} ran and has no complete answer: ${error}`};
		}
	}
}

function * lateAnswers({requests, halted, ownLagMs}: Observations): Generator<Broken> {
	for (const {id, vm, sentAtMs, endedAtMs, timeLeftMs} of requests) {
		const lateMs = endedAtMs - sentAtMs - timeLeftMs;
		if (lateMs > bounds.lateAnswerMs + ownLagMs && !overlaps(halted.get(vm), sentAtMs, endedAtMs)) {
			yield {promise: 'in time', atMs: sentAtMs, text: `request ${id} at ${vm} ended ${Math.round(lateMs)} ms after its time`};
		}
	}
}

function * withdrawnKeys(seen: Observations): Generator<Broken> {
	const ran = new Set(seen.runs.map(({id}) => id));
	for (const {id, vm, key, sentAtMs} of seen.requests) {
		const withdrawnAtMs = seen.withdrawnAtMs.get(key);
		const isLate = withdrawnAtMs !== undefined && sentAtMs > withdrawnAtMs + bounds.configurationMs;
		if (isLate && ran.has(id) && isInTouch(seen, vm, sentAtMs, sentAtMs - withdrawnAtMs + bounds.stableMs)) {
			yield {promise: 'withdrawn key', atMs: sentAtMs, text: `request ${id} at ${vm} ran with a key that was withdrawn ${Math.round(sentAtMs - withdrawnAtMs)} ms before`};
		}
	}
}

function * overRate({requests, runs, limits}: Observations): Generator<Broken> {
	const workspaceOf = new Map(requests.map(({id, workspace}) => [id, workspace]));
	for (const {workspace, ratePerS, burst} of limits) {
		const times = runs.filter(({id}) => workspaceOf.get(id) === workspace).map(({atMs}) => atMs).sort((one, other) => one - other);
		const most = (((ratePerS * bounds.rateWindowMs / 1000) + burst) * (1 + bounds.rateOvershoot)) + bounds.rateSlackCount;
		for (let first = 0, last = 0; last < times.length; last++) {
			while (times[last] - times[first] > bounds.rateWindowMs) {
				first++;
			}

			if (last - first + 1 > most) {
				yield {promise: 'rate', atMs: times[first], text: `more than ${most.toFixed(0)} requests of ${workspace} ran within ${bounds.rateWindowMs} ms`};
				break;
			}
		}
	}
}

/** Requests that reached a server too long after a change, from VMs that nothing was done to since a while before the change. */
function * lateArrivals(seen: Observations, promise: string, changedAtMsOf: (server: string, atMs: number) => number | undefined, withinMs: number): Generator<Broken> {
	const byId = new Map<string, SeenRequest>(seen.requests.map(request => [request.id, request]));
	for (const {id, server, atMs} of seen.arrivals) {
		const changedAtMs = changedAtMsOf(server, atMs);
		const request = byId.get(id);
		if (request === undefined || changedAtMs === undefined || atMs <= changedAtMs + withinMs + seen.ownLagMs) {
			continue;
		}

		if (isInTouch(seen, request.vm, atMs, atMs - changedAtMs + bounds.stableMs)) {
			yield {promise, atMs, text: `request ${id} at ${request.vm} reached ${server} ${Math.round(atMs - changedAtMs)} ms after the change`};
		}
	}
}

function * leftServers(seen: Observations): Generator<Broken> {
	yield * lateArrivals(seen, 'leaving server', server => seen.leavingAtMs.get(server), bounds.drainMs);
}

function * evacuatedDomains(seen: Observations): Generator<Broken> {
	yield * lateArrivals(seen, 'evacuated domain', (server, atMs) => seen.evacuations.get(seen.domainOf.get(server) ?? '')?.find(({fromMs, untilMs}) => fromMs <= atMs && atMs <= untilMs)?.fromMs, bounds.evacuateMs);
}
