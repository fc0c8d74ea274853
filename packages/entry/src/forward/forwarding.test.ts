import test from 'ava';
import {request} from 'undici';
import {MessageType} from '@fescuewick/wire';
import {
	shopKey, startDeployment, testConfiguration, until, type Deployment,
} from '../testing/deployment.js';
import {sendRaw, startRawServer, type RawServer} from '../testing/raw-server.js';

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

// Guards against resending an order after its connection broke, and against reporting it as not run.
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

// Guards against resending an order that a server refused: it is reported as not run, and only the caller may repeat it.
test('an order that a server shed is not sent to another server', async t => {
	const deployment = await startDeployment({
		backends: [{slots: 0}, {slots: 0}], records: records => records.map(record => ({...record, slots: 8})),
	});
	t.teardown(async () => deployment.stop());
	t.like(await order(deployment.url, 'o-5'), {code: '1404', body: {outcome: 'not-run'}});
	t.is(deployment.backends[0].observations.shed + deployment.backends[1].observations.shed, 1);
	await until(() => deployment.control.requests.get(MessageType.claimRelease) === 1);
	t.like(await order(deployment.url, 'o-5'), {code: '1404'});
});

// Guards against using the only retry of a request on the server that just closed its connection, because that server may have stopped.
test('a repeatable request whose idle connection breaks is retried on another server', async t => {
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

// Guards against reporting the outcome of an order as unknown, or keeping its claim, although it was never sent.
test('an order that was never sent is reported as not run and can be repeated', async t => {
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
	// The code is 1400 if a probe failed before the request was sent.
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

// Guards against reporting a timed-out request as not run although the server is processing it.
test('the outcome of a request that was sent but not answered by its deadline is unknown', async t => {
	const deployment = await startDeployment({backends: [{silent: true}], configuration: withDeadline(1000)});
	t.teardown(async () => deployment.stop());
	const startedAt = performance.now();
	t.like(await order(deployment.url, 'o-3'), {status: 504, code: '1403', body: {outcome: 'unknown'}});
	t.true(performance.now() - startedAt < 2000);
	t.is(deployment.backends[0].observations.runs, 1);
});

// Guards against a truncated answer that looks complete to the caller.
for (const [name, head] of [['with a length', 'content-length: 10'], ['in chunks', 'transfer-encoding: chunked']] as const) {
	test(`an answer ${name} that is truncated reaches the caller as an error`, async t => {
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

// Guards against answers without a defined length, whose truncation cannot be detected.
test('an answer that is delimited by the end of its connection is refused', async t => {
	const raw = await startRawServer(socket => {
		socket.end('HTTP/1.1 200 OK\r\n\r\nok');
	});
	const deployment = await startDeployment({records: () => [raw.record]});
	t.teardown(async () => deployment.stop());
	t.teardown(async () => raw.close());
	t.like(await order(deployment.url), {code: '1405', body: {outcome: 'unknown'}});
});

// Guards against a late answer reaching another request on the same connection.
test('answers that arrive after their deadline are discarded', async t => {
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

// Guards against failing a shed request that another server could run, and against reporting it as run.
test('a request that a server shed runs on another one; if all servers shed it, it is reported as not run', async t => {
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

// Guards against retries that amplify an overload: the budget is 10 % of the first attempts and one per second.
test('retries stay within the retry budget', async t => {
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

// Guards against waiting for an unresponsive server until the deadline.
test('a hedge is answered when the first server does not respond', async t => {
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
	// Several concurrent requests, so that both servers get some.
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

// Guards against servers processing requests whose callers have disconnected.
test('a repeatable request is cancelled when its caller disconnects', async t => {
	const deployment = await startDeployment({backends: [{serviceMs: 300}]});
	t.teardown(async () => deployment.stop());
	await leaveDuring(deployment, '/check', {});
	await until(() => deployment.backends[0].observations.cancelled === 1);
	t.pass();
});

// Guards against losing the answer of an order whose caller disconnected.
test('an order continues when its caller disconnects, and a repeat gets its answer', async t => {
	const deployment = await startDeployment({backends: [{serviceMs: 200}]});
	t.teardown(async () => deployment.stop());
	await leaveDuring(deployment, '/order', {'idempotency-key': 'o-4'});
	await until(async () => {
		const repeat = await order(deployment.url, 'o-4');
		return repeat.headers['idempotent-replay'] === 'true';
	});
	t.is(deployment.backends[0].observations.runsByOrder.get('o-4'), 1);
});

// Guards against losing an answer that a server sends before it has read the whole body.
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

// Guards against a connection that is never read again because nobody reads the rest of an upload.
test('a request behind an upload that its server answered early is answered', async t => {
	const raw = await startRawServer((socket, text) => {
		if (/^(?:PUT|GET) /.test(text)) {
			socket.write(okAnswer);
		}
	});
	const deployment = await startDeployment({records: () => [raw.record]});
	t.teardown(async () => deployment.stop());
	t.teardown(async () => raw.close());
	const body = 'x'.repeat(4_000_000);
	const headers = `host: a\r\nx-api-key: ${shopKey}\r\n`;
	const received = await sendRaw(deployment.url, `PUT /check HTTP/1.1\r\n${headers}content-length: ${body.length}\r\n\r\n${body}`, `GET /check HTTP/1.1\r\n${headers}connection: close\r\n\r\n`);
	t.deepEqual(received.match(/HTTP\/1.1 \d+/g), ['HTTP/1.1 200', 'HTTP/1.1 200']);
});

// Guards against failing a repeatable request because the server closed an idle connection.
test('a request on a connection that the server just closed is retried, even on the same server', async t => {
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

// Guards against sending an order on an idle connection that broke without notice.
test('an order uses a connection with an answer in the last 1 s, or a new one', async t => {
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
