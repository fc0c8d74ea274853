import test from 'ava';
import {createMemoryLogger, ManualTimerService, type Incarnation} from '@fescuewick/core';
import {FakePeerHub} from '@fescuewick/membership';
import {MemoryObjectStore} from '@fescuewick/store';
import {orderId} from '../order-key/order-id.js';
import {FleetClaimService} from './fleet-claim-service.js';

// Guards against logging a caller's order key, and against claims without a decision log line.
test('each claim logs its order id and state, but not the key', async t => {
	const timers = new ManualTimerService();
	const lines: Array<Record<string, unknown>> = [];
	const incarnation: Incarnation = {vm: 'a1', startedAtMs: 1, nonce: '0a'};
	const peers = new FakePeerHub(timers).add({
		vm: 'a1', failureDomain: 'north', region: 'r', controlAddress: '', entryUrl: '', lookupUrl: '', adminUrl: '', leaving: false,
	}, incarnation);
	const service = new FleetClaimService({
		peers, store: new MemoryObjectStore(timers), timers, logger: createMemoryLogger(lines),
	});
	service.start();
	const claim = service.claim({
		workspace: 'w', orderKey: 'summons-of-a-debtor', claimant: 'c', repeatWindowMs: 1000,
	});
	await timers.advance(2000);
	await claim;
	const line = lines.find(({decision}) => decision === 'claim');
	t.is(line?.orderId, orderId('w', 'summons-of-a-debtor').hex);
	t.is(line?.state, 'granted');
	t.is(line?.authority, 'a1');
	t.false(JSON.stringify(lines).includes('summons'));
	await t.throwsAsync(async () => service.claim({
		workspace: 'w', orderKey: 'not valid', claimant: 'c', repeatWindowMs: 1000,
	}), {any: true, code: 1308});
});
