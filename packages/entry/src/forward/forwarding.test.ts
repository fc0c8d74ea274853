import test from 'ava';
import {request} from 'undici';
import {MessageType} from '@fescuewick/wire';
import {
	shopKey, startDeployment, testConfiguration, until, type Deployment,
} from '../testing/deployment.js';
import {startRawServer, type RawServer} from '../testing/raw-server.js';

const key = {'x-api-key': shopKey};
const orderBody = 'one notice';
const okAnswer = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok';

type Answer = {status: number; code: string; body: Record<string, unknown>; headers: Record<string, unknown>};

async function order(url: string, orderKey?: string): Promise<Answer> {
	const answer = await request(`${url}/order`, {method: 'POST', body: orderBody, headers: {...key, ...(orderKey === undefined ? {} : {'idempotency-key': orderKey})}});
	const text = await answer.body.text();
	return {
		status: answer.statusCode, code: String(answer.headers['x-fescuewick-code']), headers: answer.headers, body: text.startsWith('{') ? JSON.parse(text) as Record<string, unknown> : {text},
	};
}

function withDeadline(deadlineMs: number): unknown {
	return {...testConfiguration, classes: testConfiguration.classes.map(entry => ({...entry, latenessTargetMs: Math.min(deadlineMs, 200), deadlineMs}))};
}

// Guards against an order that is sent again after its connection broke, or whose loss is called "not run".
test('an order whose connection breaks is sent once and its outcome is unknown', async t => {
	const servers = await Promise.all(['raw-1', 'raw-2'].map(async server => startRawServer(socket => {
		socket.destroy();
	}, {server})));
	const deployment = await startDeployment({records: () => servers.map(({record}) => record)});
	t.teardown(async () => deployment.stop());
	t.teardown(async () => Promise.all(servers.map(async server => server.close())));
	t.like(await order(deployment.url), {code: '1402', body: {outcome: 'unknown'}});
	t.like(await order(deployment.url, 'o-1'), {code: '1402', body: {outcome: 'unknown'}});
	t.like(await order(deployment.url, 'o-1'), {code: '1304', body: {outcome: 'unknown'}});
	t.is(servers[0].requests.length + servers[1].requests.length, 2);
});

// Guards against sending an order a second time after a server refused it: a refused order is not run and the caller may repeat it.
test('an order that a server shed goes to no other server', async t => {
	const deployment = await startDeployment({
		backends: [{slots: 0}, {slots: 0}], records: records => records.map(record => ({...record, slots: 8})),
	});
	t.teardown(async () => deployment.stop());
	t.like(await order(deployment.url, 'o-5'), {code: '1404', body: {outcome: 'not-run'}});
	t.is(deployment.backends[0].observations.shed + deployment.backends[1].observations.shed, 1);
	await until(() => deployment.control.requests.get(MessageType.claimRelease) === 1);
	t.like(await order(deployment.url, 'o-5'), {code: '1404'});
});

// Guards against a request that spends its one repeat on the server that just dropped its connection: that server may have ended.
test('a repeatable request whose kept connection breaks is sent to another server', async t => {
	let isEnding = false;
	const servers: RawServer[] = await Promise.all(['raw-1', 'raw-2'].map(async server => startRawServer(socket => {
		if (isEnding) {
			isEnding = false;
			void servers.find(({record}) => record.server === server)!.close();
		} else {
			socket.write(okAnswer);
		}
	}, {server})));
	const deployment = await startDeployment({records: () => servers.map(({record}) => record)});
	t.teardown(async () => deployment.stop());
	t.teardown(async () => Promise.all(servers.map(async server => server.close())));
	const check = async () => {
		const answer = await request(`${deployment.url}/check`, {headers: key});
		await answer.body.dump();
		return answer.headers['x-fescuewick-code'];
	};

	await until(async () => {
		await Promise.all(Array.from({length: 4}, async () => check()));
		return servers.every(({requests}) => requests.length > 0);
	});
	isEnding = true;
	t.is(await check(), '1000');
	t.false(isEnding);
});

// Guards against calling an order unsure, or losing it, when it never left this VM.
test('an order that reached no socket is not run and can be repeated', async t => {
	const raw = await startRawServer(socket => {
		socket.end(okAnswer);
	});
	const deployment = await startDeployment({
		records: records => [raw.record, ...records.map(record => ({...record, leaving: true}))],
	});
	t.teardown(async () => deployment.stop());
	await raw.close();
	const first = await order(deployment.url, 'o-2');
	t.is(first.body.outcome, 'not-run');
	// 1400 if a probe found the server gone just before.
	t.true(['1400', '1401'].includes(first.code));
	await until(() => deployment.control.requests.get(MessageType.claimRelease) === 1);
	const [record] = deployment.backends.map(({address}) => ({...raw.record, server: 'server-0', address}));
	deployment.control.push({backends: [record]});
	await until(async () => {
		const {code} = await order(deployment.url, 'o-2');
		return code === '1000';
	});
	t.is(deployment.backends[0].observations.runsByOrder.get('o-2'), 1);
});

// Guards against a timed-out request being called "not run" although the server works on it.
test('a request that the server took and did not answer is unknown at its deadline', async t => {
	const deployment = await startDeployment({backends: [{silent: true}], configuration: withDeadline(1000)});
	t.teardown(async () => deployment.stop());
	const startedAt = performance.now();
	t.like(await order(deployment.url, 'o-3'), {status: 504, code: '1403', body: {outcome: 'unknown'}});
	t.true(performance.now() - startedAt < 2000);
	t.is(deployment.backends[0].observations.runs, 1);
});

// Guards against a cut answer that looks complete to the caller.
for (const [name, head] of [['with a length', 'content-length: 10'], ['in chunks', 'transfer-encoding: chunked']] as const) {
	test(`an answer ${name} that is cut reaches the caller as an error`, async t => {
		const raw = await startRawServer(socket => {
			socket.end(`HTTP/1.1 200 OK\r\n${head}\r\n\r\n${name === 'in chunks' ? '2\r\nok\r\n' : 'ok'}`);
		});
		const deployment = await startDeployment({records: () => [raw.record]});
		t.teardown(async () => deployment.stop());
		t.teardown(async () => raw.close());
		await t.throwsAsync(async () => {
			const answer = await request(`${deployment.url}/check`, {headers: key});
			await answer.body.text();
		});
	});
}

// Guards against answers whose cut cannot be noticed.
test('an answer that ends with its connection is refused', async t => {
	const raw = await startRawServer(socket => {
		socket.end('HTTP/1.1 200 OK\r\n\r\nok');
	});
	const deployment = await startDeployment({records: () => [raw.record]});
	t.teardown(async () => deployment.stop());
	t.teardown(async () => raw.close());
	t.like(await order(deployment.url), {code: '1405', body: {outcome: 'unknown'}});
});

// Guards against a late answer reaching another request on the same connection.
test('answers that come after their deadline reach nobody', async t => {
	const raw = await startRawServer((socket, text, count) => {
		const path = text.split(' ')[1];
		const delayMs = count % 3 === 0 ? 250 : 5;
		setTimeout(() => {
			socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${path.length}\r\n\r\n${path}`);
		}, delayMs);
	});
	const deployment = await startDeployment({records: () => [raw.record], configuration: withDeadline(200)});
	t.teardown(async () => deployment.stop());
	t.teardown(async () => raw.close());
	const answered: Array<[path: string, text: string]> = [];
	const call = async (path: string) => {
		const answer = await request(deployment.url + path, {headers: key});
		const text = await answer.body.text();
		if (answer.statusCode === 200) {
			answered.push([path, text]);
		}
	};

	for (let round = 0; round < 5; round++) {
		await Promise.all(Array.from({length: 6}, async (_, index) => call(`/check/${round}-${index}`)));
	}

	t.true(answered.length > 0);
	t.true(answered.every(([path, text]) => path === text));
});

// Guards against giving up on a refused request that another server could take, and against calling it run.
test('a request that a server shed runs on another one; shed by all it is not run', async t => {
	const deployment = await startDeployment({
		backends: [{slots: 0}, {slots: 8}], records: records => records.map(record => ({...record, slots: 8})),
	});
	t.teardown(async () => deployment.stop());
	for (let index = 0; index < 8; index++) {
		const answer = await request(`${deployment.url}/check`, {headers: key});
		await answer.body.dump();
		t.is(answer.headers['x-fescuewick-code'], '1000');
	}

	t.true(deployment.backends[0].observations.shed > 0);
	deployment.backends[1].behaviour.slots = 0;
	const answer = await request(`${deployment.url}/check`, {headers: key});
	t.like(await answer.body.json(), {code: 1404, outcome: 'not-run'});
	t.is(deployment.backends[1].observations.runs, 8);
});

// Guards against retries that multiply an overload: the budget is 10 % of the first attempts and one per second.
test('retries stay within their budget', async t => {
	const deployment = await startDeployment({
		backends: [{slots: 0}, {slots: 0}], records: records => records.map(record => ({...record, slots: 8})),
	});
	t.teardown(async () => deployment.stop());
	await Promise.all(Array.from({length: 100}, async () => {
		const answer = await request(`${deployment.url}/check`, {headers: key});
		await answer.body.dump();
	}));
	const shed = deployment.backends[0].observations.shed + deployment.backends[1].observations.shed;
	t.true(shed > 100 && shed <= 100 + 10 + 10, `${shed} attempts`);
});

// Guards against waiting on one stuck server until the deadline.
test('a hedge answers when the first server is stuck', async t => {
	const deployment = await startDeployment({backends: [{}, {}]});
	t.teardown(async () => deployment.stop());
	for (let index = 0; index < 60; index++) {
		const answer = await request(`${deployment.url}/check`, {headers: key});
		await answer.body.dump();
	}

	await new Promise(resolve => {
		setTimeout(resolve, 600);
	});
	deployment.backends[0].behaviour.silent = true;
	const startedAt = performance.now();
	// Several at once, so that both servers get some.
	const statuses = await Promise.all(Array.from({length: 6}, async () => {
		const answer = await request(`${deployment.url}/check`, {headers: key});
		await answer.body.dump();
		return answer.statusCode;
	}));
	t.deepEqual([...new Set(statuses)], [200]);
	t.true(deployment.backends[0].observations.runs > 0);
	t.true(performance.now() - startedAt < 1000);
});

async function leaveDuring(deployment: Deployment, path: string, headers: Record<string, string>): Promise<void> {
	const abortController = new AbortController();
	const call = request(deployment.url + path, {...(path === '/order' ? {method: 'POST', body: orderBody} : {method: 'GET'}), headers: {...key, ...headers}, signal: abortController.signal});
	await until(() => deployment.backends[0].observations.runs > 0);
	abortController.abort();
	await Promise.allSettled([call]);
}

// Guards against servers working for callers that are gone.
test('work of a caller that leaves is cancelled', async t => {
	const deployment = await startDeployment({backends: [{serviceMs: 300}]});
	t.teardown(async () => deployment.stop());
	await leaveDuring(deployment, '/check', {});
	await until(() => deployment.backends[0].observations.cancelled === 1);
	t.pass();
});

// Guards against losing the answer of an order whose caller was disconnected.
test('an order goes on when its caller leaves, and the repeat gets its answer', async t => {
	const deployment = await startDeployment({backends: [{serviceMs: 200}]});
	t.teardown(async () => deployment.stop());
	await leaveDuring(deployment, '/order', {'idempotency-key': 'o-4'});
	await until(async () => {
		const repeat = await order(deployment.url, 'o-4');
		return repeat.headers['idempotent-replay'] === 'true';
	});
	t.is(deployment.backends[0].observations.runsByOrder.get('o-4'), 1);
});

// Guards against losing an answer that a server gives before it has read the whole body.
test('an early answer reaches a caller that is still sending', async t => {
	const raw = await startRawServer((socket, _text, count) => {
		if (count === 1) {
			socket.write('HTTP/1.1 413 Too Large\r\ncontent-length: 2\r\n\r\nno');
		}
	});
	const deployment = await startDeployment({records: () => [raw.record]});
	t.teardown(async () => deployment.stop());
	t.teardown(async () => raw.close());
	const answer = await request(`${deployment.url}/check`, {method: 'PUT', headers: key, body: 'x'.repeat(4_000_000)});
	t.is(answer.statusCode, 413);
	t.is(await answer.body.text(), 'no');
});

// Guards against failing a repeatable request because the server closed an idle connection.
test('a request on a connection that the server just closed is sent again, also to the same server', async t => {
	const raw = await startRawServer((socket, _text, count) => {
		if (count === 2) {
			socket.destroy();
		} else {
			socket.write(okAnswer);
		}
	});
	const deployment = await startDeployment({records: () => [raw.record]});
	t.teardown(async () => deployment.stop());
	t.teardown(async () => raw.close());
	for (let index = 0; index < 2; index++) {
		const answer = await request(`${deployment.url}/check`, {headers: key});
		t.is(await answer.body.text(), 'ok');
	}

	t.is(raw.requests.length, 3);
});

// Guards against sending an order into a connection that died silently while it was idle.
test('an order uses a connection that was alive within 1 s, or a new one', async t => {
	const sockets: unknown[] = [];
	const raw = await startRawServer(socket => {
		sockets.push(socket);
		socket.write(okAnswer);
	});
	const deployment = await startDeployment({records: () => [raw.record]});
	t.teardown(async () => deployment.stop());
	t.teardown(async () => raw.close());
	await order(deployment.url);
	await order(deployment.url);
	await new Promise(resolve => {
		setTimeout(resolve, 1200);
	});
	await order(deployment.url);
	t.is(sockets[1], sockets[0]);
	t.not(sockets[2], sockets[0]);
});
