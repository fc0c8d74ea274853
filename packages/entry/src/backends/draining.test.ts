import test from 'ava';
import {request} from 'undici';
import {
	shopKey, startDeployment, until, type Deployment,
} from '../testing/deployment.js';

async function callFor(deployment: Deployment, durationMs: number): Promise<string[]> {
	const codes: string[] = [];
	const endsAt = performance.now() + durationMs;
	while (performance.now() < endsAt) {
		const answer = await request(`${deployment.url}/check`, {headers: {'x-api-key': shopKey}});
		await answer.body.dump();
		codes.push(String(answer.headers['x-fescuewick-code']));
	}

	return codes;
}

// Guards against new requests to a server more than 2 s after it announced its shutdown, and against refused requests meanwhile.
test('a server that announces its shutdown gets no new requests after 2 s', async t => {
	const deployment = await startDeployment({backends: [{}, {}]});
	t.teardown(async () => deployment.stop());
	deployment.backends[0].behaviour.draining = true;
	const codes = await callFor(deployment, 1800);
	const {runs} = deployment.backends[0].observations;
	codes.push(...await callFor(deployment, 300));
	t.is(deployment.backends[0].observations.runs, runs);
	deployment.backends[0].behaviour.draining = false;
	await until(async () => {
		// The other server has fewer slots than there are callers.
		const calls = await Promise.all(Array.from({length: 12}, async () => callFor(deployment, 50)));
		codes.push(...calls.flat());
		return deployment.backends[0].observations.runs > runs;
	});
	t.deepEqual([...new Set(codes)], ['1000']);
});

// Guards against failed requests when a server stops without announcing it.
test('repeatable requests are retried on another server when a server stops unannounced', async t => {
	const deployment = await startDeployment({backends: [{}, {}]});
	t.teardown(async () => deployment.stop());
	await callFor(deployment, 100);
	await deployment.backends[0].close();
	const codes = await callFor(deployment, 1800);
	t.deepEqual([...new Set(codes)], ['1000']);
});
