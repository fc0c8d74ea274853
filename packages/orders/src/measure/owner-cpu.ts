import process from 'node:process';
import {SystemTimerService, type Incarnation} from '@fescuewick/core';
import {MemoryObjectStore} from '@fescuewick/store';
import {OrderResult} from '@fescuewick/wire';
import {JournalAuthority} from '../journal/journal-authority.js';
import {defaultJournalOptions} from '../journal/journal-options.js';
import {claimantDigest, orderId} from '../order-key/order-id.js';
import {parseOrderKey} from '../order-key/order-key.js';
import {storeLimits} from './fleet-model.js';

const ordersPerTick = 20;
const tickMs = 10;
const ticks = 300;
const answer = {status: 201, headers: {}, body: new Uint8Array(200)};

/** Returns the CPU time in microseconds that an owner of all partitions takes for one claim and its completion, in real time at 2,000 orders/s. Includes the in-process store. */
export async function measureOwnerCpu(): Promise<number> {
	const timers = new SystemTimerService();
	const store = new MemoryObjectStore(timers);
	store.faults.slowMs = storeLimits.serviceTimeMs;
	const incarnation: Incarnation = {vm: 'a', startedAtMs: 1, nonce: '0a'};
	const owner = new JournalAuthority(store, timers, incarnation, defaultJournalOptions);
	const order = async (index: number) => {
		const text = `order-${index}`;
		const attempt = {
			key: parseOrderKey(text), id: orderId('w', text), claimant: claimantDigest(text), contentHash: 1,
		};
		await owner.claim(attempt, defaultJournalOptions.repeatWindowMs);
		await owner.complete(attempt, OrderResult.done, answer);
	};

	const cpu = process.cpuUsage();
	const orders: Array<Promise<void>> = [];
	for (let tick = 0; tick < ticks; tick++) {
		for (let index = 0; index < ordersPerTick; index++) {
			orders.push(order((tick * ordersPerTick) + index));
		}

		await timers.sleep(tickMs);
	}

	await Promise.all(orders);
	const {user, system} = process.cpuUsage(cpu);
	return (user + system) / orders.length;
}
