import test from 'ava';
import {ManualTimerService, Metrics} from '@fescuewick/core';
import {RateLimitedStore, MemoryObjectStore} from './index.js';

// Guards against a client that exceeds its rate limit or waits for a token without limit.
test('the rate limit delays calls, counts a waiting watch once and refuses calls whose wait is too long', async t => {
	const timers = new ManualTimerService();
	const metrics = new Metrics();
	const memory = new MemoryObjectStore(timers);
	const store = new RateLimitedStore(memory, {
		callsPerS: 10, burst: 2, maxWaitMs: 200, timers, metrics,
	});
	const watching = store.watch('k', 0, 5000);
	const reads = Promise.all([store.read('k'), store.read('k'), store.read('k')]);
	t.like(await t.throwsAsync(async () => store.read('k'), {any: true}), {code: 3000, retryAfterMs: 300});
	t.is(memory.calls.reads + memory.calls.watches, 2);
	await timers.advance(100);
	t.is(memory.calls.reads + memory.calls.watches, 3);
	await timers.advance(100);
	await reads;
	await timers.advance(5000);
	t.is(await watching, undefined);
	t.deepEqual([store.counts.watch, store.counts.read, store.counts.refused], [1, 3, 1]);
	const text = await metrics.text();
	t.true(text.includes('fescuewick_store_calls_total{kind="read",result="storeUnavailable"} 1'));
});

// Guards against a watch that waits for a token, or for a change, after it was aborted.
test('an aborted watch ends without a call', async t => {
	const timers = new ManualTimerService();
	const memory = new MemoryObjectStore(timers);
	const store = new RateLimitedStore(memory, {callsPerS: 1, burst: 1, timers});
	await store.read('k');
	const abort = new AbortController();
	const watching = store.watch('k', 0, 60_000, abort.signal);
	abort.abort();
	t.is(await watching, undefined);
	t.is(memory.calls.watches, 0);
	t.is(await memory.watch('k', 0, 60_000, abort.signal), undefined);
});
