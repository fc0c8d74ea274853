import test from 'ava';
import {ManualTimerService} from '@fescuewick/core';
import {ResponseTimes} from './response-times.js';

function addAll(times: ResponseTimes, durationsMs: Iterable<number>): void {
	for (const durationMs of durationsMs) {
		times.add('check', durationMs);
	}
}

const oneToHundred = Array.from({length: 100}, (_, index) => index + 1);

test('the quantiles are those of the route\'s samples', t => {
	const times = new ResponseTimes(new ManualTimerService(), 0.95);
	addAll(times, oneToHundred.toReversed());
	t.deepEqual(times.of('check'), {sampleCount: 100, medianMs: 50, quantileMs: 95});
	t.deepEqual(times.of('other'), {sampleCount: 0, medianMs: 0, quantileMs: 0});
});

test('the quantiles follow a lasting change and forget old samples', async t => {
	// Guards against a delay from a time when the route was faster or slower.
	const timers = new ManualTimerService();
	const times = new ResponseTimes(timers, 0.9);
	addAll(times, Array.from<number>({length: 512}).fill(100));
	t.is(times.of('check').quantileMs, 100);
	await timers.advance(1000);
	addAll(times, Array.from<number>({length: 512}).fill(700));
	t.deepEqual(times.of('check'), {sampleCount: 512, medianMs: 700, quantileMs: 700});
	await timers.advance(61_000);
	t.is(times.of('check').sampleCount, 0);
});

test('the quantile does not fall because hedged requests win', async t => {
	// Guards against a delay that shrinks from window to window until every request is hedged: the slow responses that define the quantile are cancelled and never measured.
	const timers = new ManualTimerService();
	const times = new ResponseTimes(timers, 0.75);
	// A quarter of the samples that are kept, so that they always have the same distribution.
	const durationsMs = Array.from({length: 128}, (_, index) => index + 1);
	addAll(times, durationsMs);
	for (let round = 0; round < 20; round++) {
		await timers.advance(1000);
		const {quantileMs} = times.of('check');
		for (const durationMs of durationsMs) {
			if (durationMs > quantileMs + 5) {
				times.addUnanswered('check', quantileMs + 5);
			} else {
				times.add('check', durationMs);
			}
		}
	}

	await timers.advance(1000);
	t.is(times.of('check').quantileMs, 96);
});

test('an attempt that was cancelled early says nothing about the quantile', t => {
	// Guards against a delay that falls when callers leave.
	const times = new ResponseTimes(new ManualTimerService(), 0.9);
	addAll(times, oneToHundred);
	for (let count = 0; count < 100; count++) {
		times.addUnanswered('check', 3);
	}

	t.is(times.of('check').sampleCount, 100);
});
