import process from 'node:process';
import test, {registerCompletionHandler} from 'ava';
import {sha256Hex} from '@fescuewick/core';
import {
	call, ContinuousLoad, sleep, waitUntil,
} from './caller.js';
import {ProcessFleet} from './process-fleet.js';

// Connections that stay open after the tests would keep the test process running.
registerCompletionHandler(() => {
	process.exit();
});

const storePauseMs = 10_000;
const revocationTimeoutMs = 5000;
const revokedKey = 'demo-key-shop-piazza';

// Guards against a store outage that stops requests, or during which a revoked key continues to be accepted.
test.serial('while the store does not respond, requests are served and a key revoked at one VM is rejected at both', async t => {
	const fleet = await ProcessFleet.start(t);
	const loads = fleet.vms.map(({record}) => new ContinuousLoad(2, 20, async () => call(record.entryUrl)));
	const revokedLoads = fleet.vms.map(({record}) => new ContinuousLoad(1, 50, async () => call(record.entryUrl, {apiKey: revokedKey})));
	await waitUntil('the key works at both VMs', () => revokedLoads.every(({results}) => results.at(-1)?.status === 200));
	fleet.storeProcess.signal('SIGSTOP');
	const storePausedAtMs = performance.now();
	await sleep(storePauseMs / 2);
	t.true(revokedLoads.every(({results}) => results.at(-1)?.status === 200));
	const revokedAtMs = performance.now();
	const response = await fetch(`${fleet.vms[0].record.adminUrl}/v1/revocations`, {
		method: 'POST', headers: {'content-type': 'application/json'}, body: JSON.stringify({keyHashes: [sha256Hex(revokedKey)]}),
	});
	t.is(response.status, 200);
	await waitUntil('the key is refused at both VMs', () => revokedLoads.every(({results}) => results.at(-1)?.code === 1110), revocationTimeoutMs);
	await sleep(Math.max(0, storePauseMs - (performance.now() - storePausedAtMs)));
	fleet.storeProcess.signal('SIGCONT');
	await waitUntil('the store answers again', async () => {
		await fleet.store.read('config/head');
		return true;
	});
	await sleep(3000);
	for (const {results} of revokedLoads) {
		const afterRevocation = results.filter(({sentAtMs}) => sentAtMs > revokedAtMs + revocationTimeoutMs);
		t.true(afterRevocation.length > 10);
		t.deepEqual(afterRevocation.filter(({code}) => code !== 1110), []);
	}

	await Promise.all(revokedLoads.map(async load => load.stop()));
	for (const load of loads) {
		const results = await load.stop();
		const failed = results.filter(({status}) => status !== 200);
		t.deepEqual(failed.slice(0, 3), [], `${failed.length} of ${results.length} failed`);
	}
});
