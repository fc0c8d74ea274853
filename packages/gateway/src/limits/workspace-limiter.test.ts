import test from 'ava';
import fc from 'fast-check';
import {ManualTimerService} from '@fescuewick/core';
import {type Demands} from '../peers/heartbeat.js';
import {workspace} from '../testing/fixtures.js';
import {divideRate} from './rate-division.js';
import {divisionIntervalMs, WorkspaceLimiter, type SharingPeers} from './workspace-limiter.js';

/** The platform's bound: requests in a window of this length, in milliseconds, may exceed rate and burst by a tenth and a count. */
const windowMs = 5000;
const overshoot = 0.1;
const slackCount = 20;
const stepMs = 50;

test('parts of VMs with the same view add up to the rate', t => {
	fc.assert(fc.property(fc.array(fc.double({min: 0, max: 500, noNaN: true}), {minLength: 1, maxLength: 20}), fc.double({min: 1, max: 1000, noNaN: true}), (demands, ratePerS) => {
		const total = demands.reduce((sum, demand) => sum + demand, 0);
		const parts = demands.map(ownPerS => divideRate({
			ratePerS, ownPerS, othersPerS: total - ownPerS, members: demands.length,
		}));
		const sum = parts.reduce((before, part) => before + part, 0);
		return Math.abs(sum - ratePerS) < ratePerS * 1e-6;
	}));
	t.pass();
});

type Simulation = {readonly passed: number[]; readonly refusedWithin: number};

/** Plays VMs whose views of each other's demand are late, with changes of demand, cuts and restarts. */
function simulate({ratePerS, demandsPerS, viewDelayMs, cutVm, restartAtMs}: {
	readonly ratePerS: number;
	/** Demand of each VM by second. */
	readonly demandsPerS: ReadonlyArray<readonly number[]>;
	readonly viewDelayMs: number;
	readonly cutVm: number | undefined;
	readonly restartAtMs: number | undefined;
}): Simulation {
	const timers = new ManualTimerService();
	const limits = [workspace('acme', {ratePerS, burst: ratePerS})];
	const members = demandsPerS.length;
	const start = () => {
		const limiter = new WorkspaceLimiter(timers, () => slackCount);
		limiter.configure(limits, {members, demands: []});
		return limiter;
	};

	let limiters = demandsPerS.map(() => start());
	const told: Array<{atMs: number; vm: number; demands: Demands}> = [];
	const passed: number[] = [];
	let refusedWithin = 0;
	const owed = demandsPerS.map(() => 0);
	for (let nowMs = 0; nowMs < demandsPerS[0].length * 1000; nowMs += stepMs) {
		timers.pause(stepMs);
		if (nowMs === restartAtMs) {
			limiters = demandsPerS.map(() => start());
		}

		for (const [vm, limiter] of limiters.entries()) {
			owed[vm] += demandsPerS[vm][Math.floor(nowMs / 1000)] * stepMs / 1000;
			for (; owed[vm] >= 1; owed[vm]--) {
				if (limiter.take('acme') === 0) {
					passed.push(nowMs);
				} else {
					refusedWithin++;
				}
			}

			if (nowMs % divisionIntervalMs === 0) {
				limiter.update(viewOf(vm, nowMs));
				told.push({atMs: nowMs, vm, demands: limiter.demands()});
			}
		}
	}

	return {passed, refusedWithin};

	function viewOf(vm: number, nowMs: number): SharingPeers {
		const latest = new Map<number, Demands>();
		for (const {atMs, vm: other, demands} of told) {
			const isHeard = other !== vm && (cutVm === undefined || nowMs < 4000 || (vm !== cutVm && other !== cutVm));
			if (atMs <= nowMs - viewDelayMs && (isHeard || (other !== vm && atMs < 4000))) {
				latest.set(other, demands);
			}
		}

		return {members, demands: [...latest.values()]};
	}
}

function mostInWindow(passed: readonly number[]): number {
	let most = 0;
	let first = 0;
	for (const [index, atMs] of passed.entries()) {
		while (passed[first] <= atMs - windowMs) {
			first++;
		}

		most = Math.max(most, index - first + 1);
	}

	return most;
}

test('all VMs together stay within rate and burst while demand moves, a VM is cut off and all restart', t => {
	// Guards against parts that overlap: a late view, a cut VM that keeps its part, tokens that a restart hands out again.
	const vms = 8;
	fc.assert(fc.property(
		fc.integer({min: 10, max: 150}),
		fc.array(fc.array(fc.integer({min: 0, max: 120}), {minLength: 12, maxLength: 12}), {minLength: vms, maxLength: vms}),
		fc.integer({min: 100, max: 1200}),
		fc.option(fc.integer({min: 0, max: vms - 1}), {nil: undefined}),
		fc.option(fc.constantFrom(3000, 6000, 9000), {nil: undefined}),
		(ratePerS, demandsPerS, viewDelayMs, cutVm, restartAtMs) => {
			const {passed} = simulate({
				ratePerS, demandsPerS, viewDelayMs, cutVm, restartAtMs,
			});
			const bound = (((ratePerS * windowMs / 1000) + ratePerS) * (1 + overshoot)) + slackCount;
			return mostInWindow(passed) <= bound;
		},
	), {numRuns: 60, seed: 4});
	t.pass();
});

test('steady demand inside the rate is not refused', t => {
	// Guards against wrongful refusals while nothing fails.
	const demandsPerS = Array.from({length: 8}, (_, vm) => Array.from({length: 20}, () => vm + 1));
	const {refusedWithin, passed} = simulate({
		ratePerS: 60, demandsPerS, viewDelayMs: 600, cutVm: undefined, restartAtMs: undefined,
	});
	t.true(refusedWithin <= passed.length * 0.001, `${refusedWithin} of ${passed.length} refused`);
});
