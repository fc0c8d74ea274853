import test from 'ava';
import fc from 'fast-check';
import {ManualTimerService} from '@fescuewick/core';
import {type LoadEntry, type ShiftRequestBody} from '@fescuewick/wire';
import {maxMinFairShares} from './max-min-fair-shares.js';
import {grantOutstandingMs, grantLifetimeMs, ShiftGrantor} from './shift-grantor.js';

const service = 'booking';
const load = (loadPerS: number, overrides: Partial<LoadEntry> = {}): LoadEntry => ({
	service, failureDomain: 'oromia-1', region: 'oromia', capacityPerS: 1000, loadPerS, cold: false, bytesPerRequest: 1000, ageMs: 0, ...overrides,
});
const requestFrom = (fromRegion: string, wantedPerS: number, overrides: Partial<ShiftRequestBody> = {}): ShiftRequestBody => ({
	service, fromDomain: `${fromRegion}-1`, fromRegion, toDomain: 'oromia-1', wantedPerS, reservePerS: 0, movedPerS: 0, movedFraction: 0, demandPerS: 0, ...overrides,
});

function setUp(report: {value: LoadEntry | undefined}) {
	const timers = new ManualTimerService();
	return {timers, grantor: new ShiftGrantor({timers, load: () => report.value})};
}

// Guards against granting the same headroom to two home regions.
test('grants stay within the headroom and are divided fairly', async t => {
	const report = {value: load(500)};
	const {timers, grantor} = setUp(report);
	t.is(grantor.request(requestFrom('addis', 1000), 'addis-1/a', false).grantedPerS, 300);
	t.is(grantor.request(requestFrom('tigray', 1000), 'tigray-1/t', false).grantedPerS, 0);
	for (let second = 0; second < 40; second++) {
		await timers.advance(1000);
		grantor.request(requestFrom('addis', 1000), 'addis-1/a', false);
		grantor.request(requestFrom('tigray', 1000), 'tigray-1/t', false);
		t.true(grantor.outstandingPerS(service) <= 300);
	}

	t.is(grantor.request(requestFrom('addis', 1000), 'addis-1/a', false).grantedPerS, 150);
	t.is(grantor.request(requestFrom('tigray', 1000), 'tigray-1/t', false).grantedPerS, 150);
	// A reserve gets nothing while the wanted traffic of other regions exceeds the headroom.
	t.is(grantor.request(requestFrom('tigray', 20, {reservePerS: 500}), 'tigray-1/t', false).grantedPerS, 20);
});

// Guards against adding the grants of VMs of one failure domain, which shift the same blocks.
test('VMs that shift traffic of the same home region share one grant', t => {
	const {grantor} = setUp({value: load(500)});
	for (const vm of ['a', 'b', 'c']) {
		t.is(grantor.request(requestFrom('addis', 200), `addis-1/${vm}`, false).grantedPerS, 200);
	}

	t.is(grantor.outstandingPerS(service), 200);
	t.is(grantor.request(requestFrom('addis', 200, {movedFraction: 0.1, demandPerS: 700}), 'addis-1/d', false).movedFraction, 0);
	t.like(grantor.request(requestFrom('addis', 200), 'addis-1/e', false), {movedFraction: 0.1, demandPerS: 700});
});

// Guards against granting headroom based on cold caches or on measurements that no longer arrive.
test('cold capacity counts half, and old measurements allow no increase and then take grants back', async t => {
	const report = {value: load(500, {cold: true})};
	const {timers, grantor} = setUp(report);
	t.is(grantor.request(requestFrom('addis', 1000), 'a', false).grantedPerS, 150);
	report.value = load(100, {ageMs: 6000});
	t.is(grantor.request(requestFrom('addis', 1000), 'a', false).grantedPerS, 150);
	await timers.advance(1000);
	report.value = load(100, {ageMs: 45_000});
	t.is(grantor.request(requestFrom('addis', 1000), 'a', false).grantedPerS, 75);
	report.value = load(100, {ageMs: 60_000});
	t.is(grantor.request(requestFrom('addis', 1000), 'a', false).grantedPerS, 0);
});

// Guards against granting the same headroom again while cached answers still use it, including by a successor that has no record of the grant.
test('a grant counts until its answers have expired, and a new grantor only renews', async t => {
	const report = {value: load(500)};
	const {timers, grantor} = setUp(report);
	t.is(grantor.request(requestFrom('addis', 300), 'a', false).expiresInMs, grantLifetimeMs);
	await timers.advance(grantOutstandingMs - 1);
	t.is(grantor.request(requestFrom('tigray', 300), 't', false).grantedPerS, 0);
	await timers.advance(1);
	t.is(grantor.request(requestFrom('tigray', 300), 't', false).grantedPerS, 300);
	t.is(grantor.request(requestFrom('tigray', 100), 't', false).grantedPerS, 100);
	t.is(grantor.outstandingPerS(service), 300);
	await timers.advance(grantOutstandingMs);
	t.is(grantor.outstandingPerS(service), 0);
	const successor = setUp(report).grantor;
	t.is(successor.request(requestFrom('addis', 300), 'a', true).grantedPerS, 0);
	t.is(Math.round(successor.request(requestFrom('addis', 300, {movedPerS: 90}), 'a', true).grantedPerS), 100);
});

// Guards against counting shifted traffic twice, as load and as grant, so that it reduces its own grant.
test('shifted traffic that has arrived does not reduce its own grant, and an overload reduces grants once', async t => {
	const report = {value: load(500)};
	const {timers, grantor} = setUp(report);
	grantor.request(requestFrom('addis', 1000), 'a', false);
	report.value = load(770);
	await timers.advance(1000);
	t.is(grantor.request(requestFrom('addis', 1000, {movedPerS: 270}), 'a', false).grantedPerS, 300);
	t.is(grantor.request(requestFrom('addis', 1000, {movedPerS: 300}), 'a', false).grantedPerS, 330);
	report.value = load(900);
	t.is(grantor.request(requestFrom('addis', 1000, {movedPerS: 270}), 'a', false).grantedPerS, 230);
	await timers.advance(1000);
	t.is(grantor.request(requestFrom('addis', 1000, {movedPerS: 270}), 'a', false).grantedPerS, 230);
});

// Guards against sums of grants above the headroom in any order of requests, renewals and pauses.
test('outstanding grants never exceed the headroom while the load is constant', async t => {
	const request = fc.record({
		region: fc.constantFrom('addis', 'tigray', 'cairo'), vm: fc.constantFrom('a', 'b'), wanted: fc.integer({min: 0, max: 900}), waitMs: fc.integer({min: 0, max: 9000}),
	});
	await fc.assert(fc.asyncProperty(fc.integer({min: 0, max: 1000}), fc.array(request, {maxLength: 40}), async (ownPerS, requests) => {
		const {timers, grantor} = setUp({value: load(ownPerS)});
		for (const {region, vm, wanted, waitMs} of requests) {
			grantor.request(requestFrom(region, wanted), vm, false);
			if (grantor.outstandingPerS(service) > Math.max(0, 800 - ownPerS) + 1e-6) {
				return false;
			}

			await timers.advance(waitMs);
		}

		return true;
	}), {seed: 41, numRuns: 60});
	t.pass();
});

// Guards against a small demand that gets less than it wants while a larger one gets more.
test('max-min fair shares satisfy small demands first', t => {
	t.deepEqual([...maxMinFairShares(new Map([['a', 10], ['b', 100], ['c', 100]]), 90)], [['a', 10], ['b', 40], ['c', 40]]);
	t.deepEqual([...maxMinFairShares(new Map([['a', 10]]), -5)], [['a', 0]]);
});
