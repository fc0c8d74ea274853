import test from 'ava';
import fc from 'fast-check';
import {ManualTimerService} from '@fescuewick/core';
import {workspace} from '../testing/fixtures.js';
import {type BucketReports} from './fleet-bucket.js';
import {measureIntervalMs, WorkspaceLimiter} from './workspace-limiter.js';

/** The platform's bound: requests in a window of this length, in milliseconds, may exceed rate and burst by a tenth and a count. */
const windowMs = 5000;
const overshoot = 0.1;
const slackCount = 20;
const stepMs = 50;
/** Silent peers keep their part for this time, in milliseconds. */
const reservedMs = 30_000;

type Play = {
	readonly ratePerS: number;
	/** Demand of each VM by second. */
	readonly demandsPerS: ReadonlyArray<readonly number[]>;
	/** Interval of heartbeats and their delay, in milliseconds. */
	readonly intervalMs: number;
	readonly delayMs: number;
	/** Of how many heartbeats one is full; 1 unless given. */
	readonly fullEvery?: number;
	/** A VM that neither hears nor is heard from 4 s to 9 s. */
	readonly cutVm?: number;
	/** All VMs restart at this time. */
	readonly restartAtMs?: number;
	/** One VM restarts at this time. */
	readonly singleRestartAtMs?: number;
	/** Of ten requests that are passed, this many find no server and are given back. */
	readonly unservedOfTen?: number;
};

/** Plays VMs that tell each other what they passed, while demand moves. */
function play({ratePerS, demandsPerS, intervalMs, delayMs, cutVm, restartAtMs, singleRestartAtMs, unservedOfTen = 0, fullEvery = 1}: Play): {passed: number[]; refused: number} {
	const timers = new ManualTimerService();
	const limits = [workspace('acme', {ratePerS, burst: ratePerS})];
	const names = demandsPerS.map((_, vm) => `vm-${vm}`);
	let starts = 0;
	const start = () => {
		const limiter = new WorkspaceLimiter(timers, () => ({overshoot, slackCount, windowMs}));
		limiter.configure(limits);
		starts++;
		return {limiter, incarnation: starts};
	};

	const vms = names.map(() => start());
	const onTheWay: Array<{atMs: number; from: number; incarnation: number; buckets: BucketReports}> = [];
	const heardAtMs = names.map(() => names.map(() => 0));
	const owed = names.map(() => 0);
	const sequences = names.map((_, vm) => vm);
	const passed: number[] = [];
	let refused = 0;
	// VMs run for 4 s before the first request, as on the platform.
	for (let nowMs = -4000; nowMs < demandsPerS[0].length * 1000; nowMs += stepMs) {
		timers.pause(stepMs);
		if (nowMs === restartAtMs) {
			vms.splice(0, vms.length, ...names.map(() => start()));
		}

		if (nowMs === singleRestartAtMs) {
			vms[0] = start();
		}

		const isCut = (vm: number) => vm === cutVm && nowMs >= 4000 && nowMs < 9000;
		for (const [vm, {limiter, incarnation}] of vms.entries()) {
			if (nowMs % measureIntervalMs === 0) {
				limiter.update(new Set(names.filter((_, other) => nowMs - heardAtMs[vm][other] <= reservedMs)));
			}

			// Heartbeats of VMs are spread over the interval.
			if ((nowMs + (vm * stepMs)) % intervalMs === 0 && !isCut(vm)) {
				sequences[vm]++;
				onTheWay.push({
					atMs: nowMs + delayMs, from: vm, incarnation, buckets: limiter.reports(sequences[vm] % fullEvery === 0),
				});
			}
		}

		while (onTheWay.length > 0 && onTheWay[0].atMs <= nowMs) {
			const {from, incarnation, buckets} = onTheWay.shift()!;
			for (const [vm, {limiter}] of vms.entries()) {
				if (vm !== from && !isCut(vm) && !isCut(from)) {
					limiter.hear(names[from], incarnation, buckets);
					heardAtMs[vm][from] = nowMs;
				}
			}
		}

		for (const [vm, {limiter}] of vms.entries()) {
			owed[vm] += nowMs < 0 ? 0 : demandsPerS[vm][Math.floor(nowMs / 1000)] * stepMs / 1000;
			for (; owed[vm] >= 1; owed[vm]--) {
				if (limiter.take('acme') === 0) {
					passed.push(nowMs);
					if (passed.length % 10 < unservedOfTen) {
						limiter.giveBack('acme');
					}
				} else {
					refused++;
				}
			}
		}
	}

	return {passed, refused};
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

const vmCount = 8;

test('all VMs together stay within rate and burst while demand moves, a VM is cut off and VMs restart', t => {
	// Guards against tokens that several VMs spend, that a cut VM spends on its own, or that a restart hands out again.
	fc.assert(fc.property(
		fc.integer({min: 10, max: 200}),
		fc.array(fc.array(fc.oneof(fc.constant(0), fc.integer({min: 0, max: 30}), fc.integer({min: 0, max: 250})), {minLength: 12, maxLength: 12}), {minLength: vmCount, maxLength: vmCount}),
		fc.constantFrom(500, 1000),
		fc.constantFrom(0, 50, 150),
		fc.option(fc.integer({min: 0, max: vmCount - 1}), {nil: undefined}),
		fc.option(fc.constantFrom(3000, 6000, 9000), {nil: undefined}),
		fc.option(fc.constantFrom(2000, 7000), {nil: undefined}),
		fc.constantFrom(1, 4, 8),
		// eslint-disable-next-line max-params
		(ratePerS, demandsPerS, intervalMs, delayMs, cutVm, restartAtMs, singleRestartAtMs, fullEvery) => {
			const {passed} = play({
				ratePerS, demandsPerS, intervalMs, delayMs, cutVm, restartAtMs, singleRestartAtMs, fullEvery,
			});
			const bound = (((ratePerS * windowMs / 1000) + ratePerS) * (1 + overshoot)) + slackCount;
			return mostInWindow(passed) <= bound;
		},
	), {numRuns: 300, seed: 11});
	t.pass();
});

test('a workspace that sends several times its rate everywhere at once is held to it and gets it', t => {
	// Plays the onset of a greedy workspace: 0.6 of the rate, then 8 times as much at all VMs in the same second.
	const demandsPerS = Array.from({length: 11}, () => Array.from({length: 14}, (_, second) => second < 5 ? 3 : 24));
	const ratePerS = 55;
	const {passed} = play({
		ratePerS, demandsPerS, intervalMs: 1000, delayMs: 20,
	});
	const bound = (((ratePerS * windowMs / 1000) + ratePerS) * (1 + overshoot)) + slackCount;
	t.true(mostInWindow(passed) <= bound, `${mostInWindow(passed)} of ${bound}`);
	const late = passed.filter(atMs => atMs >= 8000).length / 6;
	t.true(late >= ratePerS * 0.9, `${late} requests per second passed`);
});

test('a workspace beyond its rate is held to it although most of its requests find no server', t => {
	// Plays a greedy workspace at servers without room: passing on what was refused for lack of room would let it take the room of all others.
	const demandsPerS = Array.from({length: 11}, () => Array.from({length: 14}, (_, second) => second < 5 ? 3 : 24));
	const ratePerS = 55;
	const {passed} = play({
		ratePerS, demandsPerS, intervalMs: 1000, delayMs: 20, unservedOfTen: 9,
	});
	// VMs know of the surplus 2.5 s after its onset at 5 s: demand is smoothed over a second and heartbeats take up to another.
	const known = passed.filter(atMs => atMs >= 7500);
	const bound = (((ratePerS * windowMs / 1000) + ratePerS) * (1 + overshoot)) + slackCount;
	t.true(mostInWindow(known) <= bound, `${mostInWindow(known)} of ${bound}`);
});

test('a workspace inside its rate is hardly refused while its requests find no server', t => {
	const demandsPerS = Array.from({length: 11}, (_, vm) => Array.from({length: 30}, (_unused, second) => [0, 6, 1, 4, 0, 2][(vm + (second * 5)) % 6]));
	const {passed, refused} = play({
		ratePerS: 40, demandsPerS, intervalMs: 1000, delayMs: 20, unservedOfTen: 9,
	});
	t.true(refused <= (passed.length + refused) * 0.01, `${refused} of ${passed.length + refused} refused`);
});

test('clumps of requests inside the rate are hardly refused', t => {
	// Guards against wrongful refusals while nothing fails: 0.6 of the rate, in clumps that change their VM each second.
	const demandsPerS = Array.from({length: 11}, (_, vm) => Array.from({length: 30}, (_unused, second) => [0, 6, 1, 4, 0, 2][(vm + (second * 5)) % 6]));
	const {passed, refused} = play({
		ratePerS: 40, demandsPerS, intervalMs: 1000, delayMs: 20,
	});
	t.true(refused <= (passed.length + refused) * 0.01, `${refused} of ${passed.length + refused} refused`);
});

test('partial heartbeats hold a greedy workspace to its rate as full ones do, and refuse hardly anything of one inside it', t => {
	// Guards against peers that take a workspace that is not mentioned for silent, or miss what it sent.
	const greedy = Array.from({length: 60}, () => Array.from({length: 14}, (_, second) => second < 5 ? 0.5 : 5));
	const ratePerS = 55;
	const [full, held] = [1, 7].map(fullEvery => play({
		ratePerS, demandsPerS: greedy, intervalMs: 1000, delayMs: 20, fullEvery,
	}));
	const bound = (((ratePerS * windowMs / 1000) + ratePerS) * (1 + overshoot)) + slackCount;
	t.true(mostInWindow(held.passed) <= bound, `${mostInWindow(held.passed)} of ${bound}`);
	t.true(held.passed.length >= full.passed.length, 'not fewer than with full heartbeats');
	const modest = Array.from({length: 60}, (_, vm) => Array.from({length: 30}, (_unused, second) => [0, 1, 0, 1, 0, 1][(vm + (second * 5)) % 6]));
	const {passed, refused} = play({
		ratePerS, demandsPerS: modest, intervalMs: 1000, delayMs: 20, fullEvery: 7,
	});
	t.true(refused <= (passed.length + refused) * 0.01, `${refused} of ${passed.length + refused} refused`);
});
