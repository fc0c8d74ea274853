import test from 'ava';
import fc from 'fast-check';
import {route, workspace} from '../testing/fixtures.js';
import {assumeDemand, hasMeasuredDemand, offloadFractions} from './region-demand.js';
import {maxFractionChange, RegionSteering} from './region-steering.js';
import {WeightedRoundRobin} from './weighted-round-robin.js';
import {demandShares} from './demand-shares.js';

const load = (unboundSlots: number, slots: number, boundSlots = 0) => ({unboundSlots, slots, boundSlots});

test('a region whose callers need more than its slots shifts the excess to regions with spare slots', t => {
	// A region with a sixth of the servers and a third of the callers.
	const fractions = offloadFractions('small', new Map([['small', load(24, 16)], ['large', load(20, 48)], ['middle', load(22, 32)]]));
	const shifted = [...fractions.values()].reduce((sum, fraction) => sum + fraction, 0);
	t.true(Math.abs(shifted - ((24 - (16 * 0.6)) / 24)) < 0.01, `${shifted}`);
	t.true(fractions.get('large')! > fractions.get('middle')!);
});

test('demand bound to a region takes precedence over callers that may leave it', t => {
	// A region with few servers that is the home of a large workspace with callers in all regions: its other callers are shifted to other regions.
	const regions = new Map([['small', load(10, 12, 16)], ['large', load(20, 48)], ['middle', load(22, 36)]]);
	const shifted = [...offloadFractions('small', regions).values()].reduce((sum, fraction) => sum + fraction, 0);
	t.true(shifted > 0.99, `${shifted}`);
	t.is(offloadFractions('large', regions).size, 0);
	t.is(offloadFractions('large', new Map([['small', load(1, 12, 9)], ['large', load(47, 48)]])).size, 0, 'no callers of other regions where bound demand takes the slots');
});

test('before demand is measured, regions with few servers are assumed to have as many callers as others', t => {
	// Guards against a small region that refuses, in its first minute, requests that other regions could run.
	const shares = demandShares({
		service: 'stock', routes: [route()], workspaces: [workspace('acme')], regions: ['small', 'large', 'middle'],
	});
	const assumed = assumeDemand(new Map([['small', load(0, 16)], ['large', load(0, 48)], ['middle', load(0, 32)]]), shares);
	t.true((offloadFractions('small', assumed).get('large') ?? 0) > 0.1);
	t.is(offloadFractions('large', assumed).size, 0);
	t.false(hasMeasuredDemand(new Map([['small', load(0, 16)], ['large', load(0, 48)]])));
	t.true(hasMeasuredDemand(new Map([['small', load(3, 16)], ['large', load(0, 48)]])));
});

test('before demand is measured, large workspaces bound to a small region leave no slots for its other callers', t => {
	// Guards against a first second in which unbound callers fill the two servers of a region to which workspaces with 5/8 of
	// the total rate are bound: 38 in 100 of the region's requests were then shifted to another region.
	const shares = demandShares({
		service: 'stock',
		routes: [route(), route({name: 'photos', parts: [{service: 'photos', weight: 1}], homeRegions: ['large']})],
		workspaces: [workspace('bound', {ratePerS: 50, homeRegions: ['small']}), workspace('free', {ratePerS: 30})],
		regions: ['small', 'large', 'middle'],
	});
	t.is(shares.bound.get('small'), 0.625);
	t.is(shares.bound.get('large'), undefined);
	const loads = new Map([['small', load(0, 12)], ['large', load(0, 48)], ['middle', load(0, 48)]]);
	const shifted = [...offloadFractions('small', assumeDemand(loads, shares)).values()].reduce((sum, fraction) => sum + fraction, 0);
	t.true(shifted > 0.99, `${shifted}`);
});

test('demand shares follow the weights of split routes and the home region of each caller', t => {
	const shares = demandShares({
		service: 'stock',
		routes: [route({parts: [{service: 'stock', weight: 25}, {service: 'photos', weight: 75}], isOpen: true}), route({name: 'both', homeRegions: ['small', 'large']})],
		workspaces: [workspace('acme')],
		regions: ['small', 'large', 'middle'],
	});
	// The open route sends a quarter of its requests to this service; callers in `middle` use the first home region of the other route.
	t.is(shares.unbound.get('middle')!.toFixed(3), (0.25 / 3.75).toFixed(3));
	t.is(shares.bound.get('small')!.toFixed(3), (2 / 3.75).toFixed(3));
	t.is(shares.bound.get('large')!.toFixed(3), (1 / 3.75).toFixed(3));
});

test('regions without spare slots accept no callers of other regions, and nothing is shifted without an excess', t => {
	t.is(offloadFractions('a', new Map([['a', load(30, 16)], ['b', load(16, 16)]])).size, 0);
	t.is(offloadFractions('a', new Map([['a', load(5, 16)], ['b', load(0, 16)]])).size, 0);
	t.is(offloadFractions('a', new Map()).size, 0);
});

test('no more demand is shifted than the other regions have spare slots for', t => {
	fc.assert(fc.property(fc.array(fc.tuple(fc.double({min: 0, max: 100, noNaN: true}), fc.integer({min: 0, max: 60})), {minLength: 2, maxLength: 6}), loads => {
		const regions = new Map(loads.map(([demand, slots], index) => [`r${index}`, load(demand, slots)]));
		for (const [name, {unboundSlots, slots}] of regions) {
			let arriving = 0;
			for (const [other, {unboundSlots: otherDemand}] of regions) {
				arriving += (offloadFractions(other, regions).get(name) ?? 0) * otherDemand;
			}

			if (arriving > Math.max(0, (slots * 0.8) - unboundSlots) + 1e-6) {
				return false;
			}
		}

		return true;
	}));
	t.pass();
});

test('the fraction of requests that change their region between two windows stays below the limit', t => {
	// Guards against shifting traffic faster than the caches of the receiving region can warm up.
	const limit = 0.15;
	fc.assert(fc.property(fc.array(fc.record({a: fc.double({min: 0, max: 0.5, noNaN: true}), b: fc.double({min: 0, max: 0.5, noNaN: true})}), {minLength: 10, maxLength: 30}), fc.infiniteStream(fc.double({min: 0, max: 0.999, noNaN: true})), (targets, fractions) => {
		const steering = new RegionSteering('own');
		const perHalfSecond = 25;
		const windows: Array<Record<string, number>> = [];
		for (const [step, target] of targets.entries()) {
			steering.update(new Map(Object.entries(target)), limit * 0.5 / 4);
			if (step % 4 === 0) {
				windows.push({own: 0, a: 0, b: 0});
			}

			for (let request = 0; request < perHalfSecond; request++) {
				windows.at(-1)![steering.next(fractions.next().value as number)]++;
			}
		}

		return windows.slice(1, -1).every((window, index) => {
			const before = windows[index];
			const changed = Object.keys(window).reduce((sum, region) => sum + Math.max(0, window[region] - before[region]), 0);
			return changed / (perHalfSecond * 4) <= limit;
		});
	}), {numRuns: 50});
	t.pass();
});

test('a starting fleet reaches its targets before the first callers arrive', t => {
	// Guards against a small region that keeps its callers for the first ten seconds, because servers register only after its VMs started.
	const steering = new RegionSteering('small');
	steering.update(new Map([['large', 0.1]]), maxFractionChange({isMeasured: false, shiftMost: 0.15, elapsedMs: 500}));
	steering.update(new Map([['large', 0.4], ['middle', 0.2]]), maxFractionChange({isMeasured: false, shiftMost: 0.15, elapsedMs: 500}));
	t.is(steering.shiftedFraction.toFixed(3), '0.600');
	steering.update(new Map([['large', 0.8], ['middle', 0.2]]), maxFractionChange({isMeasured: true, shiftMost: 0.15, elapsedMs: 500}));
	t.true(steering.shiftedFraction <= 0.6 + (0.15 / 4), `${steering.shiftedFraction}`);
});

test('an object stays in one region while that region is not ahead of its fraction', t => {
	const steering = new RegionSteering('own');
	steering.update(new Map([['a', 0.4]]), 1);
	const fractions = [0.1, 0.9, 0.5, 0.3, 0.7];
	let kept = 0;
	for (let round = 0; round < 100; round++) {
		for (const fraction of fractions) {
			kept += steering.next(fraction) === (fraction < 0.4 ? 'a' : 'own') ? 1 : 0;
		}
	}

	t.true(kept >= 495, `${kept} of 500`);
});

test('services of a split route get requests in proportion to their weights', t => {
	const roundRobin = new WeightedRoundRobin([{service: 'a', weight: 90}, {service: 'b', weight: 10}]);
	const counts: Record<string, number> = {a: 0, b: 0};
	for (let request = 0; request < 50; request++) {
		counts[roundRobin.next()]++;
	}

	t.deepEqual(counts, {a: 45, b: 5});
});
