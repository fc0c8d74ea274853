import test from 'ava';
import {ResultCode} from '@fescuewick/core';
import {type Observations, type ObservedRequest} from './observations.js';
import {findViolations} from './guarantees.js';

function request(changes: Partial<ObservedRequest> = {}): ObservedRequest {
	return {
		id: 'r1', vm: 'v1', workspace: 'shop', key: 'k1', isRepeatable: true, sentAtMs: 20_000, timeLimitMs: 3000, endedAtMs: 20_100, status: 200, code: undefined, error: undefined, ...changes,
	};
}

function run(id = 'r1', atMs = 20_050, server = 's1') {
	return {
		id, workspace: 'shop', server, atMs,
	};
}

/** Observations of a run without faults: one request that ran once. */
function observe(changes: Partial<Observations> = {}): Observations {
	const runs = changes.runs ?? [run()];
	return {
		requests: [request()], arrivals: runs, faultSpans: new Map(), haltedSpans: new Map(), withdrawnAtMs: new Map(), drainingAtMs: new Map(), saidLeavingAtMs: new Map(), evacuations: new Map(),
		domainOf: new Map([['s1', 'north-1']]), rateLimits: [{workspace: 'shop', ratePerS: 1, burst: 1}], ownLagMs: 0, ...changes, runs,
	};
}

const violatedGuarantees = (changes: Partial<Observations>) => [...findViolations(observe(changes))].map(({guarantee}) => guarantee);
const haltedSpans = new Map([['v1', [{fromMs: 19_000, untilMs: 21_000}]]]);

// Guards against checks that find no violation, or that report one in a run without any.
test('a request that ran once and was answered violates no guarantee', t => {
	t.deepEqual(violatedGuarantees({}), []);
});

test('a request that is not repeatable may run once, a repeatable one twice', t => {
	t.deepEqual(violatedGuarantees({requests: [request({isRepeatable: false})], runs: [run(), run()]}), ['once']);
	t.deepEqual(violatedGuarantees({runs: [run(), run()]}), []);
	t.deepEqual(violatedGuarantees({runs: [run(), run(), run()]}), ['once']);
});

test('an answer may not report not run for a request that ran, or 200 for one that did not', t => {
	const refused = request({status: 503, code: ResultCode.queueFull});
	t.deepEqual(violatedGuarantees({requests: [refused]}), ['truth']);
	t.deepEqual(violatedGuarantees({requests: [refused], runs: []}), []);
	t.deepEqual(violatedGuarantees({requests: [request({status: 504, code: ResultCode.backendTimeout})]}), []);
	t.deepEqual(violatedGuarantees({runs: []}), ['truth']);
});

test('a request that ran is answered unless its VM was killed or paused', t => {
	const cut = request({status: undefined, error: 'other side closed'});
	t.deepEqual(violatedGuarantees({requests: [cut]}), ['answered']);
	t.deepEqual(violatedGuarantees({requests: [cut], haltedSpans}), []);
	t.deepEqual(violatedGuarantees({requests: [cut], runs: []}), []);
});

test('an answer arrives at most half a second after the time limit of its request', t => {
	t.deepEqual(violatedGuarantees({requests: [request({endedAtMs: 23_501})]}), ['in time']);
	t.deepEqual(violatedGuarantees({requests: [request({endedAtMs: 23_499})]}), []);
	t.deepEqual(violatedGuarantees({requests: [request({endedAtMs: 23_600})], ownLagMs: 150}), []);
	t.deepEqual(violatedGuarantees({requests: [request({endedAtMs: 23_600})], haltedSpans}), []);
});

test('a withdrawn key stops working within 3 s at a VM that no fault affected', t => {
	t.deepEqual(violatedGuarantees({withdrawnAtMs: new Map([['k1', 16_900]])}), ['withdrawn key']);
	t.deepEqual(violatedGuarantees({withdrawnAtMs: new Map([['k1', 17_100]])}), []);
	t.deepEqual(violatedGuarantees({withdrawnAtMs: new Map([['k1', 16_900]]), faultSpans: haltedSpans}), []);
});

test('a workspace may not exceed its rate over all VMs', t => {
	// (1 x 5 s + 1) x 1.1 + 20 is 26.6.
	const runs = (count: number) => Array.from({length: count}, (_, index) => run(`r${index}`, 20_000 + (index * 100)));
	const requests = (count: number) => Array.from({length: count}, (_, index) => request({id: `r${index}`}));
	t.deepEqual(violatedGuarantees({runs: runs(27), requests: requests(27)}), ['rate']);
	t.deepEqual(violatedGuarantees({runs: runs(26), requests: requests(26)}), []);
});

test('a draining server receives no request after 3 s, and an evacuated failure domain none after 5 s', t => {
	t.deepEqual(violatedGuarantees({drainingAtMs: new Map([['s1', 17_000]])}), ['leaving server']);
	t.deepEqual(violatedGuarantees({drainingAtMs: new Map([['s1', 17_100]])}), []);
	const evacuated = (fromMs: number, untilMs = Number.POSITIVE_INFINITY) => ({evacuations: new Map([['north-1', [{fromMs, untilMs}]]])});
	t.deepEqual(violatedGuarantees(evacuated(15_000)), ['evacuated domain']);
	t.deepEqual(violatedGuarantees(evacuated(15_100)), []);
	t.deepEqual(violatedGuarantees(evacuated(15_000, 20_000)), []);
});

test('a server that said in an answer that it is leaving gets no more requests from that VM, unless the VM was restarted since', t => {
	const requests = [request({id: 'r0', sentAtMs: 16_000, endedAtMs: 16_100}), request()];
	const runs = [run('r0', 16_050), run()];
	const saidLeavingAtMs = new Map([['s1', 15_000]]);
	const halted = new Map([['v1', [{fromMs: 17_000, untilMs: 18_000}]]]);
	const rateLimits = [{workspace: 'shop', ratePerS: 10, burst: 10}];
	t.deepEqual(violatedGuarantees({
		requests, runs, saidLeavingAtMs, rateLimits,
	}), ['leaving answer']);
	t.deepEqual(violatedGuarantees({
		requests, runs, saidLeavingAtMs, rateLimits, haltedSpans: halted,
	}), []);
	t.deepEqual(violatedGuarantees({
		requests: [requests[0], request({vm: 'v2'})], runs, saidLeavingAtMs, rateLimits,
	}), []);
});
