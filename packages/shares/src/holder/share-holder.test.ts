import test from 'ava';
import {ManualTimerService, PauseDetector} from '@fescuewick/core';
import {
	ShareKind, type ShareGrantsBody, type ShareRequestBody, type ShareReturnBody,
} from '@fescuewick/wire';
import {grantMarginMs, grantLifetimeMs, ShareHolder} from '../index.js';

type Answer = (body: ShareRequestBody) => Promise<ShareGrantsBody>;

function setUp(answer: Answer) {
	const timers = new ManualTimerService();
	const pauses = new PauseDetector(timers);
	const requests: ShareRequestBody[] = [];
	const returns: ShareReturnBody[] = [];
	const lost: string[] = [];
	const holder = new ShareHolder({
		holder: 'entry.1', timers, pauses, onSlotsLost: server => lost.push(server), source: {
			async request(body) {
				requests.push(body);
				return answer(body);
			},
			async returnShares(body) {
				returns.push(body);
			},
		},
	});
	return {
		timers, pauses, holder, requests, returns, lost,
	};
}

function rateGrant(sequence: number, values: {epoch?: number; ratePerS?: number; burst?: number; addedTokens?: number} = {}) {
	return {
		kind: ShareKind.rate, resource: 'w', ratePerS: 10, burst: 5, addedTokens: 0, slots: 0, connections: 0, expiresInMs: grantLifetimeMs, epoch: 1, sequence, ...values,
	};
}

const never = async (): Promise<ShareGrantsBody> => new Promise<ShareGrantsBody>(() => {
	// Never settles.
});

// Guards against a holder that starts with a full token bucket, which doubles the burst when a VM is replaced.
test('a holder starts with the tokens in its grant and accrues at the granted rate', async t => {
	const {timers, holder} = setUp(async () => ({epoch: 1, grants: [rateGrant(1, {addedTokens: 2})]}));
	holder.track(['w'], []);
	holder.start();
	await timers.advance(0);
	t.is(holder.take('w', 2), 0);
	t.is(holder.take('w', 1), 100);
	await timers.advance(100);
	t.is(holder.take('w', 1), 0);
});

// Guards against expiry counted from the receipt of the answer, which would be later than in the allocator's accounts.
test('a grant ends `grantLifetimeMs` after its request was sent', async t => {
	const {timers, holder} = setUp(never);
	holder.track(['w'], []);
	await timers.advance(3500);
	holder.apply({epoch: 1, grants: [rateGrant(1, {addedTokens: 5})]}, 0, new Map());
	t.is(holder.take('w'), 0);
	await timers.advance(500);
	t.true(holder.take('w') > 0);
	t.false(holder.hasShare('w'));
});

// Guards against a process that resumes after a pause and uses shares that were granted to others meanwhile.
test('a pause ends all shares, and an answer from before it revives none', t => {
	const {timers, holder} = setUp(never);
	holder.track(['w'], ['s']);
	const slotGrant = (sequence: number) => ({
		...rateGrant(sequence), kind: ShareKind.slots, resource: 's', ratePerS: 0, burst: 0, slots: 3, connections: 9,
	});
	holder.apply({epoch: 1, grants: [rateGrant(1, {addedTokens: 5}), slotGrant(1)]}, 0, new Map());
	t.is(holder.slotsOf('s').slots, 3);
	timers.pause(2000);
	t.true(holder.take('w') > 0);
	t.is(holder.slotsOf('s').slots, 0);
	holder.apply({epoch: 1, grants: [rateGrant(2, {addedTokens: 5}), slotGrant(2)]}, 0, new Map());
	t.true(holder.take('w') > 0);
	t.is(holder.slotsOf('s').slots, 0);
});

// Guards against an answer of a replaced allocator, or a delayed answer, that overrides a newer grant.
test('grants of older epochs, older sequences and superseded requests are refused', t => {
	const {timers, holder} = setUp(never);
	holder.track(['w'], []);
	const apply = (sequence: number, epoch: number, ratePerS: number, reported?: {epoch: number; sequence: number}) => {
		holder.apply({epoch, grants: [rateGrant(sequence, {epoch, ratePerS, addedTokens: 0})]}, timers.nowMs(), new Map([['rate/w', reported]]));
	};

	apply(5, 2, 10);
	apply(4, 2, 99);
	apply(9, 1, 99);
	apply(9, 1, 99, {epoch: 2, sequence: 5});
	apply(1, 3, 99, {epoch: 2, sequence: 4});
	t.is(holder.take('w', 1), 100, 'only the first grant, of 10 per second, is in force');
	apply(1, 3, 1, {epoch: 2, sequence: 5});
	t.is(holder.take('w', 1), 1000);
});

// Guards against a burst of first requests that causes a burst of share requests.
test('first demand without a share triggers a bounded number of early requests', async t => {
	const {timers, holder, requests} = setUp(async () => ({epoch: 1, grants: []}));
	holder.track(['w'], []);
	holder.start();
	await timers.advance(10);
	const before = requests.length;
	for (let index = 0; index < 90; index++) {
		holder.take('w');
		await timers.advance(10);
	}

	t.true(requests.length > before);
	t.true(requests.length - before <= 6);
	t.true(requests.at(-1)!.demands[0].wanted > 0, 'refused requests count as demand');
});

// Guards against slots that are used twice when a grant shrinks below the number of in-flight requests.
test('slots in use stay reported as held until they are released', t => {
	const {timers, holder, requests} = setUp(never);
	holder.track([], ['s']);
	const apply = (sequence: number, slots: number) => {
		holder.apply({
			epoch: 1, grants: [{
				...rateGrant(sequence), kind: ShareKind.slots, resource: 's', slots, connections: 9,
			}],
		}, timers.nowMs(), new Map());
	};

	apply(1, 3);
	t.true(holder.acquireSlot('s') && holder.acquireSlot('s') && holder.acquireSlot('s'));
	t.false(holder.acquireSlot('s'));
	apply(2, 1);
	holder.releaseSlot('s');
	t.false(holder.acquireSlot('s'));
	holder.start();
	t.is(requests[0].demands[0].held!.slots, 2);
	holder.releaseSlot('s');
	holder.releaseSlot('s');
	t.true(holder.acquireSlot('s'));
});

// Guards against slots that expire although their server is in use: short requests are rarely in flight when demand is sampled, so the grant would be renewed only every 2 s like an idle one, and a link that is silent for another 2 s would use up the rest of its lifetime.
test('slots of a server with open connections are renewed every second, others every two', async t => {
	let sequence = 0;
	const {timers, holder, requests} = setUp(async ({demands}) => ({
		epoch: 1, grants: demands.map(({resource}) => ({
			...rateGrant(++sequence), kind: ShareKind.slots, resource, slots: 2, connections: 2,
		})),
	}));
	holder.track([], ['idle', 'used']);
	holder.start();
	await timers.advance(100);
	t.true(holder.openConnection('used'));
	requests.length = 0;
	await timers.advance(4000);
	const count = (server: string) => requests.filter(({demands}) => demands.some(({resource}) => resource === server)).length;
	t.deepEqual([count('used'), count('idle')], [4, 2]);
});

// Guards against requests that continue at a server whose slots were granted to another VM meanwhile.
test('the end of a grant with requests in flight is signalled before the slots are granted again', async t => {
	const {timers, holder, lost} = setUp(never);
	holder.track([], ['s']);
	holder.start();
	const grant = {
		...rateGrant(1), kind: ShareKind.slots, resource: 's', slots: 2, connections: 2,
	};
	holder.apply({epoch: 1, grants: [grant]}, 0, new Map());
	t.true(holder.acquireSlot('s'));
	await timers.advance(grantLifetimeMs - 1);
	t.deepEqual(lost, []);
	await timers.advance(grantMarginMs);
	t.is(lost[0], 's');
});

// Guards against tokens that are both spent by the holder and returned.
test('shares are returned with their tokens at shutdown and not used afterwards', async t => {
	const {holder, returns} = setUp(never);
	holder.track(['w'], []);
	holder.apply({epoch: 1, grants: [rateGrant(1, {addedTokens: 3})]}, 0, new Map());
	holder.take('w');
	await holder.stop();
	t.deepEqual(returns[0].returned, [{kind: ShareKind.rate, resource: 'w', tokens: 2}]);
	t.true(holder.take('w') > 0);
	holder.apply({epoch: 1, grants: [rateGrant(2, {addedTokens: 3})]}, 0, new Map());
	t.true(holder.take('w') > 0);
});

// Guards against sudden demand that is reported only in the next round, and against early requests while demand is steady.
test('a surge of demand is reported at once, steady demand beyond the share is not', async t => {
	let sequence = 0;
	const {timers, holder, requests} = setUp(async () => ({epoch: 1, grants: [rateGrant(++sequence, {addedTokens: sequence === 1 ? 5 : 0})]}));
	holder.track(['w'], []);
	holder.start();
	await timers.advance(400);
	const demand = async (durationMs: number) => {
		for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 50) {
			for (let count = 0; count < 5; count++) {
				holder.take('w');
			}

			await timers.advance(50);
		}
	};

	await demand(100);
	t.is(requests.length, 2);
	t.true(requests[1].demands[0].wanted > 5);
	await demand(4500);
	const before = requests.length;
	await demand(5000);
	t.is(requests.length - before, 5);
});

// Guards against a share that is about to change but is renewed only at the regular interval.
test('a share that is about to change is renewed early', async t => {
	let sequence = 0;
	const {timers, holder, requests} = setUp(async () => ({epoch: 1, grants: [{...rateGrant(++sequence), ...(sequence === 1 ? {renewInMs: 250} : {})}]}));
	holder.track(['w'], []);
	holder.start();
	await timers.advance(0);
	await timers.advance(240);
	t.is(requests.length, 1);
	await timers.advance(20);
	t.is(requests.length, 2);
	await timers.advance(600);
	t.is(requests.length, 2);
});
