import test from 'ava';
import {
	hedgeDelay, hedgeRefusal, HedgeRefusal, type HedgeDelayInput, type HedgeInput,
} from './hedging-policy.js';

const delayInput: HedgeDelayInput = {
	isRepeatable: true, responseTimes: {sampleCount: 200, medianMs: 100, quantileMs: 300}, quantile: 0.95, timeLeftMs: 1500, expectedMs: 120,
};

const input: HedgeInput = {
	isStopping: false, attempts: 1, maxAttempts: 2, timeLeftMs: 1200, expectedMs: 120, queued: 0, sinceRejectionMs: Number.POSITIVE_INFINITY, fractionLeft: 1, retriesLeft: 1,
};

test('a request is hedged after the quantile of its route', t => {
	t.is(hedgeDelay(delayInput), 300);
});

test('a request that may run at most once is never hedged', t => {
	// Guards against an order that two servers run.
	t.is(hedgeDelay({...delayInput, isRepeatable: false}), HedgeRefusal.notRepeatable);
});

test('a route is hedged only with enough samples for its quantile', t => {
	// Guards against a delay that is the slowest of a handful of responses, or one of its usual ones.
	const withSamples = (sampleCount: number, quantile: number) => hedgeDelay({...delayInput, quantile, responseTimes: {...delayInput.responseTimes, sampleCount}});
	t.is(withSamples(0, 0.5), HedgeRefusal.tooFewSamples);
	t.is(withSamples(29, 0.5), HedgeRefusal.tooFewSamples);
	t.is(withSamples(30, 0.5), 300);
	t.is(withSamples(39, 0.95), HedgeRefusal.tooFewSamples);
	t.is(withSamples(41, 0.95), 300);
	t.is(withSamples(199, 0.99), HedgeRefusal.tooFewSamples);
	t.is(withSamples(201, 0.99), 300);
});

test('a hedged request can still be answered before the deadline', t => {
	// Guards against additional work whose response comes too late.
	t.is(hedgeDelay({...delayInput, timeLeftMs: 350}), 230);
	t.is(hedgeDelay({...delayInput, timeLeftMs: 220}), 100);
	t.is(hedgeDelay({...delayInput, timeLeftMs: 219}), HedgeRefusal.noTimeLeft);
	t.is(hedgeDelay({...delayInput, timeLeftMs: 0}), HedgeRefusal.noTimeLeft);
	t.is(hedgeRefusal({...input, timeLeftMs: 119}), HedgeRefusal.noTimeLeft);
	t.is(hedgeRefusal({...input, timeLeftMs: 120}), undefined);
});

test('a route whose responses are nearly instant is hedged after a least delay', t => {
	// Guards against a connection to a second server for each request that one pause of the process delays by a millisecond.
	t.is(hedgeDelay({...delayInput, responseTimes: {sampleCount: 200, medianMs: 0, quantileMs: 1}}), 10);
});

test('a slow request is hedged while the service has room', t => {
	t.is(hedgeRefusal(input), undefined);
});

const refusals: ReadonlyArray<[HedgeRefusal, Partial<HedgeInput>, Partial<HedgeInput>?]> = [
	[HedgeRefusal.stopping, {isStopping: true}],
	[HedgeRefusal.maxAttempts, {attempts: 2}, {attempts: 2, maxAttempts: 3}],
	[HedgeRefusal.maxAttempts, {maxAttempts: 1}],
	[HedgeRefusal.queue, {queued: 1}],
	[HedgeRefusal.rejections, {sinceRejectionMs: 0}],
	[HedgeRefusal.rejections, {sinceRejectionMs: 999}, {sinceRejectionMs: 1000}],
	[HedgeRefusal.fraction, {fractionLeft: 0}],
	[HedgeRefusal.fraction, {fractionLeft: -3}],
	[HedgeRefusal.retryBudget, {retriesLeft: 0}],
	[HedgeRefusal.retryBudget, {retriesLeft: -1}],
];

for (const [reason, refused, allowed = {}] of refusals) {
	test(`a request is not hedged with ${JSON.stringify(refused)}: ${reason}`, t => {
		// Guards against additional work where slots are short, where a limit is reached, or where the VM ends.
		t.is(hedgeRefusal({...input, ...refused}), reason);
		t.is(hedgeRefusal({...input, ...allowed}), undefined);
	});
}
