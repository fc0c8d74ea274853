import test, {type ExecutionContext} from 'ava';
import fc from 'fast-check';
import {simulateFleet, type FleetOutcome, type FleetScenario} from '../testing/simulated-fleet.js';
import {pooledFraction} from './pooled-fraction.js';
import {noPoolMembers, PoolOwners} from './pool-owners.js';

/** Number of arrivals of random, independent callers for a mean number. */
function poisson(seed: number): (mean: number) => number {
	const uniform = fc.sample(fc.double({
		min: 0, max: 1, maxExcluded: true, noNaN: true, noDefaultInfinity: true,
	}), {seed, numRuns: 4096});
	let index = 0;
	return mean => {
		const limit = Math.exp(-mean);
		let count = 0;
		for (let product = next(); product > limit; product *= next()) {
			count++;
		}

		return count;
	};

	function next(): number {
		// Mixes the drawn numbers, so that their sequence does not repeat within a run.
		index++;
		return (uniform[index % uniform.length] + (index * 0.618_034)) % 1;
	}
}

function refusedFraction({admitted, refused}: FleetOutcome): number {
	return refused.length / (admitted.length + refused.length);
}

const sizes = [{vmCount: 11, domainCount: 3, load: 0.8}, {vmCount: 94, domainCount: 6, load: 0.9}, {vmCount: 300, domainCount: 6, load: 0.9}];

for (const {vmCount, domainCount, load} of sizes) {
	for (const ratePerS of [60, 200]) {
		test(`a workspace with ${load} of a rate of ${ratePerS} is admitted to 99 % at ${vmCount} VMs`, t => {
			// Guards against refusals below the rate at VMs whose shares are smaller than a request.
			const scenario = {
				vmCount, domainCount, ratePerS, durationMs: 20_000, demandPerS: () => ratePerS * load / vmCount,
			};
			const even = simulateFleet(scenario);
			const random = simulateFleet({...scenario, sampleCount: poisson(vmCount + ratePerS)});
			const unpooled = simulateFleet({...scenario, sampleCount: poisson(vmCount + ratePerS), isPooled: false});
			for (const [name, outcome] of Object.entries({even, random, unpooled})) {
				t.log(`${name}: ${refusedFraction(outcome)} refused, ${outcome.askedCount / outcome.admitted.length} token requests and ${outcome.grantReportCount / outcome.admitted.length} reports for each request`);
			}

			t.true(refusedFraction(even) <= 0.01, `${refusedFraction(even)} of even demand refused`);
			t.true(refusedFraction(random) <= 0.01, `${refusedFraction(random)} of random demand refused`);
		});
	}
}

/** Where five times the rate arrives from 3 s on. */
enum SpikeTarget {
	oneVm = 'oneVm',
	oneDomain = 'oneDomain',
	allVms = 'allVms',
}

function spike(target: SpikeTarget, {vmCount, domainCount, ratePerS}: Pick<FleetScenario, 'vmCount' | 'domainCount' | 'ratePerS'>): FleetScenario['demandPerS'] {
	const isTarget = (vm: number) => target === SpikeTarget.allVms || (target === SpikeTarget.oneVm ? vm === 0 : vm % domainCount === 0);
	const targetCount = target === SpikeTarget.allVms ? vmCount : (target === SpikeTarget.oneVm ? 1 : vmCount / domainCount);
	return (vm, atMs) => atMs < 3000 ? ratePerS * 0.6 / vmCount : (isTarget(vm) ? ratePerS * 5 / targetCount : 0);
}

function assertBound(t: ExecutionContext, scenario: FleetScenario): void {
	const {maxInWindow, bound} = simulateFleet(scenario);
	t.true(maxInWindow <= bound, `${maxInWindow} of ${bound} in 5 s`);
}

for (const {vmCount, domainCount} of sizes) {
	for (const target of Object.values(SpikeTarget)) {
		test(`five times the rate stays within the bound at ${vmCount} VMs, sent to ${target}`, t => {
			// Guards against VMs that each admit a request although there are more VMs than tokens, and against a pool that is granted on top of the shares.
			const fleet = {vmCount, domainCount, ratePerS: 60};
			assertBound(t, {...fleet, durationMs: 12_000, demandPerS: spike(target, fleet)});
		});
	}
}

test('five times the rate stays within the bound while failure domains are cut off, VMs restart, freeze, die or are added', t => {
	// Guards against tokens that both sides of a cut spend, that a frozen or new owner grants beside another, and that restarted VMs issue again.
	const atArbitrary = fc.integer({min: 60, max: 220}).map(steps => steps * 25);
	const at = (value: number | undefined) => value === undefined ? [] : [value];
	fc.assert(fc.property(
		fc.constantFrom(24, 48),
		fc.constantFrom(3, 6),
		fc.constantFrom(20, 55, 200),
		fc.constantFrom(...Object.values(SpikeTarget)),
		fc.record({
			cut: atArbitrary, secondCut: atArbitrary, freeze: atArbitrary, death: atArbitrary, restart: atArbitrary, addition: atArbitrary,
		}, {requiredKeys: []}),
		// eslint-disable-next-line max-params
		(vmCount, domainCount, ratePerS, target, {cut, secondCut, freeze, death, restart, addition}) => {
			const fleet = {vmCount, domainCount, ratePerS};
			const {maxInWindow, bound} = simulateFleet({
				...fleet,
				durationMs: 12_000,
				demandPerS: spike(target, fleet),
				cutDomains: [...at(cut).map(fromMs => ({fromMs, untilMs: fromMs + 5000, domain: 0})), ...at(secondCut).map(fromMs => ({fromMs, untilMs: fromMs + 3000, domain: 1}))],
				frozen: at(freeze).map(fromMs => ({fromMs, untilMs: fromMs + 3000, vm: {ownerOfDomain: 0}})),
				deaths: at(death).map(atMs => ({atMs, vm: {ownerOfDomain: 2}})),
				restarts: at(restart).map(atMs => ({atMs, vm: 1})),
				added: addition === undefined ? undefined : {atMs: addition, count: 3},
			});
			return maxInWindow <= bound;
		},
	), {numRuns: 100, seed: 5});
	t.pass();
});

test('five times the rate stays within the bound when all VMs restart', t => {
	// Guards against tokens that were used up before the restart and are issued again after it.
	for (const ratePerS of [20, 55, 200]) {
		const fleet = {vmCount: 24, domainCount: 6, ratePerS};
		assertBound(t, {
			...fleet, durationMs: 12_000, demandPerS: spike(SpikeTarget.allVms, fleet), restarts: Array.from({length: 24}, (_, vm) => ({atMs: 5000, vm})),
		});
	}
});

/** A workspace at 0.8 of its rate with random demand at 94 VMs, for 20 s. */
function belowRate(seed: number): FleetScenario {
	return {
		vmCount: 94, domainCount: 6, ratePerS: 60, durationMs: 20_000, demandPerS: () => 60 * 0.8 / 94, sampleCount: poisson(seed),
	};
}

test('a workspace below its rate is admitted to 97 % while the owner of a pool is frozen for 3 s', t => {
	// Guards against VMs that have nothing left to use while the owner of their pool does not reply.
	const refused = refusedFraction(simulateFleet({...belowRate(3), frozen: [{fromMs: 5000, untilMs: 8000, vm: {ownerOfDomain: 0}}]}));
	t.true(refused <= 0.03, `${refused} refused`);
});

test('a workspace below its rate is admitted to 97 % while the owner of a pool dies', t => {
	// Guards against a pool that stays without an owner.
	const refused = refusedFraction(simulateFleet({...belowRate(3), deaths: [{atMs: 6000, vm: {ownerOfDomain: 1}}]}));
	t.true(refused <= 0.03, `${refused} refused`);
});

test('a workspace below its rate is admitted to 97 % while a failure domain is cut off for 8 s', t => {
	// Guards against a domain whose VMs reserve most of their tokens for the others.
	const refused = refusedFraction(simulateFleet({...belowRate(4), cutDomains: [{fromMs: 5000, untilMs: 13_000, domain: 2}]}));
	t.true(refused <= 0.03, `${refused} refused`);
});

test('VMs whose shares are many requests pool nothing and ask nobody', t => {
	// Guards against datagrams in small fleets, whose VMs have enough tokens of their own.
	t.is(pooledFraction(40), 0);
	t.is(pooledFraction(0.5), 1);
	const outcome = simulateFleet({
		vmCount: 8, domainCount: 3, ratePerS: 300, durationMs: 5000, demandPerS: () => 300 * 0.8 / 8,
	});
	t.is(outcome.askedCount + outcome.grantReportCount, 0);
});

test('the owner of a pool is a ready VM, and a new owner grants nothing for the longest propagation time', t => {
	// Guards against two owners that grant the same tokens one after the other.
	const owners = new PoolOwners('a1');
	owners.update({alive: ['a1', 'a2'], ready: ['a1'], readyElsewhere: []}, ['acme'], 0);
	t.is(owners.ownerOf('acme'), 'a1');
	t.false(owners.mayGrant('acme', 1000));
	t.true(owners.mayGrant('acme', 1250));
	owners.update({alive: ['a1', 'a2'], ready: ['a2'], readyElsewhere: []}, ['acme'], 2000);
	t.is(owners.ownerOf('acme'), 'a2');
	t.false(owners.mayGrant('acme', 9000));
	owners.update(noPoolMembers, ['acme'], 3000);
	t.is(owners.ownerOf('acme'), undefined);
	t.false(owners.isUsable('acme', 3000));
});

test('an owner that did not reply is not asked until its suspension ends', t => {
	// Guards against requests that each wait for a frozen owner.
	const owners = new PoolOwners('a1');
	owners.update({alive: ['a1', 'a2'], ready: ['a2'], readyElsewhere: []}, ['acme'], 0);
	t.false(owners.isUsable('acme', 1000));
	t.true(owners.isUsable('acme', 1250));
	owners.suspend('a2', 3000);
	t.false(owners.isUsable('acme', 2999));
	t.true(owners.isUsable('acme', 3000));
});
