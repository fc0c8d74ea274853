import test from 'ava';
import fc from 'fast-check';
import {coldAllowancePerS, SecondWindow} from './cold-allowance.js';

test('all sharers together stay within what a cold server tolerates', t => {
	// Guards against crashing a server that has just come back.
	fc.assert(fc.property(fc.double({min: 0, max: 50, noNaN: true}), fc.integer({min: 1, max: 20}), (coldRatePerS, sharers) => {
		const allowance = coldAllowancePerS({
			coldRatePerS, overshoot: 1.5, slack: 5, sharers,
		});
		return allowance * sharers <= (coldRatePerS * 1.5) + 5;
	}));
	t.pass();
});

test('the window counts the last second only', t => {
	const window = new SecondWindow();
	window.add(0);
	window.add(900);
	t.is(window.count(999), 2);
	t.is(window.count(1000), 1);
	t.is(window.count(1900), 0);
});
