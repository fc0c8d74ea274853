import test from 'ava';
import {request} from 'undici';
import {shopKey, startDeployment} from './testing/deployment.js';

// Guards against a request that is not forwarded as sent, or that leaks the key.
test('a keyed request is answered by a backend server that does not receive the key', async t => {
	const deployment = await startDeployment();
	t.teardown(async () => deployment.stop());
	const answer = await request(`${deployment.url}/check/1?x=2`, {headers: {'X-Api-Key': shopKey, 'x-fescuewick-workspace': 'other'}});
	t.is(answer.statusCode, 200);
	t.is(answer.headers['x-fescuewick-code'], '1000');
	t.like(await answer.body.json(), {path: '/check/1?x=2', workspace: 'shop'});
	t.deepEqual(deployment.backends[0].observations.keyHeadersSeen, []);
});

// Guards against long bodies that are truncated or corrupted.
test('a long body is streamed to the backend server and back unchanged', async t => {
	const deployment = await startDeployment();
	t.teardown(async () => deployment.stop());
	const body = 'abcdefgh'.repeat(50_000);
	const answer = await request(`${deployment.url}/check`, {method: 'PUT', headers: {authorization: `bearer ${shopKey}`}, body});
	const echoed = await answer.body.json() as {body: string};
	t.true(echoed.body === body);
});

// Guards against accepting requests without a valid key.
test('missing and unknown keys are refused with their result codes', async t => {
	const deployment = await startDeployment();
	t.teardown(async () => deployment.stop());
	for (const [headers, code] of [[{}, '1102'], [{'x-api-key': 'wrong'}, '1103'], [{authorization: 'Basic x'}, '1103']] as const) {
		const answer = await request(`${deployment.url}/check`, {headers});
		t.is(answer.headers['x-fescuewick-code'], code);
		t.like(await answer.body.json(), {outcome: 'not-run'});
	}

	t.is(deployment.backends[0].observations.runs, 0);
});
