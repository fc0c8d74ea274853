import test from 'ava';
import {ManualTimerService, settle, type Incarnation} from '@fescuewick/core';
import {MemoryObjectStore} from '@fescuewick/store';
import {ClaimState, OrderResult, type ClaimReplyBody} from '@fescuewick/wire';
import {type Attempt} from '../claim-authority.js';
import {claimantDigest, orderId} from '../order-key/order-id.js';
import {parseOrderKey} from '../order-key/order-key.js';
import {Gate, GatedStore} from '../testing/gate.js';
import {JournalAuthority} from './journal-authority.js';
import {defaultJournalOptions, type JournalOptions} from './journal-options.js';
import {recordBytes} from './journal-record.js';

const smallSegmentOptions = {maxTailBytes: 3 * recordBytes, minMergedBytes: 8 * recordBytes, maxSegmentBytes: 16 * recordBytes};

const pending = Symbol('pending');

class JournalFixture {
	readonly timers = new ManualTimerService();
	readonly store = new MemoryObjectStore(this.timers, 100);
	readonly stores: GatedStore[] = [];
	readonly options: JournalOptions;

	constructor(options: Partial<JournalOptions> = {}) {
		this.options = {...defaultJournalOptions, partitions: 1, ...options};
	}

	/** Creates another owner with its own connection to the store. */
	owner(): JournalAuthority {
		const incarnation: Incarnation = {vm: `vm-${this.stores.length}`, startedAtMs: 1, nonce: '0a'};
		const link = new GatedStore(this.store, this.timers, new Gate());
		this.stores.push(link);
		return new JournalAuthority(link, this.timers, incarnation, this.options);
	}

	async claim(owner: JournalAuthority, key: string, claimant: string): Promise<ClaimState> {
		const {state} = await this.advanceUntilSettled(owner.claim(attempt(key, claimant), this.options.repeatWindowMs));
		return state;
	}

	/** Advances time until the promise is settled. */
	async advanceUntilSettled<Value>(promise: Promise<Value>): Promise<Value> {
		const outcome = Promise.allSettled([promise]);
		await settle();
		// A race against a resolved promise shows whether the outcome is still pending.
		for (let step = 0; step < 1000 && await Promise.race([outcome, Promise.resolve(pending)]) === pending; step++) {
			await this.timers.advance(10);
		}

		return promise;
	}
}

function attempt(text: string, claimant: string, contentHash = 1): Attempt {
	return {
		key: parseOrderKey(text), id: orderId('w', text), claimant: claimantDigest(claimant), contentHash,
	};
}

// Guards against orders that are lost when the tail is sealed, segments are merged, or another owner takes over.
test('a new owner knows every order of sealed and merged segments, with a bounded number of reads', async t => {
	const journal = new JournalFixture(smallSegmentOptions);
	const first = journal.owner();
	for (let index = 0; index < 60; index++) {
		await journal.claim(first, `k${index}`, 'first');
	}

	const {reads} = journal.store.calls;
	const second = journal.owner();
	t.is(await journal.claim(second, 'k0', 'second'), ClaimState.inProgress);
	// One read each for the layout and the tail, segments of at least 8 merged records each, and up to 3 unmerged segments.
	t.true(journal.store.calls.reads - reads <= 2 + Math.ceil(60 / 8) + 3);
	for (let index = 0; index < 60; index++) {
		t.is(await journal.claim(second, `k${index}`, 'second'), ClaimState.inProgress);
	}
});

// Guards against records being applied out of sequence across segments, because the last record of an order decides.
test('releases and completions survive sealing and a takeover', async t => {
	const journal = new JournalFixture(smallSegmentOptions);
	const first = journal.owner();
	const end = async (how: 'release' | 'complete', key: string, claimant: string) => {
		const ended = attempt(key, claimant);
		return journal.advanceUntilSettled(how === 'release' ? first.release(ended) : first.complete(ended, OrderResult.done, undefined));
	};

	for (let index = 0; index < 10; index++) {
		await journal.claim(first, `k${index}`, 'first');
		t.true(await end('release', `k${index}`, 'first'));
		t.is(await journal.claim(first, `k${index}`, 'first'), ClaimState.unknown);
		await journal.claim(first, `k${index}`, 'second');
		t.false(await end('release', `k${index}`, 'first'));
		t.true(await end(index % 2 === 0 ? 'complete' : 'release', `k${index}`, 'second'));
	}

	const next = journal.owner();
	for (let index = 0; index < 10; index++) {
		t.is(await journal.claim(next, `k${index}`, 'third'), index % 2 === 0 ? ClaimState.done : ClaimState.granted);
	}
});

// Guards against orders that are in neither the exact entries nor the filters, on the owner that expires them and on one that takes over.
test('an order is never granted again at any age', async t => {
	const journal = new JournalFixture({...smallSegmentOptions, repeatWindowMs: 40_000});
	const first = journal.owner();
	for (let index = 0; index < 60; index++) {
		t.is(await journal.claim(first, `k${index}`, 'first'), ClaimState.granted);
		await journal.timers.advance(3000);
		const owner = index % 5 === 0 ? journal.owner() : first;
		for (let earlier = 0; earlier <= index; earlier += index % 5 === 0 ? 1 : 7) {
			t.not(await journal.claim(owner, `k${earlier}`, `later-${index}`), ClaimState.granted);
		}
	}

	const sealed = await journal.store.list('orders/0/segment');
	t.true(sealed.length < 15, 'segments past the window are removed');
});

// Guards against a claim written with a time that is already expired, which is ignored when the journal is read.
test('an owner whose clock is far behind does not write claims with expired times', async t => {
	const journal = new JournalFixture({repeatWindowMs: 40_000});
	const ahead = journal.owner();
	await journal.claim(ahead, 'old', 'first');
	await journal.timers.advance(60_000);
	await journal.claim(ahead, 'new', 'first');
	journal.timers.shiftWallClock(-100_000);
	t.is(await journal.claim(journal.owner(), 'k', 'first'), ClaimState.granted);
	journal.timers.shiftWallClock(100_000);
	t.is(await journal.claim(journal.owner(), 'k', 'second'), ClaimState.inProgress);
});

// Guards against confusing a lost write with a write whose response was lost.
test('a claim is granted after a lost store response and not after a lost write', async t => {
	const journal = new JournalFixture();
	const first = journal.owner();
	await journal.claim(first, 'k0', 'first');
	journal.store.faults.loseAnswers = 1;
	const {writes} = journal.store.calls;
	t.is(await journal.claim(first, 'k1', 'first'), ClaimState.granted);
	t.is(journal.store.calls.writes, writes + 1);
	journal.stores[0].lostWrites = 100;
	t.is(await journal.claim(first, 'k2', 'first'), ClaimState.unavailable);
	t.is(await journal.claim(journal.owner(), 'k2', 'second'), ClaimState.granted);
});

// Guards against a journal with missing or damaged objects being read as empty.
test('no claim is granted while a segment is missing or the tail is damaged', async t => {
	const journal = new JournalFixture(smallSegmentOptions);
	const first = journal.owner();
	for (let index = 0; index < 10; index++) {
		await journal.claim(first, `k${index}`, 'first');
	}

	const tail = await journal.store.read('orders/0/tail');
	const {segments} = tail!.value as {segments: Array<{name: string}>};
	await journal.store.remove(`orders/0/${segments[0].name}`, undefined);
	t.is(await journal.claim(journal.owner(), 'fresh', 'second'), ClaimState.unavailable);
	await journal.store.write('orders/0/tail', {}, undefined);
	t.is(await journal.claim(first, 'fresh', 'second'), ClaimState.unavailable);
	await journal.store.remove('orders/0/tail', undefined);
	t.is(await journal.claim(first, 'fresh', 'second'), ClaimState.unavailable);
	t.is(await journal.claim(first, 'k0', 'second'), ClaimState.inProgress);
});

// Guards against exceeding the store's write rate, and against one write per order.
test('claims are written in batches at least 25 ms apart', async t => {
	const journal = new JournalFixture({endDelayMs: 10_000});
	const owner = journal.owner();
	await journal.claim(owner, 'first', 'a');
	const startedMs = journal.timers.nowMs();
	const {writes} = journal.store.calls;
	const claims: Array<Promise<ClaimReplyBody>> = [];
	for (let index = 0; index < 500; index++) {
		claims.push(owner.claim(attempt(`k${index}`, 'a'), 1e6));
		await journal.timers.advance(1);
	}

	const replies = await journal.advanceUntilSettled(Promise.all(claims));
	t.true(replies.every(({state}) => state === ClaimState.granted));
	t.true(journal.store.calls.writes - writes <= 1 + ((journal.timers.nowMs() - startedMs) / 25));
});

// Guards against several simultaneous owners using up the store's write budget, as in a partition between regions.
test('the write rate of three simultaneous owners of a partition stays within the budget', async t => {
	const journal = new JournalFixture();
	const owners = [journal.owner(), journal.owner(), journal.owner()];
	journal.store.faults.slowMs = 3;
	const claims: Array<Promise<ClaimReplyBody>> = [];
	for (let index = 0; index < 1000; index++) {
		claims.push(owners[index % 3].claim(attempt(`k${index}`, 'a'), 1e6));
		await journal.timers.advance(5);
	}

	const writesPerS = journal.store.calls.writes / 5;
	// 4 partitions must stay under 300 writes per second, which the platform is certain to accept.
	t.true(writesPerS * 4 < 300, `${writesPerS} writes per second`);
	const replies = await journal.advanceUntilSettled(Promise.all(claims));
	const granted = replies.filter(({state}) => state === ClaimState.granted);
	t.true(granted.length >= 990, `${granted.length} granted`);
});

// Guards against claims that cause additional calls to a store that is down, on an owner and on a node that has just started.
test('in an outage the store is called a few times per second, and claims are granted soon after it', async t => {
	const journal = new JournalFixture();
	const owner = journal.owner();
	await journal.claim(owner, 'first', 'a');
	journal.store.faults.down = true;
	const fresh = journal.owner();
	const before = {...journal.store.calls};
	for (let index = 0; index < 200; index++) {
		void Promise.all([owner, fresh].map(async authority => authority.claim(attempt(`k${index}`, 'a'), 1e6)));
		await journal.timers.advance(10);
	}

	const calls = journal.store.calls.reads + journal.store.calls.writes - before.reads - before.writes;
	// Two seconds with at most one probe in 250 ms on each node, and one retry of the first failure.
	t.true(calls <= 2 * (8 + 2), `${calls} calls`);
	journal.store.faults.down = false;
	await journal.timers.advance(7500);
	t.is(await journal.claim(owner, 'after', 'a'), ClaimState.granted);
	t.is(await journal.claim(fresh, 'after-too', 'a'), ClaimState.granted);
});

// Guards against false negatives of filters, and against false positives above the configured rate.
test('filters of many generations contain every expired order', async t => {
	const journal = new JournalFixture({repeatWindowMs: 8000});
	const owner = journal.owner();
	for (let round = 0; round < 5; round++) {
		const claims = Array.from({length: 200}, async (_, index) => owner.claim(attempt(`r${round}-${index}`, 'a'), 8000));
		await journal.advanceUntilSettled(Promise.all(claims));
		await journal.timers.advance(20_000);
	}

	const next = journal.owner();
	for (let round = 0; round < 5; round++) {
		const replies = await journal.advanceUntilSettled(Promise.all(Array.from({length: 200}, async (_, index) => next.claim(attempt(`r${round}-${index}`, 'b'), 8000))));
		t.true(replies.every(({state}) => state === ClaimState.expired));
	}

	const fresh = await journal.advanceUntilSettled(Promise.all(Array.from({length: 500}, async (_, index) => next.claim(attempt(`new-${index}`, 'b'), 8000))));
	t.true(fresh.every(({state}) => state === ClaimState.granted));
});

// Guards against a stopping daemon that retries writes and never exits because the store accepts none.
test('closing abandons writes that the store does not accept', async t => {
	const journal = new JournalFixture();
	const owner = journal.owner();
	t.is(await journal.claim(owner, 'k', 'first'), ClaimState.granted);
	journal.store.faults.down = true;
	const completed = owner.complete(attempt('k', 'first'), OrderResult.done, undefined);
	await settle();
	await journal.advanceUntilSettled(owner.close());
	const calls = () => journal.store.calls.reads + journal.store.calls.writes;
	const callsAtClose = calls();
	t.false(await completed);
	await journal.timers.advance(120_000);
	t.is(calls(), callsAtClose);
});
