import test from 'ava';
import {createMemoryLogger, ManualTimerService} from '@fescuewick/core';
import {RequestLog} from './request-log.js';

test('lines of refused requests are bounded, and the ones left out are counted', async t => {
	// Guards against clients that fill a disk with refused requests.
	const lines: Array<Record<string, unknown>> = [];
	const timers = new ManualTimerService();
	const log = new RequestLog(createMemoryLogger(lines), timers);
	for (let index = 0; index < 1000; index++) {
		log.write({
			id: `r${index}`, code: 1101, durationMs: 0, attempts: 0,
		});
		log.writeMalformed('HPE_INVALID_METHOD');
	}

	t.is(lines.length, 200);
	log.write({
		id: 'run', code: 1000, durationMs: 5, attempts: 1,
	});
	t.is(lines.length, 201, 'requests that were sent to a server always have a line');
	await timers.advance(1000);
	log.check();
	t.like(lines.at(-1), {event: 'request-lines-suppressed', count: 1800});
	log.write({
		id: 'later', code: 1101, durationMs: 0, attempts: 0,
	});
	t.like(lines.at(-1), {event: 'request', id: 'later'});
});

test('texts of callers are cut in log lines', t => {
	const lines: Array<Record<string, unknown>> = [];
	const log = new RequestLog(createMemoryLogger(lines), new ManualTimerService());
	log.write({
		id: 'i'.repeat(8000), path: '/'.repeat(8000), code: 1101, durationMs: 0, attempts: 0,
	});
	t.true(String(lines[0].id).length <= 201);
	t.true(String(lines[0].path).length <= 201);
});
