import {connect, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {Collection} from '@fescuewick/store';
import {
	answerNotRun, answerOk, headerOf, type RequestListener,
} from './testing/fake-backend-server.js';
import {
	configuration, route, workspace,
} from './testing/fixtures.js';
import {
	addBackend, resultCodeOf, start, statusOf, waitUntil,
} from './testing/gateway-steps.js';
import {startGateway, storeWith} from './testing/start-gateway.js';

test('a request is forwarded with its workspace and without its API key', async t => {
	const store = storeWith(configuration(1));
	const server = await addBackend(t, store, {id: 's1'});
	const {call, lines} = await start(t, {store});
	const response = await call('/check/1?x=2', {headers: {'test-id': 'r-1', 'test-workspace': 'other', 'test-time-left': '900'}});
	t.is(response.status, 200);
	t.is(await response.text(), 'ok');
	const [received] = server.requests;
	t.true(received.head.startsWith('GET /check/1?x=2 HTTP/1.1'));
	t.is(headerOf(received, 'test-workspace'), 'acme');
	t.is(headerOf(received, 'test-server'), 's1');
	t.is(headerOf(received, 'test-key'), '');
	t.true(Number(headerOf(received, 'test-time-left')) <= 900);
	t.like(lines.find(({event}) => event === 'request'), {
		id: 'r-1', server: 's1', outcome: 'ok', configuration: 1,
	});
});

test('requests without a route, without a key or with an unknown key are refused', async t => {
	const store = storeWith(configuration(1));
	const {call} = await start(t, {store});
	t.is(await statusOf(call('/other/')), 404);
	t.is(await statusOf(call('/check/1', {headers: {'test-key': 'no'}})), 401);
	t.is(await statusOf(call('/check/1', {headers: {'test-key': ''}})), 401);
});

test('a header name with a space before the colon is refused', async t => {
	// Guards against a header that this process and a server read differently; some versions of Node.js accept it.
	const store = storeWith(configuration(1));
	const server = await addBackend(t, store, {id: 's1'});
	const {settings} = await start(t, {store});
	const [host, port] = settings.listen.entry.split(':');
	const socket = connect(Number(port), host);
	socket.write('GET /check/1 HTTP/1.1\r\nhost: 127.0.0.1\r\ntest-key: key-acme\r\ntest-workspace : other\r\nconnection: close\r\n\r\n');
	const chunks: string[] = [];
	for await (const chunk of socket) {
		chunks.push(String(chunk));
	}

	t.regex(chunks.join(''), /^HTTP\/1\.1 400 /);
	t.is(server.requests.length, 0);
});

test('a VM without a configuration refuses requests with a retry time and is not ready', async t => {
	// Guards against 404 and 401 for routes and keys that are not loaded yet.
	const store = storeWith(configuration(1));
	store.setDown(true);
	const {call, settings} = await start(t, {store});
	const response = await call('/check/1');
	t.is(response.status, 503);
	t.true(Number(response.headers.get('retry-after')) > 0);
	t.is(await statusOf(fetch(`http://${settings.listen.readiness}/ready`)), 503);
	store.setDown(false);
	await waitUntil(async () => await statusOf(fetch(`http://${settings.listen.readiness}/ready`)) === 200);
});

test('an order that a server may have run is not retried at another server', async t => {
	// Guards against reservations that are run twice.
	const store = storeWith(configuration(1));
	const servers = await Promise.all(['s1', 's2'].map(async id => addBackend(t, store, {
		id, onRequest(socket) {
			socket.destroy();
		},
	})));
	const {call} = await start(t, {store});
	const response = await call('/reserve/1', {method: 'POST', body: 'x'});
	t.is(response.status, 502);
	t.is(servers[0].requests.length + servers[1].requests.length, 1);
});

test('an order that a server did not run is retried at another server', async t => {
	const store = storeWith(configuration(1));
	let rejections = 0;
	const onRequest: RequestListener = (socket, request) => {
		if (rejections === 0) {
			rejections++;
			answerNotRun(socket, request);
		} else {
			answerOk(socket, request);
		}
	};

	await addBackend(t, store, {id: 's1', onRequest});
	await addBackend(t, store, {id: 's2', onRequest});
	const {call} = await start(t, {store});
	t.is(await statusOf(call('/reserve/1', {method: 'POST', body: 'x'})), 200);
	t.is(rejections, 1);
});

test('a refusal after rejections by all servers carries a retry time', async t => {
	const store = storeWith(configuration(1));
	await addBackend(t, store, {id: 's1', onRequest: answerNotRun});
	const {call} = await start(t, {store});
	const response = await call('/reserve/1', {method: 'POST', body: 'x'});
	t.is(response.status, 503);
	t.true(Number(response.headers.get('retry-after')) > 0);
});

test('a 503 of a server without the statement that it did not run the request is not passed on', async t => {
	const store = storeWith(configuration(1));
	await addBackend(t, store, {
		id: 's1', onRequest(socket, request) {
			socket.write(`HTTP/1.1 503 Busy\r\ntest-id: ${headerOf(request, 'test-id')}\r\ntest-proof: 1\r\ncontent-length: 0\r\n\r\n`);
		},
	});
	const {call} = await start(t, {store});
	t.is(await statusOf(call('/reserve/1', {method: 'POST', body: 'x'})), 502);
});

test('a server\'s error answer is passed on when no other server can be tried', async t => {
	// Guards against a "not run" refusal after the request was run, and against the loss of the answer received.
	const store = storeWith(configuration(1));
	await addBackend(t, store, {
		id: 's1', onRequest(socket, request) {
			socket.write(`HTTP/1.1 500 Broken\r\ntest-id: ${headerOf(request, 'test-id')}\r\ntest-proof: 1\r\ncontent-length: 4\r\n\r\noops`);
		},
	});
	const {call} = await start(t, {store});
	const response = await call('/check/1');
	t.is(response.status, 500);
	t.is(await response.text(), 'oops');
});

test('a repeatable request that may have run is not refused as "not run" when no other server is left', async t => {
	const store = storeWith(configuration(1));
	await addBackend(t, store, {
		id: 's1', onRequest(socket) {
			socket.destroy();
		},
	});
	const {call} = await start(t, {store});
	t.is(await statusOf(call('/check/1')), 502);
});

// Tests that measure times run serially: two dozen gateways that start in this process block its event loop for 200 ms at a time on a busy machine.
test.serial('a slow request goes on when there is no second server for a hedged attempt', async t => {
	// Guards against abandoning an attempt that would still be answered.
	const store = storeWith(configuration(1));
	await addBackend(t, store, {
		id: 's1', onRequest(socket, request) {
			setTimeout(() => {
				answerOk(socket, request);
			}, 1500);
		},
	});
	const {call} = await start(t, {store});
	t.is(await statusOf(call('/check/1')), 200);
});

test.serial('a request with a hedged attempt is not sent to a third server', async t => {
	// Guards against more runs than the route allows: the silent first server may still be running the request when the second one fails.
	const store = storeWith(configuration(1));
	let arrivals = 0;
	const onRequest: RequestListener = (socket, request) => {
		arrivals++;
		if (arrivals > 1) {
			socket.write(`HTTP/1.1 500 Broken\r\ntest-id: ${headerOf(request, 'test-id')}\r\ntest-proof: 1\r\ncontent-length: 4\r\n\r\noops`);
		}
	};

	await Promise.all(['s1', 's2', 's3'].map(async id => addBackend(t, store, {id, onRequest})));
	const {call} = await start(t, {store});
	t.is(await statusOf(call('/check/1')), 500);
	t.is(arrivals, 2);
});

const invalidAnswers: Record<string, RequestListener> = {
	'belongs to another request'(socket) {
		socket.write('HTTP/1.1 200 OK\r\ntest-id: another\r\ntest-proof: 1\r\ncontent-length: 2\r\n\r\nok');
	},
	'has no proof of the server'(socket, request) {
		socket.write(`HTTP/1.1 200 OK\r\ntest-id: ${headerOf(request, 'test-id')}\r\ncontent-length: 2\r\n\r\nok`);
	},
	'ends within a chunked body'(socket, request) {
		socket.end(`HTTP/1.1 200 OK\r\ntest-id: ${headerOf(request, 'test-id')}\r\ntest-proof: 1\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n`);
	},
	'is shorter than its length'(socket, request) {
		socket.end(`HTTP/1.1 200 OK\r\ntest-id: ${headerOf(request, 'test-id')}\r\ntest-proof: 1\r\nconnection: close\r\ncontent-length: 9\r\n\r\nhello`);
	},
	'has no length and ends with a reset'(socket, request) {
		socket.write(`HTTP/1.1 200 OK\r\ntest-id: ${headerOf(request, 'test-id')}\r\ntest-proof: 1\r\nconnection: close\r\n\r\nhello`, () => {
			socket.resetAndDestroy();
		});
	},
	'is not HTTP'(socket) {
		socket.end('what?\r\n\r\n');
	},
};

for (const [name, onRequest] of Object.entries(invalidAnswers)) {
	test(`an answer that ${name} is not passed on as a success`, async t => {
		const store = storeWith(configuration(1));
		await addBackend(t, store, {id: 's1', onRequest});
		const {call} = await start(t, {store});
		const response = await call('/reserve/1', {method: 'POST', body: 'x', headers: {'test-id': 'r-7'}});
		t.is(response.status, 502);
	});
}

test('a complete answer without a length is passed on', async t => {
	const store = storeWith(configuration(1));
	await addBackend(t, store, {
		id: 's1', onRequest(socket, request) {
			socket.end(`HTTP/1.1 200 OK\r\ntest-id: ${headerOf(request, 'test-id')}\r\ntest-proof: 1\r\nconnection: close\r\n\r\nhello`);
		},
	});
	const {call} = await start(t, {store});
	const response = await call('/reserve/1', {method: 'POST', body: 'x'});
	t.is(response.status, 200);
	t.is(await response.text(), 'hello');
});

test('an attempt is cancelled when the caller closes its connection', async t => {
	const store = storeWith(configuration(1));
	const server = await addBackend(t, store, {id: 's1', onRequest: () => undefined});
	const {call} = await start(t, {store});
	const controller = new AbortController();
	const aborted = t.throwsAsync(call('/check/1', {signal: controller.signal}), {any: true});
	await waitUntil(() => server.requests.length === 1);
	controller.abort();
	await aborted;
	await waitUntil(() => server.closedConnections === 1);
	t.is(server.requests.length, 1);
});

test.serial('a request that a server does not answer ends at the timeout of its route', async t => {
	const store = storeWith(configuration(1, {routes: [route({timeoutMs: 300})]}));
	await addBackend(t, store, {id: 's1', onRequest: () => undefined});
	const {call} = await start(t, {store});
	const startedAtMs = performance.now();
	t.is(await statusOf(call('/check/1')), 504);
	t.true(performance.now() - startedAtMs < 800);
});

test('requests for one object go to one server, and a server that left gets no more requests', async t => {
	const store = storeWith(configuration(1, {routes: [route({hasAffinity: true})]}));
	const servers = await Promise.all(['s1', 's2', 's3'].map(async id => addBackend(t, store, {id})));
	const {call} = await start(t, {store});
	const send = async () => call('/check/1', {headers: {'test-object': 'figure-9'}});
	await Promise.all([send(), send(), send()]);
	const home = servers.findIndex(({requests}) => requests.length === 3);
	t.not(home, -1);
	store.unset(Collection.backends, `s${home + 1}`);
	await waitUntil(async () => {
		await send();
		return servers.some((server, index) => index !== home && server.requests.length > 0);
	});
	const before = servers[home].requests.length;
	await send();
	t.is(servers[home].requests.length, before);
});

test('requests with home regions stay in them, and an evacuated failure domain gets no requests', async t => {
	const store = storeWith(configuration(1, {routes: [route({homeRegions: ['south']}), route({name: 'any', pathPrefix: '/any/'})]}));
	const near = await addBackend(t, store, {id: 's1', failureDomain: 'north-1'});
	const next = await addBackend(t, store, {id: 's2', failureDomain: 'north-2'});
	const far = await addBackend(t, store, {id: 's3', failureDomain: 'south-1'});
	const {call, lines} = await start(t, {store});
	await Promise.all(Array.from({length: 5}, async () => call('/check/1')));
	t.is(far.requests.length, 5);
	store.set(Collection.evacuations, 'north-1', {});
	await waitUntil(() => lines.some(({event}) => event === 'evacuation'));
	const before = near.requests.length;
	await Promise.all(Array.from({length: 4}, async () => call('/any/1')));
	t.is(near.requests.length, before);
	t.is(next.requests.length, 4);
});

test('a cold server gets no more requests than this VM\'s allowance', async t => {
	// Guards against overload that crashes a server that has just started.
	const store = storeWith(configuration(1, {workspaces: [workspace('acme')]}));
	const server = await addBackend(t, store, {id: 's1', coldForMs: 3000, slots: 100});
	const {call} = await start(t, {store});
	const responses = await Promise.all(Array.from({length: 40}, async () => call('/check/1')));
	t.true(server.requests.length <= (6 * 1.5) + 5);
	t.true(responses.some(response => resultCodeOf(response) === '1202'));
});

test('a request that may not be repeated is not sent on idle connections that the server may have dropped', async t => {
	// Guards against orders with an unknown outcome: a server that has silently dropped an idle connection resets it at the next request.
	const store = storeWith(configuration(1));
	const answeredAtMs = new WeakMap<Socket, number>();
	const server = await addBackend(t, store, {
		id: 's1',
		onRequest(socket, request) {
			if (performance.now() - (answeredAtMs.get(socket) ?? Number.POSITIVE_INFINITY) > 300) {
				socket.resetAndDestroy();
				return;
			}

			answerOk(socket, request);
			answeredAtMs.set(socket, performance.now());
		},
	});
	const {call} = await start(t, {store});
	for (let round = 0; round < 3; round++) {
		t.is(await statusOf(call('/reserve/1', {method: 'POST', body: 'x'})), 200);
		await sleep(350);
	}

	t.is(server.requests.length, 3);
});

test.serial('a stopping VM is not ready, completes accepted requests and then refuses new ones', async t => {
	const store = storeWith(configuration(1));
	await addBackend(t, store, {
		id: 's1', onRequest(socket, request) {
			setTimeout(() => {
				answerOk(socket, request);
			}, 800);
		},
	});
	// With this grace time, requests are refused for 1.6 s before the port closes, twice as long as a request takes.
	const {gateway, call, settings} = await startGateway({store, bounds: {graceMs: 8000}});
	const accepted = call('/check/1');
	await waitUntil(async () => await statusOf(fetch(`http://${settings.listen.readiness}/ready`)) === 200);
	const stopped = gateway.stop();
	t.is(await statusOf(fetch(`http://${settings.listen.readiness}/ready`)), 503);
	t.is(await statusOf(accepted), 200);
	let refused: Response | undefined;
	await waitUntil(async () => {
		refused = await call('/check/1');
		return refused.status === 503;
	});
	t.is(resultCodeOf(refused!), '1204');
	t.true(Number(refused!.headers.get('retry-after')) >= 0);
	await stopped;
});

test.serial('an order that its server runs at the end of the grace time is not refused as "not run"', async t => {
	// Guards against an order that runs twice because its caller was told that it had not run.
	const store = storeWith(configuration(1));
	const server = await addBackend(t, store, {id: 's1', onRequest: () => undefined});
	const {gateway, call} = await startGateway({store, bounds: {graceMs: 1000}});
	const running = call('/reserve/1', {method: 'POST', body: 'x'});
	await waitUntil(() => server.requests.length === 1);
	await gateway.stop();
	t.is(await statusOf(running), 502);
});

test.serial('requests that come late in a planned stop are refused or answered, and never cut after they were sent to a server', async t => {
	// Guards against orders that are taken at the end of the grace time and broken off when it is over.
	const store = storeWith(configuration(1));
	const server = await addBackend(t, store, {
		id: 's1', slots: 100, onRequest(socket, request) {
			setTimeout(() => {
				answerOk(socket, request);
			}, request.head.includes('/reserve/slow') ? 2000 : 100);
		},
	});
	const {gateway, call} = await startGateway({store, bounds: {graceMs: 4000}});
	const outcomes = new Map<string, number | undefined>();
	const order = async (id: string, path = '/reserve/1') => {
		try {
			outcomes.set(id, await statusOf(call(path, {method: 'POST', body: 'x', headers: {'test-id': id}})));
		} catch {
			outcomes.set(id, undefined);
		}
	};

	await order('first');
	const stopped = gateway.stop();
	const pending: Array<Promise<void>> = [];
	for (let index = 0; index < 200; index++) {
		// The slow one is taken just before requests are refused, and keeps the process until late in the grace time.
		pending.push(order(`r-${index}`, index === 90 ? '/reserve/slow' : undefined));
		await sleep(20);
	}

	await Promise.all([stopped, ...pending]);
	const sent = server.requests.map(request => headerOf(request, 'test-id'));
	t.deepEqual(sent.filter(id => outcomes.get(id) !== 200 && outcomes.get(id) !== 502), []);
	t.deepEqual(sent.filter(id => outcomes.get(id) === 502).filter(id => id !== 'r-90'), []);
	t.true([...outcomes].some(([id, status]) => status === 503 && !sent.includes(id)));
	t.true([...outcomes.values()].filter(status => status === 200).length > 50);
});
