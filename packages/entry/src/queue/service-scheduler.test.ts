import test from 'ava';
import {createSilentLogger, ManualTimerService, type FescuewickError} from '@fescuewick/core';
import {type BackendLease, BackendPool} from '../backends/backend-pool.js';
import {SlotGrants} from '../limits/slot-grants.js';
import {seededRandom} from '../testing/deployment.js';
import {ServiceScheduler, type SlotRequest} from './service-scheduler.js';

class FixedSlotGrants extends SlotGrants {
	granted = 4;
	slots(): number {
		return this.granted;
	}

	connections(): number {
		return 100;
	}
}

function setup() {
	const timers = new ManualTimerService();
	const slotGrants = new FixedSlotGrants();
	const pool: BackendPool = new BackendPool({
		service: 'booking', timers, logger: createSilentLogger(), slotGrants, random: seededRandom(3), connectTimeoutMs: 1000, onCapacityFreed() {
			scheduler.dispatch();
		},
	});
	pool.applyRecords([{
		server: 's', service: 'booking', failureDomain: 'a', region: 'r', address: '127.0.0.1:1', slots: 4, connections: 100, leaving: false,
	}]);
	const scheduler: ServiceScheduler = new ServiceScheduler('booking', {
		timers, pool, maxQueuedRequests: 1000, weightOf: () => 1,
	});
	const served: string[] = [];
	const refused: FescuewickError[] = [];
	const leases: BackendLease[] = [];
	const submit = (workspace: string, deadlineMs: number, latenessTargetMs = 100): SlotRequest => {
		const request: SlotRequest = {
			workspace,
			dueAtMs: timers.nowMs() + latenessTargetMs,
			deadlineAtMs: timers.nowMs() + deadlineMs,
			deadlineMs,
			onSlot(lease) {
				served.push(workspace);
				leases.push(lease);
			},
			onRefused(error) {
				refused.push(error);
			},
		};
		scheduler.submit(request);
		return request;
	};

	return {
		timers, slotGrants, pool, scheduler, served, refused, leases, submit,
	};
}

// Guards against queueing a request until its deadline although it cannot be answered in time.
test('a request that cannot be answered within its deadline is refused at once with a retry time', t => {
	const {served, refused, submit, timers} = setup();
	for (let index = 0; index < 4 + 100; index++) {
		submit('a', 60_000);
	}

	t.is(served.length, 4);
	// With 4 slots at 10 ms each, the 100 queued requests take 250 ms.
	submit('a', 200);
	t.is(timers.nowMs(), 0);
	t.deepEqual(refused.map(({code}) => code), [1203]);
	t.is(refused[0].retryAfterMs, 250);
	// Another workspace gets every second slot, whatever the backlog of the first.
	submit('b', 200);
	t.is(refused.length, 1);
});

// Guards against requests that stay queued when no usable slot is left.
test('queued requests are refused when all slots are lost', async t => {
	const {slotGrants, refused, submit, timers} = setup();
	for (let index = 0; index < 5; index++) {
		submit('a', 1000);
	}

	t.is(refused.length, 0);
	slotGrants.granted = 0;
	await timers.advance(100);
	t.deepEqual(refused.map(({code}) => code), [1203]);
	submit('a', 1000);
	t.is(refused.at(-1)?.code, 1400);
});

// Guards against slots assigned to requests whose callers have disconnected.
test('a request removed from the queue gets no slot and no longer counts as queued', t => {
	const {scheduler, served, submit, leases, pool} = setup();
	for (let index = 0; index < 4; index++) {
		submit('a', 1000);
	}

	const removed = submit('b', 1000);
	t.true(scheduler.remove(removed));
	t.false(scheduler.remove(removed));
	t.is(scheduler.queue.size, 0);
	pool.release(leases[0], false);
	t.deepEqual(served, ['a', 'a', 'a', 'a']);
});

/** Requests served per workspace in 20 s when workspace `a` offers 5 times its fair rate and three others offer theirs. */
async function measureFairness(order: 'fair' | 'arrival'): Promise<Map<string, number>> {
	const {timers, pool, submit, leases, served} = setup();
	const fairPerS = 100; // 4 slots at 10 ms serve 400 requests/s for 4 workspaces.
	const nameOf = (name: string) => order === 'fair' ? name : 'all';
	const counts = new Map<string, number>();
	const origins: string[] = [];
	for (let ms = 0; ms < 20_000; ms += 10) {
		for (const [name, factor] of [['a', 5], ['b', 1], ['c', 1], ['d', 1]] as const) {
			for (let index = 0; index < fairPerS * factor / 100; index++) {
				origins.push(name);
				submit(nameOf(name), 500);
			}
		}

		for (const lease of leases.splice(0)) {
			pool.release(lease, false);
		}

		await timers.advance(10);
	}

	for (const name of order === 'fair' ? served : origins.filter((_, index) => index < served.length)) {
		counts.set(name, (counts.get(name) ?? 0) + 1);
	}

	return counts;
}

// Guards against one workspace at 5 times its rate taking slots from the others; each must get at least 0.95 of its fair share.
test('with one workspace at 5 times its fair rate, the others get at least 0.95 of theirs', async t => {
	const counts = await measureFairness('fair');
	const worst = Math.min(...['b', 'c', 'd'].map(name => counts.get(name) ?? 0)) / (20 * 100);
	t.true(worst >= 0.95, `the worst-served workspace got ${worst} of its fair share`);
	// With the same load in one queue by arrival, the fraction must be lower, or this test would not detect unfairness.
	const plain = await measureFairness('arrival');
	t.true(Math.min(...['b', 'c', 'd'].map(name => plain.get(name) ?? 0)) / (20 * 100) < 0.95);
});
