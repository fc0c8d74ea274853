import test from 'ava';
import {divideRate, domainFloors} from '../allocator/division.js';
import {
	adoptRate, applyStep, planStep, usableFraction, type WorkspaceSlices,
} from './slice-object.js';

const idle = {wantedPerS: 0, uncommitted: {ratePerS: 0, burst: 0}};

function entryOf(slices: WorkspaceSlices['slices'], free = 0): WorkspaceSlices {
	return {
		revision: 5, total: {ratePerS: 100, burst: 100}, free: {ratePerS: free, burst: free}, slices,
	};
}

const slice = (ratePerS: number, wantedPerS: number) => ({
	ratePerS, burst: ratePerS, wantedPerS, epoch: 1,
});

// Guards against a VM with an outdated configuration that reverts a newer rate.
test('a rate of an older revision is not adopted', t => {
	const entry = entryOf({});
	t.is(adoptRate(entry, {ratePerS: 7, burst: 7}, 5), entry);
	t.is(adoptRate(entry, {ratePerS: 7, burst: 7}, 6)!.free.ratePerS, -93);
});

// Guards against a release of quota that VMs still hold.
test('a slice shrinks only by its uncommitted quota', t => {
	const entry = entryOf({a: slice(80, 80), b: slice(20, 80)});
	const step = planStep(entry, {
		domain: 'a', domains: ['a', 'b'], ...idle, uncommitted: {ratePerS: 10, burst: 5},
	});
	t.true(step.grantable.ratePerS < 10, 'the surplus is recalled');
	t.is(step.next.ratePerS, 70);
	t.is(step.next.burst, 75);
	const after = applyStep(entry, 'a', step, 2);
	t.is(after.free.ratePerS + after.slices.a.ratePerS + after.slices.b.ratePerS, 100);
});

// Guards against slices whose sum exceeds the total.
test('a slice grows by no more than the unallocated quota', t => {
	const step = planStep(entryOf({a: slice(10, 0), b: slice(85, 0)}, 5), {
		domain: 'a', domains: ['a', 'b'], ...idle, wantedPerS: 500,
	});
	t.is(step.next.ratePerS, 15);
});

// Guards against slices that oscillate while demand is steady.
test('a small difference from the target does not change the slice', t => {
	const entry = entryOf({a: slice(51.5, 30), b: slice(48.5, 30)});
	const step = planStep(entry, {
		domain: 'a', domains: ['a', 'b'], wantedPerS: 32, uncommitted: {ratePerS: 50, burst: 50},
	});
	t.is(step.next.ratePerS, 51.5);
	t.is(step.wantedPerS, 30);
});

// Guards against usage above a lowered rate until the smaller slices are in the store.
test('slices are used in proportion while the configured rate is below their sum', t => {
	const entry = entryOf({a: slice(60, 0), b: slice(40, 0)});
	t.is(usableFraction(entry, {ratePerS: 50, burst: 100}, 6).ratePerS, 0.5);
	t.is(usableFraction(entry, {ratePerS: 50, burst: 100}, 4).ratePerS, 1);
});

// Guards against an idle domain without a share for sudden demand while much of the rate is unused.
test('every domain gets its demand and half of the surplus is divided evenly', t => {
	const recipients = [{id: 'a', wanted: 40}, {id: 'b', wanted: 0}, {id: 'c', wanted: 0}, {id: 'd', wanted: 0}];
	const quotas = divideRate({ratePerS: 100, burst: 100}, recipients, domainFloors);
	t.true(quotas.get('a')!.ratePerS >= 40);
	t.true(quotas.get('b')!.ratePerS >= 60 / 2 / 4 * 0.95, 'the floors of the others take up to 5 %');
	const sum = [...quotas.values()].map(({ratePerS}) => ratePerS);
	t.true(Math.abs(sum.reduce((x, y) => x + y, 0) - 100) < 1e-9);
});
