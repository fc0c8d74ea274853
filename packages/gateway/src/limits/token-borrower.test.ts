import test from 'ava';
import {ManualTimerService} from '@fescuewick/core';
import {workspace} from '../testing/fixtures.js';
import {BorrowOutcome, TokenBorrower} from './token-borrower.js';
import {WorkspaceLimiter} from './workspace-limiter.js';

/** A VM of a large fleet whose pool has another owner, and the ids of its token requests. */
async function createBorrower() {
	const timers = new ManualTimerService();
	const limiter = new WorkspaceLimiter('a1', timers, () => ({overshoot: 0.1, slackCount: 20, windowMs: 5000}));
	limiter.configure([workspace('acme', {ratePerS: 60, burst: 60})]);
	const sent: number[] = [];
	const ended: BorrowOutcome[] = [];
	const borrower = new TokenBorrower({
		limiter,
		timers,
		send(_owner, _workspace, id) {
			sent.push(id);
		},
		onEnd(outcome) {
			ended.push(outcome);
		},
	});
	const vms = Array.from({length: 94}, (_, vm) => `a${vm}`);
	const update = () => {
		limiter.update(new Set(vms), {alive: ['a1', 'a2'], ready: ['a2'], readyElsewhere: []});
	};

	update();
	for (let step = 0; step < 8; step++) {
		for (const vm of vms.slice(2)) {
			limiter.applyReports(vm, 1, {});
		}

		await timers.advance(250);
		update();
	}

	return {
		timers, limiter, borrower, sent, ended,
	};
}

test('a granted token ends the wait at once', async t => {
	const {limiter, borrower, sent, ended} = await createBorrower();
	t.true(limiter.take('acme') > 0);
	const borrowed = borrower.borrow('acme', 1000);
	t.deepEqual(sent, [1]);
	borrower.onReply('a2', 1, true);
	t.is(await borrowed, BorrowOutcome.granted);
	t.deepEqual(ended, [BorrowOutcome.granted]);
});

test('a request waits no longer than a few tens of milliseconds, and the next ones do not wait for that owner', async t => {
	// Guards against a frozen owner that delays each request.
	const {timers, limiter, borrower, sent} = await createBorrower();
	const borrowed = borrower.borrow('acme', 1000);
	await timers.advance(30);
	t.is(await borrowed, BorrowOutcome.timedOut);
	t.is(await borrower.borrow('acme', 1000), BorrowOutcome.notAsked);
	t.is(sent.length, 1);
	t.is(limiter.poolOwnerToAsk('acme'), undefined);
	await timers.advance(1000);
	t.is(limiter.poolOwnerToAsk('acme'), 'a2');
});

test('a request waits no longer than the time that it has left', async t => {
	const {timers, borrower} = await createBorrower();
	const borrowed = borrower.borrow('acme', 5);
	await timers.advance(5);
	t.is(await borrowed, BorrowOutcome.timedOut);
});

test('a reply from another VM, a late one and a second one have no effect', async t => {
	// Guards against tokens of two VMs that both consider themselves the owner, and against a request that is admitted twice.
	const {timers, borrower, ended} = await createBorrower();
	const borrowed = borrower.borrow('acme', 1000);
	borrower.onReply('a3', 1, true);
	t.deepEqual(ended, []);
	await timers.advance(30);
	borrower.onReply('a2', 1, true);
	borrower.onReply('a2', 1, true);
	t.is(await borrowed, BorrowOutcome.timedOut);
	t.deepEqual(ended, [BorrowOutcome.timedOut]);
});

test('a pool without a token is not asked again at once', async t => {
	// Guards against two datagrams for each refusal of a workspace over its rate.
	const {timers, borrower, sent} = await createBorrower();
	const borrowed = borrower.borrow('acme', 1000);
	borrower.onReply('a2', 1, false);
	t.is(await borrowed, BorrowOutcome.denied);
	t.is(await borrower.borrow('acme', 1000), BorrowOutcome.notAsked);
	await timers.advance(50);
	void borrower.borrow('acme', 1000);
	t.is(sent.length, 2);
});

test('the token of a borrowed request that did not run serves the next request', async t => {
	// Guards against pools that are used up by requests that found no server.
	const {limiter, borrower} = await createBorrower();
	const borrowed = borrower.borrow('acme', 1000);
	borrower.onReply('a2', 1, true);
	await borrowed;
	t.true(limiter.take('acme') > 0);
	limiter.refund('acme');
	t.is(limiter.take('acme'), 0);
	t.true(limiter.take('acme') > 0);
});
