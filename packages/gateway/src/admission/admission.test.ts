import test from 'ava';
import {maxQueueWaitMs, rateRetryAfterMs, retryAfterMs} from './admission.js';
import {RequestQueue} from './request-queue.js';

const input = {
	ahead: 0, slots: 16, serviceMs: 200, expectedMs: 200, targetMs: 400, timeLeftMs: 3000,
};

test('a request waits no longer than it can and still meet its latency target and deadline', t => {
	t.is(maxQueueWaitMs(input), 200);
	t.is(maxQueueWaitMs({...input, expectedMs: 800}), 50);
	t.is(maxQueueWaitMs({...input, timeLeftMs: 250}), 50);
});

test('a request is refused immediately when the queue ahead of it takes too long', t => {
	// Guards against queueing requests that cannot be served in time, which leaves the caller no time to retry.
	t.is(maxQueueWaitMs({...input, ahead: 40}), 0);
	t.is(maxQueueWaitMs({...input, timeLeftMs: 100}), 0);
	t.is(maxQueueWaitMs({...input, ahead: 1, slots: 0}), 200);
});

test('the retry delay of refused callers is jittered and at most a third of the time left', t => {
	t.true(retryAfterMs(3000, 1) <= 1000);
	t.true(retryAfterMs(3000, 0) < retryAfterMs(3000, 1));
	t.true(retryAfterMs(0, 0.5) > 0);
});

test('callers over the rate limit of their workspace do not retry for every token', t => {
	// Guards against excess requests that are retried every 200 ms and refused each time.
	const refusal = {
		waitMs: 200, isOverRate: true, timeLeftMs: 3000, random: 0.5,
	};
	t.is(rateRetryAfterMs(refusal), retryAfterMs(3000, 0.5));
	t.is(rateRetryAfterMs({...refusal, waitMs: 2000}), 2000);
	t.is(rateRetryAfterMs({...refusal, isOverRate: false}), 200);
});

test('queued requests are served by priority, then in order of arrival', t => {
	const queue = new RequestQueue<{priority: number; arrivedAtMs: number}>();
	for (const [priority, arrivedAtMs] of [[2, 1], [1, 2], [2, 3], [1, 4]]) {
		queue.add({priority, arrivedAtMs});
	}

	t.deepEqual(queue.snapshot().map(({arrivedAtMs}) => arrivedAtMs), [2, 4, 1, 3]);
	t.is(queue.countAhead(1), 2);
	t.is(queue.countAhead(2), 4);
});
