import test from 'ava';
import {Agent, request} from 'undici';
import {sha256Hex} from '@fescuewick/core';
import {
	shopKey, startDeployment, testConfiguration, until, type Deployment,
} from '../testing/deployment.js';

const key = {'x-api-key': shopKey};
const revokedKeyHashes = [sha256Hex(shopKey)];

async function code(deployment: Deployment, path: string, headers: Record<string, string> = key, dispatcher?: Agent): Promise<string> {
	const answer = await request(deployment.url + path, {headers, dispatcher, method: path === '/order' ? 'POST' : 'GET'});
	await answer.body.dump();
	return String(answer.headers['x-fescuewick-code']);
}

// Guards against a revoked key that is still accepted on a connection on which it was used before.
test('only the revoked key is refused on a connection that is already open', async t => {
	const deployment = await startDeployment();
	const dispatcher = new Agent({connections: 1});
	t.teardown(async () => deployment.stop());
	t.teardown(async () => dispatcher.destroy());
	t.is(await code(deployment, '/check', key, dispatcher), '1000');
	deployment.control.push({revokedKeyHashes});
	await until(async () => await code(deployment, '/check', key, dispatcher) === '1110');
	t.is(await code(deployment, '/check', {'x-api-key': 'key-of-other'}), '1000');
	// A revocation stays in force even if a later snapshot does not list it.
	deployment.control.push({revokedKeyHashes: [], revision: 2});
	t.is(await code(deployment, '/check'), '1110');
});

// Guards against running requests that were queued before their key was revoked.
test('a queued request of a revoked key does not run', async t => {
	const deployment = await startDeployment({backends: [{slots: 1, serviceMs: 600}]});
	t.teardown(async () => deployment.stop());
	const running = code(deployment, '/check', {'x-api-key': 'key-of-other'});
	await until(() => deployment.backends[0].observations.runs === 1);
	const queued = code(deployment, '/check');
	await until(async () => {
		const metrics = await request(`${deployment.entry.adminUrl}/metrics`);
		const text = await metrics.body.text();
		return text.includes('fescuewick_entry_queued_requests{service="booking"} 1');
	});
	deployment.control.push({revokedKeyHashes});
	t.is(await queued, '1110');
	t.is(await running, '1000');
	t.is(deployment.backends[0].observations.runs, 1);
});

// Guards against a request that runs until its deadline although its key was revoked.
test('a running request of a revoked key ends within seconds', async t => {
	const configuration = {...testConfiguration, classes: testConfiguration.classes.map(entry => ({...entry, deadlineMs: 20_000}))};
	const deployment = await startDeployment({backends: [{silent: true}], configuration});
	t.teardown(async () => deployment.stop());
	const running = code(deployment, '/check');
	await until(() => deployment.backends[0].observations.runs === 1);
	deployment.control.push({revokedKeyHashes});
	const startedAt = performance.now();
	t.is(await running, '1402');
	t.true(performance.now() - startedAt < 3500);
});

// Guards against accepting keys that may have been revoked meanwhile, and against refusing open routes when keys are stale.
test('stale keys are refused after the time limit of their class; open routes are served', async t => {
	const deployment = await startDeployment({snapshot: {keysAgeMs: 6000}});
	t.teardown(async () => deployment.stop());
	t.is(await code(deployment, '/order'), '1104');
	t.is(await code(deployment, '/check'), '1000');
	t.is(await code(deployment, '/open', {}), '1000');
	deployment.control.push({keysAgeMs: 10_000});
	// An older confirmation does not replace a newer one.
	t.is(await code(deployment, '/check'), '1000');
});

// Guards against accepting keys whose freshness was never confirmed.
test('keys whose freshness was never confirmed are refused', async t => {
	const deployment = await startDeployment({snapshot: {keysAgeMs: undefined}});
	t.teardown(async () => deployment.stop());
	await until(async () => await code(deployment, '/check') !== '1200');
	t.is(await code(deployment, '/check'), '1104');
	const readiness = await fetch(`${deployment.entry.adminUrl}/readyz`);
	t.is(readiness.status, 503);
});

// Guards against accepting a removed key, and against reverting to an older configuration.
test('a removed key is unknown, and an older revision does not restore it', async t => {
	const deployment = await startDeployment();
	t.teardown(async () => deployment.stop());
	deployment.control.push({revision: 3, configuration: {...testConfiguration, keys: []}});
	await until(async () => await code(deployment, '/check') === '1103');
	deployment.control.push({revision: 2, configuration: testConfiguration, keysAgeMs: 0});
	await until(async () => await code(deployment, '/open', {}) === '1000');
	t.is(await code(deployment, '/check'), '1103');
});
