import test from 'ava';
import * as fc from 'fast-check';
import {ClaimState, type ClaimReplyBody, type ClaimRequestBody} from '@fescuewick/wire';
import {ClaimService} from '../claim-service.js';
import {MemoryClaimService} from '../memory-claim-service.js';
import {type ServiceFactory} from '../testing/claim-fleet.js';
import {
	ClaimScenario, orderCount, vms, type NodeFault, type ScenarioStep,
} from '../testing/claim-scenario.js';
import {FleetClaimService} from './fleet-claim-service.js';

const seed = 20_240_611;
const vm = fc.constantFrom(...vms);
const pick = fc.nat(1000);
const nodeFaults = ['kill', 'restart', 'pause', 'resume', 'cutStore', 'cutPeer', 'lateWrites', 'lostWrites'] as const satisfies readonly NodeFault[];

/** Random sequences of claims, completions, releases, faults and time steps. */
const stepSequences: fc.Arbitrary<ScenarioStep[]> = fc.array(fc.oneof(
	{
		weight: 12, arbitrary: fc.record({
			kind: fc.constant('claim' as const), vm, order: fc.nat(orderCount - 1), isTicket: fc.boolean(), runs: fc.boolean(),
		}),
	},
	{weight: 6, arbitrary: fc.record({kind: fc.constantFrom('repeat' as const, 'complete' as const, 'completeUnknown' as const, 'release' as const), pick})},
	{weight: 6, arbitrary: fc.record({kind: fc.constantFrom(...nodeFaults), vm})},
	{weight: 3, arbitrary: fc.record({kind: fc.constant('misjudge' as const), vm, others: fc.subarray([...vms])})},
	{weight: 4, arbitrary: fc.record({kind: fc.constantFrom('cutDomains' as const, 'heal' as const, 'storeDown' as const, 'storeSilent' as const, 'storeUp' as const, 'storeUp' as const)})},
	{weight: 4, arbitrary: fc.record({kind: fc.constantFrom('loseAnswers' as const, 'losePeerAnswers' as const), count: fc.integer({min: 1, max: 3})})},
	{weight: 2, arbitrary: fc.record({kind: fc.constant('slowStore' as const), ms: fc.constantFrom(0, 5, 200, 1500)})},
	{weight: 8, arbitrary: fc.record({kind: fc.constant('advance' as const), ms: fc.constantFrom(1, 5, 30, 300, 1500, 12_000)})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('shiftClock' as const), ms: fc.constantFrom(-30_000, -6000, 6000, 30_000)})},
), {minLength: 10, maxLength: 60});

/** Deliberately unsafe: grants the first claim of an order before its write has taken effect. */
class EarlyGrantClaimService extends ClaimService {
	readonly #firstClaimants = new Map<string, string>();

	constructor(readonly inner: ClaimService) {
		super();
	}

	async claim(body: ClaimRequestBody): Promise<ClaimReplyBody> {
		const first = this.#firstClaimants.get(body.orderKey);
		if (first === undefined) {
			this.#firstClaimants.set(body.orderKey, body.claimant);
			void this.inner.claim(body);
			return {state: ClaimState.granted, answer: undefined};
		}

		return first === body.claimant ? {state: ClaimState.granted, answer: undefined} : this.inner.claim(body);
	}

	async complete(body: Parameters<ClaimService['complete']>[0]): Promise<void> {
		return this.inner.complete(body);
	}

	async release(body: Parameters<ClaimService['release']>[0]): Promise<void> {
		return this.inner.release(body);
	}
}

async function checkAtMostOnce(runCount: number, createService?: ServiceFactory): Promise<{failed: boolean; ran: number}> {
	let ran = 0;
	const details = await fc.check(fc.asyncProperty(stepSequences, async sequence => {
		const scenario = new ClaimScenario(createService);
		await scenario.run(sequence);
		ran += scenario.executedOrderCount;
		return scenario.duplicates().length === 0;
	}), {seed, numRuns: runCount, endOnFailure: true});
	return {failed: details.failed, ran};
}

// Guards against two claimants running one order under any combination of faults, takeovers and differing membership views.
test('in random sequences of faults each order runs at most once', async t => {
	const {failed, ran} = await checkAtMostOnce(600);
	t.false(failed);
	// The check above would pass trivially if no order ran.
	t.true(ran > 600);
});

// Guards against a check too weak to detect claims that VMs do not share, or grants before the write.
test('the check fails for claims in the memory of each VM and for grants before the write', async t => {
	const memory = await checkAtMostOnce(50, () => new MemoryClaimService());
	t.true(memory.failed);
	const earlyGrants = await checkAtMostOnce(50, dependencies => {
		const inner = new FleetClaimService(dependencies);
		inner.start();
		return new EarlyGrantClaimService(inner);
	});
	t.true(earlyGrants.failed);
});
