import test from 'ava';
import fc from 'fast-check';
import {ManualTimerService, rendezvousOrder} from '@fescuewick/core';
import {
	createPlacerFixture, fixtureRequest, fixtureService, fixtureShiftMost,
} from '../testing/placer-fixture.js';
import {ConditionEvent, type Backend} from './backend.js';
import {chooseByAffinity, type Candidate} from './choose-backend.js';
import {PlacementFailure, type PlacementRequest, type Placer} from './placer.js';
import {SpilloverLimiter} from './spillover-limiter.js';

/*
The choice of a server as it was defined before placing was made cheaper, on servers that report no slowness: every usable server is evaluated for every request.
*/

type EvaluatedServer = Candidate & {readonly backend: Backend};

const region = 'north';
const regions = ['north', 'south', 'east'];
const senders = 2;
/** Part of the limit on shifts between regions that requests which find their region full may use. */
const spilloverFraction = 0.25;

function evaluate(backends: readonly Backend[], nowMs: number): EvaluatedServer[] {
	return backends.map(backend => ({
		id: backend.id, backend, load: backend.load(nowMs, () => senders + (backend.region === region ? 0 : 1)), slots: backend.slots, isDeprioritized: backend.isDeprioritized(nowMs), canAccept: true,
	}));
}

function chooseLeastLoadedBefore(servers: readonly EvaluatedServer[]): EvaluatedServer | undefined {
	const free = servers.filter(server => server.canAccept && server.load < server.slots);
	const preferred = free.filter(server => !server.isDeprioritized);
	let leastLoaded: EvaluatedServer | undefined;
	for (const server of preferred.length > 0 ? preferred : free) {
		if (leastLoaded === undefined || server.load / server.slots < leastLoaded.load / leastLoaded.slots) {
			leastLoaded = server;
		}
	}

	return leastLoaded;
}

/** The id of the chosen server, or why there is none; requests without a bound region only. */
function placeBefore(placer: Placer, request: PlacementRequest, {nowMs, limiter, evacuated}: {readonly nowMs: number; readonly limiter: SpilloverLimiter; readonly evacuated: ReadonlySet<string>}): string {
	const backends = [...placer.backends];
	const allowed = backends.filter(backend => backend.isUsable && !evacuated.has(backend.record.failureDomain) && !request.excluded.has(backend.id) && request.homeRegions?.includes(backend.region) !== false);
	if (allowed.length === 0) {
		return PlacementFailure.none;
	}

	const choose = (candidates: readonly Backend[]) => {
		if (request.affinityKey === undefined) {
			return chooseLeastLoadedBefore(evaluate(candidates, nowMs))?.id;
		}

		const order = rendezvousOrder(request.affinityKey, backends.map(({id}) => id));
		const ordered = order.map(id => candidates.find(backend => backend.id === id)).filter(backend => backend !== undefined);
		return chooseByAffinity(evaluate(ordered, nowMs))?.server.id;
	};

	const assigned = request.region === undefined || request.region === region ? undefined : choose(allowed.filter(backend => backend.region === request.region));
	const local = allowed.filter(backend => backend.region === region);
	const near = assigned ?? choose(local);
	if (near !== undefined) {
		return near;
	}

	const remote = local.length === 0 || limiter.hasCredit ? choose(allowed.filter(backend => backend.region !== region)) : undefined;
	if (remote !== undefined && local.length > 0) {
		limiter.recordSpillover();
	}

	return remote ?? PlacementFailure.full;
}

const serverArbitrary = fc.record({
	region: fc.constantFrom(...regions),
	slots: fc.integer({min: 1, max: 6}),
	inFlight: fc.integer({min: 0, max: 6}),
	reportedOthers: fc.option(fc.integer({min: 0, max: 8}), {nil: undefined}),
	failures: fc.integer({min: 0, max: 4}),
	successes: fc.integer({min: 0, max: 8}),
	isDown: fc.constantFrom(true, false, false, false),
	hasShed: fc.constantFrom(true, false, false, false),
});

const requestArbitrary = fc.record({
	affinityKey: fc.option(fc.integer({min: 0, max: 20}).map(number => `figure-${number}`), {nil: undefined}),
	homeRegions: fc.option(fc.subarray(regions, {minLength: 1}), {nil: undefined}),
	region: fc.option(fc.constantFrom(...regions), {nil: undefined}),
	excludedIndexes: fc.array(fc.integer({min: 0, max: 11}), {maxLength: 3}),
	afterMs: fc.integer({min: 0, max: 2000}),
	/** Requests of the region before this one, which let requests leave the region when it is full. */
	requestsBefore: fc.integer({min: 0, max: 30}),
});

// Guards against a cheaper evaluation of the servers, or a rule for servers that report their slowness, that changes decisions for servers that do not report it.
test('servers that report three figures or none are chosen as before', t => {
	fc.assert(fc.property(fc.array(serverArbitrary, {minLength: 1, maxLength: 12}), fc.array(requestArbitrary, {minLength: 1, maxLength: 12}), fc.subarray(regions, {maxLength: 1}), (servers, requests, evacuated) => {
		const timers = new ManualTimerService();
		const placer = createPlacerFixture({
			timers, region, servers: servers.map(({region: name, slots}, index) => ({id: `server-${index}`, region: name, slots})), evacuated: new Set(evacuated),
		});
		for (const [index, backend] of [...placer.backends].entries()) {
			const {inFlight, reportedOthers, failures, successes, isDown, hasShed} = servers[index];
			backend.inFlight = inFlight;
			if (reportedOthers !== undefined) {
				backend.recordLoad({running: inFlight + 1 + reportedOthers, waiting: 0}, 0);
			}

			for (let outcome = 0; outcome < failures + successes; outcome++) {
				backend.recordOutcome(outcome < failures, undefined, 0);
			}

			if (isDown) {
				backend.apply(ConditionEvent.unreachable);
			}

			if (hasShed) {
				backend.recordShed(0);
			}
		}

		const limiter = new SpilloverLimiter(fixtureShiftMost * spilloverFraction);
		for (const {affinityKey, homeRegions, region: assigned, excludedIndexes, afterMs, requestsBefore} of requests) {
			timers.pause(afterMs);
			const request = {...fixtureRequest(affinityKey, new Set(excludedIndexes.map(index => `server-${index}`))), homeRegions, region: assigned};
			for (let count = 0; count < requestsBefore; count++) {
				placer.regionFor(fixtureService, affinityKey, 0);
				limiter.recordRequest();
			}

			const before = placeBefore(placer, request, {nowMs: timers.nowMs(), limiter, evacuated: new Set(evacuated)});
			const placement = placer.place(request);
			t.is(typeof placement === 'string' ? placement : placement.backend.id, before);
			if (typeof placement !== 'string') {
				placement.backend.inFlight++;
			}
		}
	}), {numRuns: 1000});
});
