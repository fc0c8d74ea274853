import test from 'ava';
import {ManualTimerService, PauseDetector} from './index.js';

// Guards against timers that fire out of order or after they were cancelled.
test('manual timers fire in order of due time and respect cancel', async t => {
	const timers = new ManualTimerService();
	const fired: string[] = [];
	timers.after(30, () => fired.push('c'));
	timers.after(10, () => fired.push('a'));
	const cancel = timers.after(15, () => fired.push('x'));
	const stop = timers.repeat(20, () => fired.push('b'));
	cancel();
	await timers.advance(45);
	stop();
	await timers.advance(100);
	t.deepEqual(fired, ['a', 'b', 'c', 'b']);
});

// Guards against a process that uses a lease which expired while the process was stopped.
test('pause detector reports a pause at the next check', async t => {
	const timers = new ManualTimerService();
	const detector = new PauseDetector(timers);
	const pauses: number[] = [];
	detector.onPause(lateMs => pauses.push(lateMs));
	await timers.advance(5000);
	t.true(detector.check());
	timers.pause(4000);
	t.false(detector.check());
	t.is(pauses.length, 1);
	t.is(detector.lastPauseEndMs, 9000);
	t.true(detector.check());
	detector.stop();
});
