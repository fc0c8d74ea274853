import test from 'ava';
import {ManualTimerService} from '@fescuewick/core';
import {ShareKind} from '@fescuewick/wire';
import {Fleet} from '../simulation/fleet.js';
import {bucketOf} from '../settings.js';

const rate = {ratePerS: 100, burst: 50};
const stepMs = 50;
const bucket = bucketOf(ShareKind.rate, 'w');

function setUp(domains: Record<string, number>) {
	const timers = new ManualTimerService();
	const fleet = new Fleet({timers, domains, settings: {revision: 1, rates: new Map([['w', rate]]), servers: new Map()}});
	/** Sends 160 requests/s to each VM, which is 1.6 times the rate; returns the granted total as a fraction of the rate. */
	const sendDemand = async (vms: readonly string[], durationMs: number) => {
		let taken = 0;
		for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += stepMs) {
			await timers.advance(stepMs);
			for (const vm of vms) {
				for (let count = 0; count < 8; count++) {
					taken += fleet.take(vm, 'w') ? 1 : 0;
				}
			}
		}

		return taken / (rate.ratePerS * durationMs / 1000);
	};

	const allocatorOf = (domain: string) => [...fleet.vms.values()].find(node => node.domain === domain && node.leased!.buckets.includes(bucket))!.vm;
	return {fleet, sendDemand, allocatorOf};
}

// Guards against demand that moves during a store outage and is limited to the slice of its new domain.
test('loans follow demand while the store is down, and slices when it is back', async t => {
	const {fleet, sendDemand} = setUp({a: 1, b: 1, c: 1});
	await sendDemand(['a-0'], 15_000);
	fleet.store.faults.down = true;
	await sendDemand(['b-0'], 5000);
	t.true(await sendDemand(['b-0'], 5000) >= 0.9);
	await sendDemand(['c-0'], 5000);
	t.true(await sendDemand(['c-0'], 5000) >= 0.8);
	await sendDemand(['a-0'], 5000);
	t.true(await sendDemand(['a-0'], 5000) >= 0.9);
	await sendDemand(['b-0'], 5000);
	fleet.store.faults.down = false;
	await sendDemand(['b-0'], 8000);
	const {receivedLoans} = fleet;
	t.true(await sendDemand(['b-0'], 5000) >= 0.9);
	t.is(fleet.receivedLoans, receivedLoans, 'no more loans');
	t.false(fleet.checks.get('w')!.isViolated);
});

// Guards against a lender's successor that reads the whole slice from the store and uses it while a part is on loan.
test('a successor of a lender waits until unknown loans have ended', async t => {
	const {fleet, sendDemand, allocatorOf} = setUp({a: 2, b: 1});
	await sendDemand(['a-0', 'a-1'], 15_000);
	fleet.store.faults.down = true;
	await sendDemand(['b-0'], 8000);
	fleet.hub.cut('a', 'b');
	fleet.cutDomains.add('b');
	fleet.store.faults.down = false;
	fleet.kill(allocatorOf('a'));
	const survivor = [...fleet.vms.keys()].find(vm => vm.startsWith('a-'))!;
	t.true(await sendDemand([survivor, 'b-0'], 3500) >= 0.8, 'the loan is in use');
	fleet.vms.get('b-0')!.control.pause();
	await sendDemand([survivor, 'b-0'], 8000);
	t.true(await sendDemand([survivor], 5000) >= 0.9);
	t.false(fleet.checks.get('w')!.isViolated, `worst window has ${fleet.checks.get('w')!.maxExcess} tokens beyond the rate`);
});

// Guards against a borrower's successor that extends grants made from a loan after the lender uses the quota again.
test('a successor of a borrower extends no grant beyond the end of the loan', async t => {
	const {fleet, sendDemand, allocatorOf} = setUp({a: 1, b: 2});
	await sendDemand(['a-0'], 15_000);
	fleet.store.faults.down = true;
	await sendDemand(['b-0', 'b-1'], 8000);
	fleet.hub.cut('a', 'b');
	await sendDemand(['a-0', 'b-0', 'b-1'], 3500);
	fleet.kill(allocatorOf('b'));
	const survivor = [...fleet.vms.keys()].find(vm => vm.startsWith('b-'))!;
	t.true(await sendDemand([survivor], 2000) >= 0.3, 'the loan is in use');
	await sendDemand(['a-0', survivor], 2000);
	// The successor pauses before it can recall the loan's quota from its holders.
	fleet.vms.get(survivor)!.control.pause();
	await sendDemand(['a-0', survivor], 10_000);
	t.true(await sendDemand(['a-0'], 5000) >= 0.9);
	await sendDemand(['a-0', survivor], 5000);
	t.false(fleet.checks.get('w')!.isViolated, `worst window has ${fleet.checks.get('w')!.maxExcess} tokens beyond the rate`);
});
