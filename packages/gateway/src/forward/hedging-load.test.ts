import process from 'node:process';
import test from 'ava';
import fc from 'fast-check';
import {ManualTimerService, Metrics} from '@fescuewick/core';
import {type GatewaySettings} from '../settings.js';
import {createAttemptLimits} from './attempt-limits.js';
import {hedgeDelay, hedgeRefusal} from './hedging-policy.js';

const stepMs = 100;
const windowMs = 10_000;
const timeoutMs = 1500;
const retryRatio = 0.2;
const retrySlack = 194;

type Load = {
	readonly vms: number;
	readonly fraction: number;
	readonly durationS: number;
	/** Requests in a step at a VM. */
	readonly requestsAt: (stepIndex: number) => number;
	/** Probability that a request is slow. */
	readonly slowAt: (stepIndex: number) => number;
	readonly random: () => number;
};

/** Simulates VMs that hedge by the policy and its limits, with servers that always have free slots; returns the requests and hedged requests in each step over all VMs, and the response times. */
async function simulate({vms, fraction, durationS, requestsAt, slowAt, random}: Load) {
	const timers = new ManualTimerService();
	const settings = {bounds: {retryRatio, retrySlack, retryWindowMs: windowMs}, hedging: {fraction, quantile: 0.95}} as unknown as GatewaySettings;
	const limits = Array.from({length: vms}, () => createAttemptLimits({
		timers, metrics: new Metrics(), settings: () => settings, sharerCount: () => vms,
	}));
	const requests: number[] = [];
	const hedged: number[] = Array.from<number>({length: (durationS * 1000 / stepMs) + 100}).fill(0);
	const responseTimesMs: number[] = [];
	const durationMs = (isSlow: boolean) => (50 + (random() * 100)) * (isSlow ? 7 : 1);
	for (let index = 0; index < durationS * 1000 / stepMs; index++) {
		const count = requestsAt(index);
		requests.push(count * vms);
		for (const {hedging, retryBudgets} of limits) {
			for (let request = 0; request < count; request++) {
				const firstMs = durationMs(random() < slowAt(index));
				const budget = retryBudgets.forService('stock');
				budget.recordFirstAttempt();
				hedging?.recordRequest('stock');
				const delayMs = hedging === undefined
					? Number.POSITIVE_INFINITY
					: hedgeDelay({
						isRepeatable: true, responseTimes: hedging.responseTimes.of('check'), quantile: 0.95, timeLeftMs: timeoutMs, expectedMs: 120,
					});
				if (hedging === undefined || typeof delayMs === 'string' || firstMs <= delayMs) {
					hedging?.responseTimes.add('check', firstMs);
					responseTimesMs.push(firstMs);
					continue;
				}

				timers.after(delayMs, () => {
					const refusal = hedgeRefusal({
						isStopping: false, attempts: 1, maxAttempts: 2, timeLeftMs: timeoutMs - delayMs, expectedMs: 120, queued: 0, sinceRejectionMs: Number.POSITIVE_INFINITY, fractionLeft: hedging.fractionLeft('stock'), retriesLeft: budget.remaining,
					});
					const secondMs = refusal === undefined ? delayMs + durationMs(false) : Number.POSITIVE_INFINITY;
					responseTimesMs.push(Math.min(firstMs, secondMs));
					if (refusal === undefined) {
						budget.take();
						hedging.recordHedge('stock');
						hedged[Math.floor(timers.nowMs() / stepMs)]++;
					}

					if (secondMs < firstMs) {
						hedging.responseTimes.addUnanswered('check', secondMs);
					} else {
						hedging.responseTimes.add('check', firstMs);
					}
				});
			}
		}

		await timers.advance(stepMs);
	}

	await timers.advance(timeoutMs);
	return {requests, hedged, responseTimesMs: responseTimesMs.sort((a, b) => a - b)};
}

const sum = (values: readonly number[]) => values.reduce((total, value) => total + value, 0);

/** Deterministic random numbers in [0, 1). */
function randomFrom(seed: number): () => number {
	let state = seed;
	return () => {
		state = ((state * 1_103_515_245) + 12_345) % 2_147_483_648;
		return state / 2_147_483_648;
	};
}

test('three slow responses in a hundred are shortened by hedging a few more requests than these', async t => {
	// Guards against a delay or limits that leave the slowest responses as they are.
	const load: Load = {
		vms: 5, fraction: 0.06, durationS: 60, requestsAt: () => 2, slowAt: () => 0.03, random: randomFrom(1),
	};
	const off = await simulate({...load, fraction: 0, random: randomFrom(1)});
	const on = await simulate(load);
	const p98 = ({responseTimesMs}: typeof on) => responseTimesMs[Math.floor(responseTimesMs.length * 0.98)];
	t.true(p98(off) > 400, `${p98(off)} ms`);
	t.true(p98(on) < 350, `${p98(on)} ms`);
	const ratio = sum(on.hedged) / sum(on.requests);
	t.true(ratio > 0.03 && ratio <= 0.06, `${ratio}`);
	t.is(sum(off.hedged), 0);
});

const {FESCUEWICK_PROPERTY_RUNS: runs = '30', FESCUEWICK_PROPERTY_SEED: seed} = process.env;

test('in any 10 s hedged requests stay within the fraction and the platform\'s bound over all VMs, also when all servers become slow', async t => {
	// Guards against additional arrivals beyond the retry budget at the moment at which servers are short of slots.
	await fc.assert(fc.asyncProperty(fc.record({
		vms: fc.integer({min: 1, max: 12}),
		fraction: fc.constantFrom(0.01, 0.05, 0.3, 1),
		meanRequests: fc.integer({min: 1, max: 6}),
		slowFromS: fc.integer({min: 5, max: 25}),
		slowS: fc.integer({min: 0, max: 15}),
		randomSeed: fc.integer({min: 1, max: 1_000_000}),
	}), async ({vms, fraction, meanRequests, slowFromS, slowS, randomSeed}) => {
		const {requests, hedged} = await simulate({
			vms,
			fraction,
			durationS: 40,
			// Demand rises and falls by 55 % in 36 s.
			requestsAt: index => Math.round(meanRequests * (1 + (0.55 * Math.sin(index / 360 * 2 * Math.PI)))),
			slowAt: index => index >= slowFromS * 10 && index < (slowFromS + slowS) * 10 ? 1 : 0.03,
			random: randomFrom(randomSeed),
		});
		const windowSteps = windowMs / stepMs;
		for (let end = windowSteps; end <= requests.length; end++) {
			// The platform counts the requests of this window, of the one half a window before it or of the one before it, whichever has most.
			const requestCount = Math.max(...[0, windowSteps / 2, windowSteps].map(offset => sum(requests.slice(Math.max(0, end - offset - windowSteps), Math.max(0, end - offset)))));
			const hedgedCount = sum(hedged.slice(end - windowSteps, end));
			t.true(hedgedCount <= (requestCount * retryRatio) + retrySlack, `${hedgedCount} of ${requestCount}`);
		}

		t.true(sum(hedged) <= sum(requests) * fraction, `${sum(hedged)} of ${sum(requests)}`);
	}), {numRuns: Number(runs), seed: seed === undefined ? undefined : Number(seed)});
});
