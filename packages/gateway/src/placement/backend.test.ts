import test from 'ava';
import fc from 'fast-check';
import {type ConnectionPool} from '@fescuewick/entry/http';
import {backendRecord} from '../testing/fixtures.js';
import {Backend} from './backend.js';
import {chooseByAffinity} from './choose-backend.js';
import {PeerLoadEstimator} from './peer-load-estimator.js';

function createBackend(id = 's1', slots = 9): Backend {
	return new Backend({record: backendRecord(id, {slots}), receivedAtMs: 0}, 'north', {} as unknown as ConnectionPool);
}

test('the load estimate keeps the requests of other VMs while a server is too busy to answer', t => {
	// Guards against all VMs sending to a full server because it has not answered any of them for a second.
	const backend = createBackend();
	for (const atMs of [0, 200, 400, 600, 800, 1000]) {
		backend.recordLoad({running: 9, waiting: 20}, atMs);
	}

	t.true(backend.load(2500, () => 8) >= 9 * 1.5, `${backend.load(2500, () => 8)}`);
	t.true(backend.load(20_000, () => 8) < 1, 'a server without recent reports is tried again');
});

test('a short peak in the load of a server decays within a second', t => {
	// Guards against moving objects away from their server because of a momentary peak.
	const backend = createBackend();
	for (const atMs of [0, 200, 400, 600, 800, 1000]) {
		backend.recordLoad({running: 3, waiting: 0}, atMs);
	}

	backend.recordLoad({running: 9, waiting: 12}, 1100);
	t.true(backend.load(1100, () => 8) >= 9 * 1.5);
	t.true(backend.load(2000, () => 8) < 9);
});

test('requests that were sent after a limit was forgotten do not count against it when it is named again', t => {
	// Guards against a server that gets nothing for minutes because its limit was not named for a while.
	const backend = createBackend();
	const share = () => ({ratePerS: 4, burst: 4});
	const limitAt = (nowMs: number) => ({
		perS: 4, sinceMs: nowMs, confirmedAtMs: nowMs, announced: {perS: 4, atMs: nowMs},
	});
	backend.setLimit(limitAt(0), 0);
	t.is(backend.limitWaitMs(0, share), 250);
	t.is(backend.limitWaitMs(31_000, share), 0);
	for (let index = 0; index < 1000; index++) {
		backend.recordSent(31_000);
	}

	backend.setLimit(limitAt(32_000), 32_000);
	t.is(backend.limitWaitMs(32_000, share), 0);
	for (let index = 0; index < 4; index++) {
		backend.recordSent(32_000);
	}

	t.is(backend.limitWaitMs(32_000, share), 250);
});

type Job = {readonly vm: number; readonly object: number; readonly sentAtMs: number; endsAtMs?: number};

type Scenario = {
	readonly vms: number;
	readonly slots: number;
	/** Durations of a request for an uncached object and for a cached one. */
	readonly coldMs: number;
	readonly warmMs: number;
	/** Demand as a fraction of the warm server's throughput. */
	readonly demandFraction: number;
	readonly timeoutMs: number;
	readonly targetMs: number;
};

type SimulationResult = {readonly asked: number; readonly served: number; readonly onTime: number; readonly maxInFirstSecond: number};

/** Simulates VMs that send to one server that has just started; requests beyond its limit are refused. Counts the second half of 30 s. */
function simulateServer({vms: vmCount, slots, coldMs, warmMs, demandFraction, timeoutMs, targetMs}: Scenario): SimulationResult {
	const objects = 24;
	const stepMs = 10;
	const untilMs = 30_000;
	const demandPerS = slots * 1000 / warmMs * demandFraction;
	const vms = Array.from({length: vmCount}, () => createBackend('s1', slots));
	const warm = new Set<number>();
	let running: Job[] = [];
	let waiting: Job[] = [];
	let pendingArrivals = 0;
	let arrivals = 0;
	let served = 0;
	let onTime = 0;
	let maxInFirstSecond = 0;
	const release = (jobs: readonly Job[]): ReadonlySet<Job> => {
		for (const {vm} of jobs) {
			vms[vm].inFlight--;
		}

		return new Set(jobs);
	};

	for (let nowMs = 0; nowMs < untilMs; nowMs += stepMs) {
		for (pendingArrivals += demandPerS * stepMs / 1000; pendingArrivals >= 1; pendingArrivals--) {
			const vm = vms[arrivals % vms.length];
			const candidate = {
				id: 's1', load: vm.load(nowMs, () => vms.length), slots, isDeprioritized: false, canAccept: true,
			};
			if (chooseByAffinity([candidate]) !== undefined) {
				vm.inFlight++;
				waiting.push({vm: arrivals % vms.length, object: (arrivals * 7) % objects, sentAtMs: nowMs});
			}

			arrivals++;
		}

		const timedOut = release([...running, ...waiting].filter(({sentAtMs}) => nowMs - sentAtMs >= timeoutMs));
		running = running.filter(job => !timedOut.has(job));
		waiting = waiting.filter(job => !timedOut.has(job));
		const done = release(running.filter(({endsAtMs}) => endsAtMs! <= nowMs));
		for (const {vm, object, sentAtMs} of done) {
			vms[vm].recordLoad({running: running.length, waiting: waiting.length}, nowMs);
			warm.add(object);
			served += nowMs >= untilMs / 2 ? 1 : 0;
			onTime += nowMs >= untilMs / 2 && nowMs - sentAtMs <= targetMs ? 1 : 0;
		}

		running = running.filter(job => !done.has(job));
		while (running.length < slots && waiting.length > 0) {
			const job = waiting.shift()!;
			running.push({...job, endsAtMs: nowMs + (warm.has(job.object) ? warmMs : coldMs)});
		}

		maxInFirstSecond = nowMs < 1000 ? Math.max(maxInFirstSecond, running.length + waiting.length) : maxInFirstSecond;
	}

	return {
		asked: demandPerS * untilMs / 2000, served, onTime, maxInFirstSecond,
	};
}

test('many VMs do not overload a server with a cold cache until no request ends in time', t => {
	// Requests that time out after 2 s warm no cache, so a server with a long queue would stay cold permanently.
	const {asked, served} = simulateServer({
		vms: 8, slots: 9, coldMs: 1600, warmMs: 480, demandFraction: 0.85, timeoutMs: 2000, targetMs: 800,
	});
	// The demand is below the warm server's throughput, so all of it must be served except for short peaks.
	t.true(served >= asked * 0.9, `${served} of ${asked}`);
});

test('a server with three times its capacity in demand answers on time', t => {
	// Guards against a home region in which each of eleven VMs estimated a full server to have free slots, sent several requests
	// at once and refused the others, so that the server was always busy and nearly all of its answers were late.
	const {asked, served, onTime} = simulateServer({
		vms: 11, slots: 6, coldMs: 480, warmMs: 160, demandFraction: 3, timeoutMs: 1200, targetMs: 400,
	});
	t.true(served >= asked / 3 * 0.9, `the server served ${served} of ${Math.round(asked / 3)}`);
	t.true(onTime >= served * 0.9, `${onTime} of ${served} on time`);
});

test('VMs that start together do not overload a server before it has reported its load', t => {
	// Guards against overloading cold servers at startup: with 56 requests in the first second at four servers with capacity for 14 per
	// second, the region's requests were shifted to other regions faster than the shift limit allows.
	const {maxInFirstSecond} = simulateServer({
		vms: 11, slots: 6, coldMs: 480, warmMs: 160, demandFraction: 3, timeoutMs: 1200, targetMs: 400,
	});
	// Slots, the queue allowed at the first server of an object, and one request from each VM before it knows of the others' requests.
	t.true(maxInFirstSecond <= (6 * 1.5) + 11, `${maxInFirstSecond}`);
});

test('a reported slowness counts less with its age and is forgotten after the time for which it holds', t => {
	// Guards against a server that is avoided, or preferred, because of what its machine did a second ago.
	const backend = createBackend();
	t.is(backend.slowness(0), undefined);
	backend.recordLoad({running: 1, waiting: 0, slowness: 2.5}, 1000);
	t.is(backend.slowness(1000), 2.5);
	t.is(backend.slowness(1300), 1.75);
	t.true(backend.slowness(1599)! < 1.01);
	t.is(backend.slowness(1600), undefined);
});

test('a slowness is forgotten when the server reports none or restarts', t => {
	// Guards against a choice by a figure that the server no longer tells.
	const backend = createBackend();
	backend.recordLoad({running: 1, waiting: 0, slowness: 2.5}, 1000);
	backend.recordLoad({running: 1, waiting: 0}, 1100);
	t.is(backend.slowness(1100), undefined);
	backend.recordLoad({running: 1, waiting: 0, slowness: 2.5}, 1200);
	backend.update({record: backendRecord('s1', {slots: 9, startedAtMs: 2}), receivedAtMs: 1200});
	t.is(backend.slowness(1200), undefined);
});

test('a server is deprioritized by the outcomes of the last 3 s, however often they are asked for', t => {
	// Guards against counts of outcomes that differ from the outcomes in the window, so that a server is avoided for good or its failures are not seen.
	fc.assert(fc.property(fc.array(fc.record({afterMs: fc.oneof(fc.integer({min: 0, max: 300}), fc.integer({min: 0, max: 3500})), isFailure: fc.option(fc.boolean(), {nil: undefined})}), {maxLength: 60}), steps => {
		const backend = createBackend();
		const outcomes: Array<{atMs: number; isFailure: boolean}> = [];
		let nowMs = 0;
		for (const {afterMs, isFailure} of steps) {
			nowMs += afterMs;
			if (isFailure !== undefined) {
				backend.recordOutcome(isFailure, undefined, nowMs);
				outcomes.push({atMs: nowMs, isFailure});
				continue;
			}

			const windowStartMs = nowMs - 3000;
			const recent = outcomes.filter(({atMs}) => atMs > windowStartMs);
			t.is(backend.isDeprioritized(nowMs), recent.length >= 4 && recent.filter(outcome => outcome.isFailure).length / recent.length > 0.25);
		}
	}));
});

test('the estimate of other VMs\' requests is the mean of the reports and the decaying difference to it', t => {
	// Guards against a shortcut for idle servers that changes the estimate of others.
	fc.assert(fc.property(fc.array(fc.record({afterMs: fc.integer({min: 0, max: 3000}), count: fc.integer({min: 0, max: 3}), inFlight: fc.integer({min: 0, max: 2})}), {minLength: 1, maxLength: 20}), reports => {
		const estimator = new PeerLoadEstimator();
		let atMs = 0;
		let mean: number | undefined;
		for (const {afterMs, count, inFlight} of reports) {
			const newWeight = 1 - (0.5 ** (afterMs / 1000));
			atMs += afterMs;
			mean = mean === undefined ? count : mean + ((count - mean) * newWeight);
			estimator.report(count, atMs);
			for (const ageMs of [0, 150, 2000]) {
				const keptMean = inFlight > 0 ? mean : mean * (0.5 ** (ageMs / 3000));
				t.is(estimator.estimate(atMs + ageMs, {inFlight, senderCount: () => 5}), keptMean + ((count - mean) * (0.5 ** (ageMs / 400))));
			}
		}
	}));
});
