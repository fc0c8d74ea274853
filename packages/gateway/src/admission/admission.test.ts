import test from 'ava';
import {admittedWaitMs, rateRetryAfterMs, retryAfterMs} from './admission.js';
import {WaitingLine} from './waiting-line.js';

const input = {
	ahead: 0, slots: 16, serviceMs: 200, expectedMs: 200, targetMs: 400, timeLeftMs: 3000,
};

test('a request waits no longer than it can still be on time', t => {
	t.is(admittedWaitMs(input), 200);
	t.is(admittedWaitMs({...input, expectedMs: 800}), 50);
	t.is(admittedWaitMs({...input, timeLeftMs: 250}), 50);
});

test('a request is refused at once when its turn would come too late', t => {
	// Guards against holding requests that cannot be served: the caller needs the time to come back.
	t.is(admittedWaitMs({...input, ahead: 40}), 0);
	t.is(admittedWaitMs({...input, timeLeftMs: 100}), 0);
	t.is(admittedWaitMs({...input, ahead: 1, slots: 0}), 200);
});

test('refused callers come back within a third of their time, spread out', t => {
	t.true(retryAfterMs(3000, 1) <= 1000);
	t.true(retryAfterMs(3000, 0) < retryAfterMs(3000, 1));
	t.true(retryAfterMs(0, 0.5) > 0);
});

test('callers beyond the rate of their workspace do not come back for every token', t => {
	// Guards against a surplus that returns every 200 ms and is refused each time.
	const refusal = {
		waitMs: 200, isOverRate: true, timeLeftMs: 3000, random: 0.5,
	};
	t.is(rateRetryAfterMs(refusal), retryAfterMs(3000, 0.5));
	t.is(rateRetryAfterMs({...refusal, waitMs: 2000}), 2000);
	t.is(rateRetryAfterMs({...refusal, isOverRate: false}), 200);
});

test('urgent requests are served first, others in order of arrival', t => {
	const line = new WaitingLine<{priority: number; arrivedAtMs: number}>();
	for (const [priority, arrivedAtMs] of [[2, 1], [1, 2], [2, 3], [1, 4]]) {
		line.add({priority, arrivedAtMs});
	}

	t.deepEqual(line.inOrder().map(({arrivedAtMs}) => arrivedAtMs), [2, 4, 1, 3]);
	t.is(line.ahead(1), 2);
	t.is(line.ahead(2), 4);
});
