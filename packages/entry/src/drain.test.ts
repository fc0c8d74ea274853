import {connect} from 'node:net';
import test from 'ava';
import {Agent, request} from 'undici';
import {createMemoryLogger} from '@fescuewick/core';
import {shopKey, startDeployment, until} from './testing/deployment.js';

const headers = {'x-api-key': shopKey};

// Guards against a drain that interrupts or refuses requests.
test('a drain interrupts no request, makes callers close their connections and returns the shares', async t => {
	const lines: Array<Record<string, unknown>> = [];
	const deployment = await startDeployment({backends: [{serviceMs: 150}], limits: {drainAcceptMs: 300}, logger: createMemoryLogger(lines)});
	const dispatcher = new Agent({connections: 4});
	t.teardown(async () => dispatcher.destroy());
	t.teardown(async () => deployment.stop());
	let drained = false;
	const codes: string[] = [];
	const closing: unknown[] = [];
	const call = async () => {
		const answer = await request(`${deployment.url}/check`, {headers, dispatcher});
		await answer.body.dump();
		codes.push(String(answer.headers['x-fescuewick-code']));
		closing.push(answer.headers.connection);
	};

	await call();
	const drain = (async () => {
		await deployment.entry.drain();
		drained = true;
	})();
	const readiness = await request(`${deployment.entry.adminUrl}/readyz`);
	t.is(readiness.statusCode, 503);
	await readiness.body.dump();
	// The last of these requests is still running when the VM stops accepting.
	await Promise.all([call(), call()]);
	await call();
	t.false(drained);
	await drain;
	t.deepEqual(codes, ['1000', '1000', '1000', '1000']);
	t.deepEqual(closing.slice(1), ['close', 'close', 'close']);
	t.is(deployment.control.returned.length, 1);
	t.true(deployment.control.drainStates.some(({draining}) => draining));
	t.true(lines.some(line => line.msg === 'drain finished' && typeof line.durationMs === 'number' && line.inFlight === 0));
	await t.throwsAsync(async () => request(`${deployment.url}/check`, {headers}));
});

// Guards against a connection that is closed behind one answer while servers run the requests behind it.
test('requests that were sent ahead are answered during a drain, and none is run behind the answer that closes the connection', async t => {
	const deployment = await startDeployment({backends: [{serviceMs: 400}], limits: {drainAcceptMs: 300}});
	t.teardown(async () => deployment.stop());
	const {hostname, port} = new URL(deployment.url);
	const socket = connect({port: Number(port), host: hostname, allowHalfOpen: true});
	let received = '';
	socket.on('data', chunk => {
		received += String(chunk);
	});
	const get = `GET /check HTTP/1.1\r\nhost: a\r\nx-api-key: ${shopKey}\r\n\r\n`;
	socket.write(get.repeat(3));
	await until(() => deployment.backends[0].observations.runs === 3);
	const drain = deployment.entry.drain();
	// The answer to a request without a route is written at once and ends the connection, so the one behind it counts as not read.
	socket.write('GET /none HTTP/1.1\r\nhost: a\r\n\r\n');
	await new Promise(resolve => {
		setTimeout(resolve, 100);
	});
	socket.write(get);
	await until(() => socket.readableEnded);
	socket.end();
	t.deepEqual(received.match(/HTTP\/1.1 \d+/g), ['HTTP/1.1 200', 'HTTP/1.1 200', 'HTTP/1.1 200', 'HTTP/1.1 404']);
	t.is(received.match(/connection: close/gi)?.length, 1);
	t.is(deployment.backends[0].observations.runs, 3);
	await drain;
});

// Guards against a drain that ends before an order is answered and its outcome is reported.
test('a drain waits for the last in-flight request', async t => {
	const deployment = await startDeployment({backends: [{serviceMs: 500}], limits: {drainAcceptMs: 50}});
	t.teardown(async () => deployment.stop());
	const running = request(`${deployment.url}/order`, {method: 'POST', headers: {...headers, 'idempotency-key': 'o-1'}});
	await until(() => deployment.backends[0].observations.runs === 1);
	const drain = deployment.entry.drain();
	const answer = await running;
	t.is(answer.headers['x-fescuewick-code'], '1000');
	await answer.body.dump();
	await drain;
	t.is(deployment.backends[0].observations.runsByOrder.get('o-1'), 1);
});

// Guards against refusing requests during a restart of the control daemon, and against serving them without a valid grant.
test('requests are served without a control daemon until the grants expire', async t => {
	const deployment = await startDeployment();
	t.teardown(async () => deployment.stop());
	await deployment.control.stop();
	const call = async () => {
		const answer = await request(`${deployment.url}/check`, {headers});
		await answer.body.dump();
		return String(answer.headers['x-fescuewick-code']);
	};

	t.is(await call(), '1000');
	await new Promise(resolve => {
		setTimeout(resolve, 4200);
	});
	t.is(await call(), '1205');
});

// Guards against a drain that takes minutes because the outcome of an order can no longer be reported.
test('a drain ends within 10 s although the control daemon has stopped', async t => {
	const deployment = await startDeployment({backends: [{serviceMs: 300}], limits: {drainAcceptMs: 50}});
	t.teardown(async () => deployment.stop());
	const running = request(`${deployment.url}/order`, {method: 'POST', headers: {...headers, 'idempotency-key': 'o-1'}});
	await until(() => deployment.backends[0].observations.runs === 1);
	await deployment.control.stop();
	const startedMs = performance.now();
	const drain = deployment.entry.drain();
	const answer = await running;
	t.is(answer.statusCode, 200);
	await answer.body.dump();
	await drain;
	t.true(performance.now() - startedMs < 10_000);
});
