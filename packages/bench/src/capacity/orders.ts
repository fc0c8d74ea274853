import process from 'node:process';
import {
	incarnationId, ManualTimerService, settle, type Incarnation,
} from '@fescuewick/core';
import {
	claimantDigest, defaultJournalOptions, JournalAuthority, makeOrderKeyPrefix, orderId, parseOrderKey, TicketAuthority,
	type Attempt,
} from '@fescuewick/orders';
import {MemoryObjectStore} from '@fescuewick/store';
import {ClaimState, OrderResult} from '@fescuewick/wire';
import {cpuSinceUs, fitSlope, type Section} from './measure.js';

const rates = [50, 200, 800, 3200] as const;
const durationMs = 2000;
const stepMs = 10;
const ticketCounts = [1000, 10_000, 100_000] as const;
const repeatWindowMs = 86_400_000;
const incarnation: Incarnation = {vm: 'vm-00001', startedAtMs: 1_790_000_000_000, nonce: '9f3a6c1d'};

/** Measures journal claims at several rates, in simulated time, and the memory of tickets. */
export async function measureOrders(): Promise<Section> {
	const journal: number[][] = [];
	for (const ratePerS of rates) {
		journal.push(await measureJournal(ratePerS));
	}

	const tickets: number[][] = [];
	for (const count of ticketCounts) {
		tickets.push(await measureTickets(count));
	}

	return {
		role: 'Order claims',
		tables: [{
			title: `Journal with ${defaultJournalOptions.partitions} partitions, claims and completions`,
			columns: ['orders/s', 'store writes/s', 'writes per order', 'CPU µs per order', 'memory, bytes per order'],
			rows: journal,
		}, {
			title: 'Tickets remembered exactly',
			columns: ['tickets', 'memory, bytes per ticket', 'CPU µs per claim'],
			rows: tickets,
		}],
		slopes: [
			fitSlope('processor time of an owner of all partitions', 'µs/s per order/s', journal.map(row => [row[0], row[0] * row[3]])),
			fitSlope('memory of tickets', 'B per ticket', tickets.map(row => [row[0], row[0] * row[1]])),
		],
	};
}

async function measureJournal(ratePerS: number): Promise<number[]> {
	const timers = new ManualTimerService();
	const store = new MemoryObjectStore(timers);
	store.faults.slowMs = 5;
	const journal = new JournalAuthority(store, timers, incarnation, defaultJournalOptions);
	const partitions = journal.partitionCount();
	await settle();
	await timers.advance(100);
	for (let partition = 0; partition < await partitions; partition++) {
		void journal.preload(partition);
	}

	await timers.advance(500);
	const writesBefore = store.calls.writes;
	const cpu = process.cpuUsage();
	const pending: Array<Promise<unknown>> = [];
	let dueOrders = 0;
	let orders = 0;
	for (let atMs = 0; atMs < durationMs; atMs += stepMs) {
		for (dueOrders += ratePerS * stepMs / 1000; dueOrders >= 1; dueOrders--) {
			pending.push(runOrder(journal, orders++));
		}

		await timers.advance(stepMs);
	}

	const writes = store.calls.writes - writesBefore;
	await timers.advance(2000);
	await Promise.all(pending);
	return [ratePerS, writes * 1000 / durationMs, writes / orders, cpuSinceUs(cpu) / orders, journal.sizeBytes / orders];
}

async function runOrder(journal: JournalAuthority, index: number): Promise<void> {
	const attempt = attemptOf(`order-${index}`);
	const {state} = await journal.claim(attempt, repeatWindowMs);
	if (state !== ClaimState.granted) {
		throw new Error(`claim of order ${index} returned ${state} instead of ${ClaimState.granted}`);
	}

	await journal.complete(attempt, OrderResult.done, undefined);
}

async function measureTickets(count: number): Promise<number[]> {
	const timers = new ManualTimerService();
	const tickets = new TicketAuthority(incarnation, timers, {
		repeatWindowMs, maxOrders: 200_000, maxFilters: 4, maxAnswersBytes: 1, maxAnswerBytes: 1,
	});
	const prefix = makeOrderKeyPrefix(incarnation.vm, incarnationId(incarnation), timers.wallClockMs());
	const cpu = process.cpuUsage();
	for (let index = 0; index < count; index++) {
		await tickets.claim(attemptOf(`${prefix}${index}`), repeatWindowMs);
	}

	return [count, tickets.sizeBytes / count, cpuSinceUs(cpu) / count];
}

function attemptOf(orderKey: string): Attempt {
	return {
		key: parseOrderKey(orderKey), id: orderId('workspace-0001', orderKey), claimant: claimantDigest('vm-00001'), contentHash: 1,
	};
}
