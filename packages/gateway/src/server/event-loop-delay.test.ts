import test from 'ava';
import {createMemoryLogger, ManualTimerService, Metrics} from '@fescuewick/core';
import {EventLoopDelay} from './event-loop-delay.js';

test('a late check of the event loop is logged with its delay and counted', async t => {
	const timers = new ManualTimerService();
	const lines: Array<Record<string, unknown>> = [];
	const metrics = new Metrics({vm: 'a1'});
	const delay = new EventLoopDelay({
		metrics, timers, logger: createMemoryLogger(lines, 'info'), intervalMs: 250,
	});
	await timers.advance(300);
	delay.check();
	t.deepEqual(lines, []);
	await timers.advance(900);
	delay.check();
	t.like(lines[0], {event: 'event-loop-late', delayMs: 650});
	t.regex(await metrics.registry.metrics(), /fescuewick_event_loop_delay_seconds_bucket{le="0.5",vm="a1"} 1\n/);
});
