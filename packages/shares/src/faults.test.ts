import test, {type ExecutionContext} from 'ava';
import {ManualTimerService, rendezvousOrder} from '@fescuewick/core';
import {ShareKind} from '@fescuewick/wire';
import {FaultKind, startFault} from './simulation/faults.js';
import {Fleet} from './simulation/fleet.js';
import {type SliceObject} from './slices/slice-object.js';
import {allocatorKey, bucketOf} from './settings.js';

const total = {ratePerS: 100, burst: 50};
/** Minimum used fraction of the worst-served workspace, from the design page. */
const minUsedFraction = 0.95;

function setUp(domains: Record<string, number>) {
	const timers = new ManualTimerService();
	const fleet = new Fleet({timers, domains, settings: {revision: 1, rates: new Map([['w', total]]), servers: new Map([['s', {slots: 8, connections: 40}]])}});
	return {timers, fleet};
}

/** Takes all tokens granted to the given VMs; returns the tokens taken as a fraction of rate × time. */
async function takeAll({timers, fleet}: ReturnType<typeof setUp>, durationMs: number, vms?: string[]): Promise<number> {
	let taken = 0;
	for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 50) {
		await timers.advance(50);
		for (const vm of vms ?? fleet.vms.keys()) {
			for (let count = 0; count < 20 && fleet.take(vm, 'w'); count++) {
				taken++;
			}
		}
	}

	return taken / (total.ratePerS * durationMs / 1000);
}

async function slicesOf(fleet: Fleet): Promise<SliceObject['workspaces'][string]> {
	const stored = await fleet.store.read(`rates/${bucketOf(ShareKind.rate, 'w')}`);
	return (stored!.value as SliceObject).workspaces.w;
}

function assertBounds(t: ExecutionContext, fleet: Fleet): void {
	t.false(fleet.checks.get('w')!.isViolated, `worst window has ${fleet.checks.get('w')!.maxExcess} tokens beyond the rate`);
	for (const domain of ['a', 'b']) {
		t.true(fleet.slotsHeld('s', domain) <= 8);
	}
}

function allocators(fleet: Fleet, domain: string, bucket: number): string[] {
	return [...fleet.vms.values()].filter(node => node.domain === domain && node.leased!.buckets.includes(bucket)).map(({vm}) => vm);
}

const bucket = bucketOf(ShareKind.rate, 'w');

// Guards against quota that is created or lost when the answer to any one store write is lost, including the first division.
test('a lost answer to any write neither loses nor creates rate', async t => {
	for (let write = 1; write <= 16; write++) {
		const run = setUp({a: 1, b: 1, c: 1});
		const {fleet} = run;
		const original = fleet.store.write.bind(fleet.store);
		let writes = 0;
		fleet.store.write = async (key, value, version) => {
			fleet.store.faults.loseAnswers = ++writes === write ? 1 : 0;
			return original(key, value, version);
		};

		await takeAll(run, 12_000);
		await takeAll(run, 12_000, ['c-0']);
		assertBounds(t, fleet);
		const {free, slices} = await slicesOf(fleet);
		const sum = Object.values(slices).map(({ratePerS}) => ratePerS);
		t.true(Math.abs(sum.reduce((a, b) => a + b, free.ratePerS) - total.ratePerS) < 1e-6);
	}
});

// Guards against shares that expire, or exceed the rate, while the store is down, slow or silent.
test('shares continue through an outage of the store', async t => {
	for (const kind of [FaultKind.storeDown, FaultKind.storeSlow, FaultKind.storeSilent]) {
		const run = setUp({a: 2, b: 2});
		await takeAll(run, 20_000);
		startFault(run.fleet, run.timers, {
			kind, selector: 0, afterMs: 0, durationMs: 20_000,
		});
		t.true(await takeAll(run, 20_000) >= minUsedFraction, kind);
		t.true(await takeAll(run, 10_000) >= minUsedFraction, `after ${kind}`);
		assertBounds(t, run.fleet);
	}
});

// Guards against shares that are lost or granted twice when the allocator dies.
test('a successor extends shares when the allocator dies, with and without the store', async t => {
	for (const isStoreDown of [false, true]) {
		const run = setUp({a: 3});
		const {fleet} = run;
		await takeAll(run, 20_000);
		fleet.store.faults.down = isStoreDown;
		const [dead] = allocators(fleet, 'a', bucket);
		fleet.kill(dead);
		const survivors = [...fleet.vms.keys()];
		// Two of three equal shares remain usable until the third expires.
		t.true(await takeAll(run, 5000, survivors) >= minUsedFraction * 2 / 3, 'right after the death');
		await takeAll(run, 10_000, survivors);
		t.true(await takeAll(run, 10_000, survivors) >= (isStoreDown ? minUsedFraction * 2 / 3 : minUsedFraction), 'after the takeover');
		fleet.store.faults.down = false;
		await takeAll(run, 15_000, survivors);
		t.true(await takeAll(run, 10_000, survivors) >= minUsedFraction, 'with the store');
		assertBounds(t, fleet);
	}
});

// Guards against a paused allocator that resumes and keeps granting beside its successor.
test('a paused allocator steps down when it resumes', async t => {
	const run = setUp({a: 3});
	const {fleet, timers} = run;
	await takeAll(run, 20_000);
	const [paused] = allocators(fleet, 'a', bucket);
	startFault(fleet, timers, {
		kind: FaultKind.pauseControl, selector: [...fleet.vms.keys()].indexOf(paused), afterMs: 0, durationMs: 9000,
	});
	await takeAll(run, 30_000);
	t.is(allocators(fleet, 'a', bucket).length, 1);
	t.true(await takeAll(run, 5000) >= minUsedFraction);
	assertBounds(t, fleet);
});

// Guards against an allocator that grants from its old accounts after a pause, before it can learn of a successor.
test('right after a pause an allocator grants nothing new', async t => {
	const {fleet, timers} = setUp({a: 1});
	await timers.advance(10_000);
	const node = fleet.vms.get('a-0')!;
	const sendRequest = async () => {
		const answer = node.service.request({
			holder: 'other', epoch: 0, demands: [{
				kind: ShareKind.rate, resource: 'w', wanted: 50, tokens: 0,
			}],
		});
		await timers.advance(50);
		return answer;
	};

	const before = await sendRequest();
	t.is(before.grants.length, 1);
	node.control.pause();
	await timers.advance(2000);
	node.control.resume();
	const after = await sendRequest();
	t.is(after.grants.length, 0);
	await timers.advance(5000);
	const later = await sendRequest();
	t.true(later.epoch > before.epoch);
});

// Guards against two allocators that grant the same slice because their lists of live VMs differ.
test('of two allocators with differing views, one remains', async t => {
	const run = setUp({a: 3});
	const {fleet} = run;
	await takeAll(run, 20_000);
	const [current] = allocators(fleet, 'a', bucket);
	const other = [...fleet.vms.keys()].find(vm => vm !== current)!;
	fleet.hidePeers(other, 8000);
	await takeAll(run, 25_000);
	t.is(allocators(fleet, 'a', bucket).length, 1);
	t.true(await takeAll(run, 5000) >= minUsedFraction);
	assertBounds(t, fleet);
});

// Guards against a joining VM that takes over buckets and then grants nothing until earlier grants have expired.
test('a bucket stays with its allocator when a VM joins, with and without the store', async t => {
	for (const isStoreDown of [false, true]) {
		const run = setUp({a: 3});
		const {fleet} = run;
		const [joiner] = rendezvousOrder(allocatorKey(bucket), fleet.vms.keys());
		fleet.kill(joiner);
		await takeAll(run, 20_000);
		const before = allocators(fleet, 'a', bucket);
		fleet.store.faults.down = isStoreDown;
		fleet.add(joiner, 'a');
		t.true(await takeAll(run, 4000, [joiner]) > 0, 'the VM that joined has a share');
		t.deepEqual(allocators(fleet, 'a', bucket), before);
		assertBounds(t, fleet);
	}
});

// Guards against the slice of a cut-off domain being granted to others, and against the domain losing its shares.
test('a domain that is cut off keeps its slice and uses it', async t => {
	const run = setUp({a: 2, b: 2});
	const {fleet, timers} = run;
	await takeAll(run, 20_000);
	const before = await slicesOf(fleet);
	startFault(fleet, timers, {
		kind: FaultKind.cutDomain, selector: 0, afterMs: 0, durationMs: 30_000,
	});
	const used = await takeAll(run, 20_000, ['a-0', 'a-1']);
	t.true(used >= minUsedFraction * before.slices.a.ratePerS / total.ratePerS);
	await takeAll(run, 5000, ['b-0', 'b-1']);
	const after = await slicesOf(fleet);
	t.is(after.slices.a.ratePerS, before.slices.a.ratePerS);
	assertBounds(t, fleet);
});

// Guards against slices that stay at the size of an earlier, higher rate.
test('a lowered rate is in force within 10 s', async t => {
	const run = setUp({a: 2, b: 2});
	const {fleet} = run;
	await takeAll(run, 20_000);
	fleet.settings = {...fleet.settings, revision: 2, rates: new Map([['w', {ratePerS: 20, burst: 10}]])};
	await takeAll(run, 10_000);
	t.true(await takeAll(run, 10_000) <= ((20 * 10) + 10) / (total.ratePerS * 10));
	const {free, slices} = await slicesOf(fleet);
	t.true(free.ratePerS >= -1e-9);
	t.true(Object.values(slices).every(({ratePerS}) => ratePerS <= 20));
});

// Guards against tokens that are granted twice when an answer to an entry daemon is lost.
test('lost answers to holders do not double a grant', async t => {
	const run = setUp({a: 2});
	await takeAll(run, 10_000);
	for (let round = 0; round < 10; round++) {
		run.fleet.loseAnswers = 1;
		run.fleet.hub.loseAnswers = round % 2;
		await takeAll(run, 1700);
	}

	assertBounds(t, run.fleet);
	t.true(await takeAll(run, 10_000) >= minUsedFraction);
});

// Guards against a VM with all the demand that gets only an equal share, and against idle VMs that cannot serve a first request.
test('one VM with all the demand gets all slots but one, and an idle VM keeps one', async t => {
	const run = setUp({a: 2});
	const {fleet, timers} = run;
	await timers.advance(8000);
	for (let elapsedMs = 0; elapsedMs < 10_000; elapsedMs += 100) {
		const {holder} = fleet.vms.get('a-0')!;
		holder.setQueued('s', 10);
		holder.acquireSlot('s');
		await timers.advance(100);
	}

	t.is(fleet.vms.get('a-0')!.holder.slotsOf('s').slots, 7);
	t.is(fleet.vms.get('a-1')!.holder.slotsOf('s').slots, 1);
});

// Guards against a planned stop that suspends new grants for one grant lifetime, and against a successor that uses accounts although another VM has granted since.
test('a planned stop hands the bucket over without a wait, with and without the store', async t => {
	for (const isStoreDown of [false, true]) {
		const run = setUp({a: 3});
		const {fleet, timers} = run;
		// Between two renewals, so that the remaining VMs get the freed share from the successor.
		await takeAll(run, 20_300);
		fleet.store.faults.down = isStoreDown;
		const [stopping] = allocators(fleet, 'a', bucket);
		const node = fleet.vms.get(stopping)!;
		void node.holder.stop();
		await timers.advance(50);
		void node.leased!.stop();
		await timers.advance(100);
		fleet.kill(stopping);
		const survivors = [...fleet.vms.keys()];
		t.is(allocators(fleet, 'a', bucket).length, 1);
		// After two renewals the share of the stopped VM is in use, before its grants would have expired.
		await takeAll(run, 2500, survivors);
		t.true(await takeAll(run, 1500, survivors) >= minUsedFraction);
		await takeAll(run, 10_000, survivors);
		assertBounds(t, fleet);
	}
});

/** Describes each 50 ms step in which a VM has no share of the rate or no slot. */
async function interruptions({timers, fleet}: ReturnType<typeof setUp>, durationMs: number): Promise<string[]> {
	const found: string[] = [];
	for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 50) {
		await timers.advance(50);
		for (const {vm, holder} of fleet.vms.values()) {
			fleet.take(vm, 'w');
			if (!holder.hasShare('w') || holder.slotsOf('s').slots === 0) {
				found.push(`${vm} after ${elapsedMs} ms: share ${holder.hasShare('w')}, slots ${holder.slotsOf('s').slots}`);
			}
		}
	}

	return found;
}

// Guards against shares that expire although the control daemon that renews them is back: idle shares are renewed only every 2 s, and a new allocator extends no expired grant.
test('no share ends while a control daemon is down for less than 2 s, whenever it is killed', async t => {
	for (const vms of [1, 2]) {
		for (let phaseMs = 0; phaseMs < 2000; phaseMs += 250) {
			const run = setUp({a: vms, b: 1});
			const {fleet, timers} = run;
			await timers.advance(12_000 + phaseMs);
			fleet.restartControl(fleet.vms.get('a-0')!, 1400);
			t.deepEqual(await interruptions(run, 10_000), [], `${vms} VMs, killed at ${phaseMs} ms`);
			assertBounds(t, fleet);
		}
	}
});

// Guards against an allocator that treats an unknown list of servers as empty and ends all slots.
test('an allocator that does not know the list of servers yet extends slots, also after its takeover', async t => {
	for (const listDelayMs of [500, 8000]) {
		const run = setUp({a: 1, b: 1});
		const {fleet, timers} = run;
		await timers.advance(12_000);
		fleet.restartControl(fleet.vms.get('a-0')!, 300, listDelayMs);
		t.deepEqual(await interruptions(run, 12_000), [], `list after ${listDelayMs} ms`);
		assertBounds(t, fleet);
	}
});

/** Sends 1.6 times the rate to one VM; returns the granted fraction of the rate. */
async function sendDemand({timers, fleet}: ReturnType<typeof setUp>, durationMs: number, vm: string): Promise<number> {
	let taken = 0;
	for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 50) {
		await timers.advance(50);
		for (let count = 0; count < 8; count++) {
			taken += fleet.take(vm, 'w') ? 1 : 0;
		}
	}

	return taken / (total.ratePerS * durationMs / 1000);
}

// Guards against a slice that follows moved demand only at the regular store reads, and against more store calls than the budget.
test('a slice follows demand to another domain within 4 s, within the budget of store calls', async t => {
	const run = setUp({a: 1, b: 1, c: 1});
	const {fleet, timers} = run;
	await sendDemand(run, 20_000, 'a-0');
	const calls = () => fleet.store.calls.reads + fleet.store.calls.writes;
	const before = {calls: calls(), atMs: timers.nowMs()};
	await sendDemand(run, 4000, 'b-0');
	t.true(await sendDemand(run, 2000, 'b-0') >= 0.8);
	await sendDemand(run, 14_000, 'b-0');
	await sendDemand(run, 20_000, 'a-0');
	const perDomainPerS = (calls() - before.calls) * 1000 / (timers.nowMs() - before.atMs) / 3;
	// The budget is one read and one write per 0.9 s, including the reads for the bucket of the server.
	t.true(perDomainPerS <= 2 / 0.9, `${perDomainPerS} calls/s`);
	assertBounds(t, fleet);
});

// Guards against slices that follow demand only if messages between the domains arrive.
test('a slice follows demand through the store when the domains do not reach each other', async t => {
	const run = setUp({a: 1, b: 1});
	const {fleet} = run;
	await sendDemand(run, 20_000, 'a-0');
	fleet.hub.cut('a', 'b');
	await sendDemand(run, 8000, 'b-0');
	t.true(await sendDemand(run, 4000, 'b-0') >= 0.8);
	assertBounds(t, fleet);
});

// Guards against a bucket that has no allocator until shares expire: a VM that gives up a takeover leaves its claim in the store.
test('an allocator claims a bucket again at once when the store records an abandoned claim', async t => {
	for (const vms of [1, 2]) {
		const run = setUp({a: vms, b: 1});
		const {fleet, timers} = run;
		await takeAll(run, 12_000);
		const key = `rates/${bucket}`;
		const stored = await fleet.store.read(key);
		const {allocators: recorded, ...slices} = stored!.value as SliceObject;
		const abandonedClaim = {incarnation: 'given-up', epoch: recorded.a.epoch + 1};
		await fleet.store.write(key, {...slices, allocators: {...recorded, a: abandonedClaim}}, stored!.version);
		let absentMs = 0;
		for (let elapsedMs = 0; elapsedMs < 6000; elapsedMs += 50) {
			await timers.advance(50);
			absentMs += allocators(fleet, 'a', bucket).length === 0 ? 50 : 0;
		}

		t.true(absentMs <= 300, `no allocator for ${absentMs} ms`);
		const after = await fleet.store.read(key);
		t.true((after!.value as SliceObject).allocators.a.epoch > abandonedClaim.epoch);
		await takeAll(run, 5000);
		assertBounds(t, fleet);
	}
});
