import process from 'node:process';
import {
	incarnationId, ManualTimerService, settle, type Incarnation,
} from '@fescuewick/core';
import {MemoryObjectStore} from '@fescuewick/store';
import {OrderResult} from '@fescuewick/wire';
import {type Attempt} from '../claim-authority.js';
import {JournalAuthority} from '../journal/journal-authority.js';
import {defaultJournalOptions} from '../journal/journal-options.js';
import {claimantDigest, orderId} from '../order-key/order-id.js';
import {makeOrderKeyPrefix, parseOrderKey} from '../order-key/order-key.js';
import {TicketAuthority} from '../ticket/ticket-authority.js';
import {SimulatedStoreLink, WriteTokenBucket} from './simulated-store-link.js';
import {storeLimits} from './fleet-model.js';

const orderCount = 100_000;
const ordersPerChunk = 4000;
const repeatWindowMs = 86_400_000;

/** Memory, stored size and takeover costs of a journal with 100,000 completed orders. */
export type MemoryResult = {
	readonly orders: number;
	readonly bytesPerOrder: number;
	readonly storedBytesPerOrder: number;
	readonly takeovers: ReadonlyArray<{readonly from: string; readonly simulatedMs: number; readonly cpuMs: number; readonly reads: number}>;
};

/** Fills a journal and measures the takeover of all partitions by an owner in the store's region and by one in another region. */
export async function measureMemory(): Promise<MemoryResult> {
	const timers = new ManualTimerService();
	const store = new MemoryObjectStore(timers);
	const writeBucket = new WriteTokenBucket(timers, storeLimits.writesPerS);
	const owner = (vm: string, oneWayMs: number) => {
		const incarnation: Incarnation = {vm, startedAtMs: 1, nonce: '0a'};
		return new JournalAuthority(new SimulatedStoreLink(store, writeBucket, storeLimits.serviceTimeMs, oneWayMs), timers, incarnation, defaultJournalOptions);
	};

	const first = owner('first', 0.5);
	for (let start = 0; start < orderCount; start += ordersPerChunk) {
		const attempts = Array.from({length: ordersPerChunk}, (_, index) => attemptOf(start + index, 'first'));
		const claims = Promise.all(attempts.map(async attempt => first.claim(attempt, repeatWindowMs)));
		await advance(timers, 1000);
		await claims;
		const completions = Promise.all(attempts.map(async attempt => first.complete(attempt, OrderResult.done, undefined)));
		await advance(timers, 2000);
		await completions;
	}

	await timers.advance(10_000);
	const objects = await store.list('orders/');
	const takeovers = [];
	for (const [from, oneWayMs] of [['store\'s region', 0.5], ['another region', 20]] as const) {
		takeovers.push({from, ...await takeOver(timers, store, owner(from, oneWayMs))});
	}

	return {
		orders: first.orderCount,
		bytesPerOrder: first.sizeBytes / first.orderCount,
		storedBytesPerOrder: JSON.stringify(objects).length / orderCount,
		takeovers,
	};
}

/** Memory per ticket for 100,000 tickets, as exact entries and after they were moved to filters. */
export async function measureTicketMemory(): Promise<{exactBytesPerOrder: number; filteredBytesPerOrder: number}> {
	const timers = new ManualTimerService();
	const incarnation: Incarnation = {vm: 'a', startedAtMs: 1, nonce: '0a'};
	const tickets = new TicketAuthority(incarnation, timers, {
		repeatWindowMs, maxOrders: orderCount, maxFilters: 4, maxAnswersBytes: 1, maxAnswerBytes: 1,
	});
	const claim = async (index: number) => {
		const text = `${makeOrderKeyPrefix('a', incarnationId(incarnation), timers.wallClockMs())}${index}`;
		await tickets.claim({
			key: parseOrderKey(text), id: orderId('w', text), claimant: claimantDigest('c'), contentHash: 1,
		}, repeatWindowMs);
	};

	for (let index = 0; index < orderCount; index++) {
		await claim(index);
	}

	const exactBytesPerOrder = tickets.sizeBytes / orderCount;
	timers.pause(repeatWindowMs / 8);
	// The limit of exact entries is reached, so one more order moves the others to filters.
	await claim(orderCount);
	return {exactBytesPerOrder, filteredBytesPerOrder: tickets.sizeBytes / orderCount};
}

async function takeOver(timers: ManualTimerService, store: MemoryObjectStore, next: JournalAuthority): Promise<{simulatedMs: number; cpuMs: number; reads: number}> {
	const {reads} = store.calls;
	const startedMs = timers.nowMs();
	const cpu = process.cpuUsage();
	let simulatedMs = 0;
	const all = (async () => {
		const partitions = await next.partitionCount();
		await Promise.all(Array.from({length: partitions}, async (_, partition) => next.preload(partition)));
		simulatedMs = timers.nowMs() - startedMs;
	})();
	await advance(timers, 5000);
	await all;
	const {user, system} = process.cpuUsage(cpu);
	return {simulatedMs, cpuMs: (user + system) / 1000, reads: store.calls.reads - reads};
}

async function advance(timers: ManualTimerService, durationMs: number): Promise<void> {
	await settle();
	await timers.advance(durationMs);
}

function attemptOf(index: number, claimant: string): Attempt {
	const text = `order-${index}`;
	return {
		key: parseOrderKey(text), id: orderId('w', text), claimant: claimantDigest(claimant), contentHash: 1,
	};
}
