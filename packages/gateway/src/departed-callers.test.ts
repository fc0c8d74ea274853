import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {Collection} from '@fescuewick/store';
import {type BackendRecord} from './model/records.js';
import {answerNotRun, answerOk} from './testing/fake-backend-server.js';
import {configuration, route} from './testing/fixtures.js';
import {
	addBackend, start, statusOf, waitUntil,
} from './testing/gateway-steps.js';
import {storeWith} from './testing/start-gateway.js';

const repeatableText = 'GET /check/1 HTTP/1.1\r\nhost: 127.0.0.1\r\ntest-key: key-acme\r\n\r\n';
const orderHead = 'POST /reserve/1 HTTP/1.1\r\nhost: 127.0.0.1\r\ntest-key: key-acme\r\ncontent-length: 1\r\n\r\n';

/** Time after which a request that was sent would have reached a server. */
const settleMs = 300;

/** Starts a gateway that has open connections to its servers, so that it can send to them at once. */
async function startWithServers(t: ExecutionContext, ids = ['s1']) {
	const store = storeWith(configuration(1, {
		routes: [route({targetMs: 2000}), route({name: 'reserve', pathPrefix: '/reserve/', isRepeatable: false})],
	}));
	const servers = await Promise.all(ids.map(async id => addBackend(t, store, {
		id, onRequest(socket, request) {
			setTimeout(() => {
				answerOk(socket, request);
			}, 50);
		},
	})));
	const {settings, lines, call} = await start(t, {store});
	const responses = await Promise.all(Array.from({length: 4 * ids.length}, async () => call('/check/1')));
	t.true(responses.every(({status}) => status === 200));
	for (const server of servers) {
		t.true(server.requests.length > 1);
		server.requests.length = 0;
	}

	const [host, port] = settings.listen.entry.split(':');
	const connectCaller = async (): Promise<Socket> => {
		const socket = connect(Number(port), host);
		await once(socket, 'connect');
		await sleep(50);
		return socket;
	};

	const hasCallerLeft = () => lines.some(({event, outcome}) => event === 'request' && outcome === 'callerLeft');
	return {
		store, servers, call, connectCaller, hasCallerLeft,
	};
}

// What is written in one turn of the event loop reaches the gateway at the same time, as after a stall of its VM.

for (const [kind, text] of [['repeatable request', repeatableText], ['order', `${orderHead}x`]]) {
	test.serial(`a caller's ${kind} is not sent to a server if the caller left before it was read`, async t => {
		const {servers: [server], connectCaller, hasCallerLeft} = await startWithServers(t);
		const caller = await connectCaller();
		caller.write(text);
		caller.destroy();
		await sleep(settleMs);
		t.deepEqual(server.requests, []);
		t.true(hasCallerLeft());
	});
}

test.serial('an order is not sent to a server if its caller left before the body was read', async t => {
	const {servers: [server], connectCaller, hasCallerLeft} = await startWithServers(t);
	const caller = await connectCaller();
	caller.write(orderHead);
	await sleep(50);
	caller.write('x');
	caller.destroy();
	await sleep(settleMs);
	t.deepEqual(server.requests, []);
	t.true(hasCallerLeft());
});

test.serial('a queued request is not sent to a server if its caller left before a slot became free', async t => {
	const {store, servers: [server], call, connectCaller, hasCallerLeft} = await startWithServers(t);
	store.set(Collection.backends, 's1', {...store.recordValue(Collection.backends, 's1') as BackendRecord, slots: 1});
	await sleep(50);
	let answerFirst: (() => void) | undefined;
	server.onRequest = (socket, request) => {
		answerFirst = () => {
			answerOk(socket, request);
		};
	};

	const first = call('/check/1');
	await waitUntil(() => answerFirst !== undefined);
	const caller = await connectCaller();
	caller.write(repeatableText);
	await sleep(50);
	answerFirst!();
	caller.destroy();
	t.is(await statusOf(first), 200);
	await sleep(settleMs);
	t.is(server.requests.length, 1);
	t.true(hasCallerLeft());
});

test.serial('a request that a server did not run is not sent to another one if its caller left', async t => {
	const {servers, connectCaller, hasCallerLeft} = await startWithServers(t, ['s1', 's2']);
	const caller = await connectCaller();
	for (const rejecting of servers) {
		rejecting.onRequest = (socket, request) => {
			answerNotRun(socket, request);
			caller.destroy();
		};
	}

	caller.write(repeatableText);
	await sleep(settleMs);
	t.is(servers[0].requests.length + servers[1].requests.length, 1);
	t.true(hasCallerLeft());
});

test.serial('a request that waits behind another one on its connection is cancelled when the caller leaves', async t => {
	// Guards against a server that works on a pipelined request for a caller that has left.
	const {servers: [server], connectCaller} = await startWithServers(t);
	server.onRequest = () => undefined;
	const caller = await connectCaller();
	caller.write(repeatableText + repeatableText);
	await waitUntil(() => server.requests.length === 2);
	const closedBefore = server.closedConnections;
	caller.destroy();
	await sleep(settleMs);
	t.is(server.closedConnections - closedBefore, 2);
});
