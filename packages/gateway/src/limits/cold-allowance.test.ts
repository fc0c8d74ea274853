import test from 'ava';
import fc from 'fast-check';
import {coldAllowancePerS, OneSecondCounter} from './cold-allowance.js';

const vmNames = (count: number) => Array.from({length: count}, (_, index) => `vm-${index}`);

test('the allowances of all VMs add up to the limit of a cold server', t => {
	// Guards against overloading a server that has just restarted, and against sending it nothing because its limit is less than one request per VM.
	fc.assert(fc.property(fc.double({min: 0, max: 50, noNaN: true}), fc.integer({min: 1, max: 100}), fc.string(), (coldRatePerS, count, server) => {
		const limitSharers = vmNames(count);
		const total = limitSharers.map(vm => coldAllowancePerS({
			coldRatePerS, overshoot: 1.5, slack: 5, server, vm, limitSharers,
		})).reduce((sum, allowance) => sum + allowance, 0);
		return total <= (coldRatePerS * 1.5) + 5 && total === Math.floor(((coldRatePerS * 1.5) + 5) * 0.75);
	}));
	t.pass();
});

test('the VMs that may send to a cold server differ by server', t => {
	const limitSharers = vmNames(20);
	const allowed = (server: string) => limitSharers.filter(vm => coldAllowancePerS({
		coldRatePerS: 5.7, overshoot: 1.5, slack: 8, server, vm, limitSharers,
	}) > 0);
	t.is(allowed('s1').length, 12);
	t.notDeepEqual(allowed('s1'), allowed('s2'));
});

test('the counter counts only events of the last second', t => {
	const counter = new OneSecondCounter();
	counter.add(0);
	counter.add(900);
	t.is(counter.count(999), 2);
	t.is(counter.count(1000), 1);
	t.is(counter.count(1900), 0);
});
