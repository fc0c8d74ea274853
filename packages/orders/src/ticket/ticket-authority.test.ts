import test, {type ExecutionContext} from 'ava';
import {incarnationId, ManualTimerService, type Incarnation} from '@fescuewick/core';
import {ClaimState, OrderResult, type ClaimReplyBody} from '@fescuewick/wire';
import {type Attempt} from '../claim-authority.js';
import {claimantDigest, orderId} from '../order-key/order-id.js';
import {makeOrderKeyPrefix, parseOrderKey} from '../order-key/order-key.js';
import {TicketAuthority} from './ticket-authority.js';

const hourMs = 3_600_000;
const windowMs = 24 * hourMs;
const incarnation: Incarnation = {vm: 'vm-a', startedAtMs: 1_700_000_000_000, nonce: '0a1b'};

function setUp(maxOrders = 1000, maxFilters = 0) {
	const timers = new ManualTimerService(1_700_000_000_000);
	const authority = new TicketAuthority(incarnation, timers, {
		repeatWindowMs: windowMs, maxOrders, maxFilters, maxAnswersBytes: 1000, maxAnswerBytes: 500,
	});
	const ticket = (rest: string, issuedAtMs = timers.wallClockMs(), from = incarnation) => makeOrderKeyPrefix(from.vm, incarnationId(from), issuedAtMs) + rest;
	const claim = async (key: string, claimant: string) => authority.claim(attempt(key, claimant), windowMs);
	return {
		timers, authority, ticket, claim,
	};
}

function attempt(text: string, claimant: string, contentHash = 1): Attempt {
	return {
		key: parseOrderKey(text), id: orderId('w', text), claimant: claimantDigest(claimant), contentHash,
	};
}

function is(t: ExecutionContext, reply: ClaimReplyBody, state: ClaimState): void {
	t.is(reply.state, state);
}

// Guards against one ticket granted to two claimants, and against refusing a claimant that repeats its claim.
test('a ticket is granted to one claimant only, which may repeat its claim', async t => {
	const {authority, ticket, claim} = setUp();
	const key = ticket('x');
	is(t, await claim(key, 'first'), ClaimState.granted);
	is(t, await claim(key, 'first'), ClaimState.granted);
	is(t, await claim(key, 'second'), ClaimState.inProgress);
	const answer = {status: 201, headers: {}, body: new Uint8Array([1])};
	t.true(await authority.complete(attempt(key, 'first'), OrderResult.done, answer));
	t.false(await authority.complete(attempt(key, 'second'), OrderResult.done, undefined));
	t.deepEqual(await claim(key, 'second'), {state: ClaimState.done, answer});
});

// Guards against a claimant releasing the claim of another one, and against a claimant that is granted the order again after its release.
test('only the claimant can release, and it is not granted again', async t => {
	const {authority, ticket, claim} = setUp();
	const key = ticket('x');
	await claim(key, 'first');
	t.false(await authority.release(attempt(key, 'second')));
	t.true(await authority.release(attempt(key, 'first')));
	is(t, await claim(key, 'first'), ClaimState.unknown);
	is(t, await claim(key, 'second'), ClaimState.granted);
	t.false(await authority.release(attempt(key, 'first')));
});

// Guards against a second run of an order through a replaced VM, which has no record of the first run.
test('tickets of another VM or incarnation are never granted', async t => {
	const {ticket, claim} = setUp();
	is(t, await claim(ticket('x', undefined, {...incarnation, nonce: '0f0f'}), 'a'), ClaimState.unknown);
	is(t, await claim(ticket('x', undefined, {...incarnation, vm: 'vm-b'}), 'a'), ClaimState.unknown);
});

// Guards against a ticket that is still valid after the entry of its order was deleted.
test('tickets from the future or past the repeat window are refused', async t => {
	const {authority, timers, ticket, claim} = setUp();
	is(t, await claim(ticket('x', timers.wallClockMs() + 5001), 'a'), ClaimState.unknown);
	is(t, await claim(ticket('x', timers.wallClockMs() + 5000), 'a'), ClaimState.granted);
	is(t, await claim(ticket('x', timers.wallClockMs() - windowMs), 'a'), ClaimState.expired);
	is(t, await claim(ticket('x', timers.wallClockMs() - windowMs + 1), 'a'), ClaimState.granted);
	is(t, await authority.claim(attempt(ticket('y'), 'a'), Number.NaN), ClaimState.expired);
});

// Guards against a second run of an order whose entry was deleted and whose ticket becomes valid again because the clock is set back.
test('setting the wall clock back does not make an expired ticket valid again', async t => {
	const {authority, timers, ticket, claim} = setUp();
	const key = ticket('x');
	await claim(key, 'first');
	timers.shiftWallClock(2 * windowMs);
	is(t, await claim(ticket('other'), 'a'), ClaimState.granted);
	t.is(authority.orderCount, 1);
	timers.shiftWallClock(-2 * windowMs);
	is(t, await claim(key, 'second'), ClaimState.expired);
});

// Guards against eviction of entries whose tickets are still valid.
test('at `maxOrders` new tickets are refused and existing entries are kept', async t => {
	const {timers, ticket, claim} = setUp(2);
	const keys = ['x', 'y', 'z'].map(rest => ticket(rest));
	is(t, await claim(keys[0], 'a'), ClaimState.granted);
	is(t, await claim(keys[1], 'a'), ClaimState.granted);
	is(t, await claim(keys[2], 'a'), ClaimState.unavailable);
	is(t, await claim(keys[0], 'b'), ClaimState.inProgress);
	timers.pause(windowMs + (4 * hourMs));
	is(t, await claim(ticket('new'), 'a'), ClaimState.granted);
});

// Guards against a high order rate that uses up the exact entries, and against a second run of orders that were moved to filters.
test('orders that no longer change are moved to filters and not granted again until their ticket expires', async t => {
	const {authority, timers, ticket, claim} = setUp(50, 1);
	const keys = Array.from({length: 80}, (_, index) => ticket(`x${index}`));
	for (const key of keys.slice(0, 50)) {
		is(t, await claim(key, 'first'), ClaimState.granted);
	}

	await authority.complete(attempt(keys[1], 'first'), OrderResult.done, {status: 200, headers: {}, body: new Uint8Array(1)});
	is(t, await claim(ticket('y'), 'first'), ClaimState.unavailable);
	timers.pause(hourMs);
	is(t, await claim(ticket('y'), 'first'), ClaimState.granted);
	t.is(authority.orderCount, 1);
	is(t, await claim(keys[0], 'second'), ClaimState.unknown);
	is(t, await claim(keys[1], 'second'), ClaimState.done);
	for (const key of keys.slice(50)) {
		is(t, await claim(key, 'first'), ClaimState.granted);
	}

	timers.pause(windowMs - (2 * hourMs));
	for (const key of keys.slice(0, 50)) {
		const {state} = await claim(key, 'third');
		t.not(state, ClaimState.granted);
	}

	timers.pause(2 * hourMs);
	is(t, await claim(keys[0], 'fourth'), ClaimState.expired);
	is(t, await claim(ticket('z'), 'first'), ClaimState.granted);
	t.true(authority.orderCount <= 2);
});
