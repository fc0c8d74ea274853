import test from 'ava';
import fc from 'fast-check';
import {route, workspace} from '../testing/fixtures.js';
import {assumeWork, isMeasured, regionParts} from './region-demand.js';
import {largestStep, RegionSteering} from './region-steering.js';
import {WeightedTurns} from './weighted-turns.js';
import {workShares} from './work-shares.js';

const load = (demandSlots: number, slots: number, boundSlots = 0) => ({demandSlots, slots, boundSlots});

test('a region whose callers need more than its slots moves the excess to regions with room', t => {
	// Plays a region with a sixth of the servers and a third of the callers.
	const parts = regionParts('small', new Map([['small', load(24, 16)], ['large', load(20, 48)], ['middle', load(22, 32)]]));
	const moved = [...parts.values()].reduce((sum, part) => sum + part, 0);
	t.true(Math.abs(moved - ((24 - (16 * 0.6)) / 24)) < 0.01, `${moved}`);
	t.true(parts.get('large')! > parts.get('middle')!);
});

test('what has to run in a region goes before callers that may leave it', t => {
	// Plays a region with few servers that is the home of a large workspace with callers in all regions: its other callers leave.
	const regions = new Map([['small', load(10, 12, 16)], ['large', load(20, 48)], ['middle', load(22, 36)]]);
	const moved = [...regionParts('small', regions).values()].reduce((sum, part) => sum + part, 0);
	t.true(moved > 0.99, `${moved}`);
	t.is(regionParts('large', regions).size, 0);
	t.is(regionParts('large', new Map([['small', load(1, 12, 9)], ['large', load(47, 48)]])).size, 0, 'no guests where the bound work has the slots');
});

test('before work was measured, regions with few servers are taken to have as many callers as others', t => {
	// Guards against a first minute in which a small region refuses what others could run.
	const shares = workShares({
		service: 'stock', routes: [route()], workspaces: [workspace('acme')], regions: ['small', 'large', 'middle'],
	});
	const assumed = assumeWork(new Map([['small', load(0, 16)], ['large', load(0, 48)], ['middle', load(0, 32)]]), shares);
	t.true((regionParts('small', assumed).get('large') ?? 0) > 0.1);
	t.is(regionParts('large', assumed).size, 0);
	t.false(isMeasured(new Map([['small', load(0, 16)], ['large', load(0, 48)]])));
	t.true(isMeasured(new Map([['small', load(3, 16)], ['large', load(0, 48)]])));
});

test('before work was measured, large workspaces bound to a small region leave no room for its other callers', t => {
	// Guards against a first second in which callers without homes fill the two servers of a region that workspaces with 5 of 8
	// parts of the rates are bound to: the region's requests then changed their region by 38 in 100.
	const shares = workShares({
		service: 'stock',
		routes: [route(), route({name: 'photos', parts: [{service: 'photos', weight: 1}], homeRegions: ['large']})],
		workspaces: [workspace('bound', {ratePerS: 50, homeRegions: ['small']}), workspace('free', {ratePerS: 30})],
		regions: ['small', 'large', 'middle'],
	});
	t.is(shares.bound.get('small'), 0.625);
	t.is(shares.bound.get('large'), undefined);
	const loads = new Map([['small', load(0, 12)], ['large', load(0, 48)], ['middle', load(0, 48)]]);
	const moved = [...regionParts('small', assumeWork(loads, shares)).values()].reduce((sum, part) => sum + part, 0);
	t.true(moved > 0.99, `${moved}`);
});

test('shares of work follow the weights of split routes and the homes that are near', t => {
	const shares = workShares({
		service: 'stock',
		routes: [route({parts: [{service: 'stock', weight: 25}, {service: 'photos', weight: 75}], isOpen: true}), route({name: 'both', homeRegions: ['small', 'large']})],
		workspaces: [workspace('acme')],
		regions: ['small', 'large', 'middle'],
	});
	// The open route has a quarter of its requests here; callers in `middle` use the first home of the other one.
	t.is(shares.free.get('middle')!.toFixed(3), (0.25 / 3.75).toFixed(3));
	t.is(shares.bound.get('small')!.toFixed(3), (2 / 3.75).toFixed(3));
	t.is(shares.bound.get('large')!.toFixed(3), (1 / 3.75).toFixed(3));
});

test('regions without room take nothing, and nothing moves without need', t => {
	t.is(regionParts('a', new Map([['a', load(30, 16)], ['b', load(16, 16)]])).size, 0);
	t.is(regionParts('a', new Map([['a', load(5, 16)], ['b', load(0, 16)]])).size, 0);
	t.is(regionParts('a', new Map()).size, 0);
});

test('no more moves than all other regions can take', t => {
	fc.assert(fc.property(fc.array(fc.tuple(fc.double({min: 0, max: 100, noNaN: true}), fc.integer({min: 0, max: 60})), {minLength: 2, maxLength: 6}), loads => {
		const regions = new Map(loads.map(([demand, slots], index) => [`r${index}`, load(demand, slots)]));
		for (const [name, {demandSlots, slots}] of regions) {
			let arriving = 0;
			for (const [other, {demandSlots: otherDemand}] of regions) {
				arriving += (regionParts(other, regions).get(name) ?? 0) * otherDemand;
			}

			if (arriving > Math.max(0, (slots * 0.8) - demandSlots) + 1e-6) {
				return false;
			}
		}

		return true;
	}));
	t.pass();
});

test('the part of requests that changes the region between two windows stays under the limit', t => {
	// Guards against moving traffic faster than the receiving region's caches can follow.
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

test('a fleet that starts is at its targets when the first callers come', t => {
	// Guards against a small region that keeps its callers for the first ten seconds, as servers register only after its VMs.
	const steering = new RegionSteering('small');
	steering.update(new Map([['large', 0.1]]), largestStep({isMeasured: false, shiftMost: 0.15, elapsedMs: 500}));
	steering.update(new Map([['large', 0.4], ['middle', 0.2]]), largestStep({isMeasured: false, shiftMost: 0.15, elapsedMs: 500}));
	t.is(steering.movedPart.toFixed(3), '0.600');
	steering.update(new Map([['large', 0.8], ['middle', 0.2]]), largestStep({isMeasured: true, shiftMost: 0.15, elapsedMs: 500}));
	t.true(steering.movedPart <= 0.6 + (0.15 / 4), `${steering.movedPart}`);
});

test('an object keeps to one region while that region is not ahead of its part', t => {
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

test('parts of a route keep their weights over any sequence', t => {
	const turns = new WeightedTurns([{service: 'a', weight: 90}, {service: 'b', weight: 10}]);
	const counts: Record<string, number> = {a: 0, b: 0};
	for (let request = 0; request < 50; request++) {
		counts[turns.next()]++;
	}

	t.deepEqual(counts, {a: 45, b: 5});
});
