import {type Socket} from 'node:net';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {
	answerOk, headerOf, type FakeBackendServer, type RequestListener,
} from './testing/fake-backend-server.js';
import {configuration, route} from './testing/fixtures.js';
import {
	addBackend, resultCodeOf, start, statusOf, waitUntil,
} from './testing/gateway-steps.js';
import {storeWith, type StartedGateway} from './testing/start-gateway.js';

/** Body that is streamed to callers instead of being buffered. */
const largeBody = 'x'.repeat(400_000);
const timeoutMs = 1500;

type Setup = {
	readonly server: FakeBackendServer;
	readonly call: (path: string, options?: RequestInit) => Promise<Response>;
};

/** Starts a gateway whose only server answers with `onRequest`. */
async function startWith(t: ExecutionContext, onRequest: RequestListener): Promise<Setup> {
	const store = storeWith(configuration(1, {
		routes: [route({timeoutMs, maxAttempts: 1}), route({
			name: 'reserve', pathPrefix: '/reserve/', isRepeatable: false, timeoutMs,
		})],
	}));
	const server = await addBackend(t, store, {id: 's1', onRequest});
	const {call} = await start(t, {store});
	return {server, call};
}

const headOf = (request: Parameters<RequestListener>[1], fields: string) => `HTTP/1.1 200 OK\r\ntest-id: ${headerOf(request, 'test-id')}\r\ntest-proof: 1\r\n${fields}\r\n\r\n`;

const brokenStreams: Record<string, RequestListener> = {
	'has no length and ends with a reset'(socket, request) {
		socket.write(headOf(request, 'connection: close') + largeBody, () => {
			setTimeout(() => {
				socket.resetAndDestroy();
			}, 100);
		});
	},
	'is chunked and ends before its last chunk'(socket, request) {
		socket.end(`${headOf(request, 'connection: close\r\ntransfer-encoding: chunked')}${(largeBody.length).toString(16)}\r\n${largeBody}\r\n`);
	},
	'is shorter than its length'(socket, request) {
		socket.end(`${headOf(request, `connection: close\r\ncontent-length: ${largeBody.length + 1}`)}${largeBody}`);
	},
};

for (const [name, onRequest] of Object.entries(brokenStreams)) {
	test(`a large answer that ${name} does not reach the caller as complete`, async t => {
		// Guards against an answer that broke off halfway and was passed on as a complete success.
		const {call} = await startWith(t, onRequest);
		const response = await call('/check/1');
		await t.throwsAsync(response.text(), {any: true});
	});
}

test('a large answer without a length is passed on if its connection ends in order', async t => {
	const {call} = await startWith(t, (socket, request) => {
		socket.end(headOf(request, 'connection: close') + largeBody);
	});
	const response = await call('/check/1');
	t.is(await response.text(), largeBody);
});

/** Writes chunks to a socket until its other end closes. */
function writeEndlessly(socket: Socket, chunk: string): void {
	const timer = setInterval(() => {
		if (socket.writableLength < 1_000_000) {
			socket.write(chunk);
		}
	}, 1);
	socket.on('close', () => {
		clearInterval(timer);
	});
}

const endlessAnswers: Record<string, RequestListener> = {
	'a header without end'(socket) {
		socket.write('HTTP/1.1 200 OK\r\nx-filler: ');
		writeEndlessly(socket, 'x'.repeat(1000));
	},
	'headers without end'(socket) {
		socket.write('HTTP/1.1 200 OK\r\n');
		writeEndlessly(socket, `x-filler: ${'x'.repeat(100)}\r\n`.repeat(10));
	},
	'header fields of a few bytes without end'(socket) {
		socket.write('HTTP/1.1 200 OK\r\n');
		writeEndlessly(socket, 'a:b\r\n'.repeat(2000));
	},
	'a status line without end'(socket) {
		socket.write('HTTP/1.1 200 ');
		writeEndlessly(socket, 'x'.repeat(1000));
	},
	'a body in chunks of one byte without end'(socket, request) {
		socket.write(headOf(request, 'transfer-encoding: chunked'));
		writeEndlessly(socket, '1\r\nx\r\n'.repeat(2000));
	},
	'an extension of a chunk without end'(socket, request) {
		socket.write(`${headOf(request, 'transfer-encoding: chunked')}1;`);
		writeEndlessly(socket, 'x'.repeat(1000));
	},
	'trailers without end'(socket, request) {
		socket.write(`${headOf(request, 'transfer-encoding: chunked')}1\r\nx\r\n0\r\n`);
		writeEndlessly(socket, 'a:b\r\n'.repeat(2000));
	},
	'informational answers without end'(socket) {
		writeEndlessly(socket, 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(10));
	},
	'bytes without end that are not HTTP'(socket) {
		writeEndlessly(socket, 'x'.repeat(1000));
	},
};

for (const [name, onRequest] of Object.entries(endlessAnswers)) {
	test(`a server that sends ${name} is cut off at once`, async t => {
		// Guards against memory and processor time that a faulty server takes until the deadline, or for longer.
		const {call, server} = await startWith(t, onRequest);
		const startedAtMs = performance.now();
		t.is(await statusOf(call('/reserve/1', {method: 'POST', body: 'x'})), 502);
		t.true(performance.now() - startedAtMs < timeoutMs, 'before the deadline');
		await waitUntil(() => server.closedConnections === 1);
	});
}

test('a caller of a server that sends a body without end is cut off at the deadline', async t => {
	// Guards against a caller that waits on an open connection after its request has ended.
	const {call, server} = await startWith(t, (socket, request) => {
		socket.write(headOf(request, 'transfer-encoding: chunked'));
		writeEndlessly(socket, `${(4096).toString(16)}\r\n${'x'.repeat(4096)}\r\n`);
	});
	const startedAtMs = performance.now();
	const response = await call('/check/1');
	await t.throwsAsync(response.text(), {any: true});
	t.true(performance.now() - startedAtMs < timeoutMs * 2);
	await waitUntil(() => server.closedConnections === 1);
});

const endings: Record<string, {readonly checkTimeoutMs: number; readonly begin: (started: StartedGateway) => void}> = {
	'its deadline': {checkTimeoutMs: timeoutMs, begin: () => undefined},
	'the end of a planned stop': {
		checkTimeoutMs: timeoutMs * 4,
		begin({gateway}) {
			void gateway.stop();
		},
	},
};

for (const [name, {checkTimeoutMs, begin}] of Object.entries(endings)) {
	test(`a streamed answer that follows a failed attempt is cut at ${name}, and other requests go on`, async t => {
		// Guards against writing the kept failure after the head of the streamed answer, which ended the process.
		const store = storeWith(configuration(1, {
			routes: [route({timeoutMs: checkTimeoutMs, maxAttempts: 2}), route({
				name: 'reserve', pathPrefix: '/reserve/', isRepeatable: false, timeoutMs: timeoutMs * 4,
			})],
		}));
		let checks = 0;
		const onRequest: RequestListener = (socket, request) => {
			if (request.head.startsWith('POST')) {
				setTimeout(answerOk, timeoutMs * 1.5, socket, request);
			} else if (++checks === 1) {
				socket.write(`HTTP/1.1 500 Failed\r\ntest-id: ${headerOf(request, 'test-id')}\r\ntest-proof: 1\r\ncontent-length: 0\r\n\r\n`);
			} else {
				socket.write(headOf(request, 'transfer-encoding: chunked'));
				writeEndlessly(socket, `${(4096).toString(16)}\r\n${'x'.repeat(4096)}\r\n`);
			}
		};

		for (const id of ['s1', 's2']) {
			await addBackend(t, store, {id, onRequest});
		}

		const started = await start(t, {store});
		const order = statusOf(started.call('/reserve/1', {method: 'POST', body: 'x'}));
		const response = await started.call('/check/1');
		t.is(response.status, 200);
		begin(started);
		await t.throwsAsync(response.text(), {any: true});
		t.is(await order, 200);
	});
}

/** Sends orders until a connection is kept, then runs `onReuse` for each further request on it. */
function repliesOnReuse(onReuse: RequestListener, onFirst: RequestListener = answerOk): RequestListener {
	const used = new WeakSet<Socket>();
	return (socket, request) => {
		if (used.has(socket)) {
			onReuse(socket, request);
		} else {
			used.add(socket);
			onFirst(socket, request);
		}
	};
}

const order = {method: 'POST', body: 'x'};

/** Longer than a connection is idle and still used for an order, in milliseconds. */
const idlePauseMs = 1000;

/** Sends two orders, one right after the other, until the second one goes out on the connection of the first; on a busy machine it may come too late for that. Returns the status of the first and the second answer. */
async function answersOnReuse(call: Setup['call'], wasReused: () => boolean): Promise<{readonly firstStatus: number; readonly response: Response}> {
	for (;;) {
		const firstStatus = await statusOf(call('/reserve/1', {...order, headers: {'test-id': 'r-1'}}));
		const response = await call('/reserve/1', {...order, headers: {'test-id': 'r-2'}});
		if (wasReused()) {
			return {firstStatus, response};
		}

		// Otherwise the first order of the next round could go out on the connection of the second one.
		await sleep(idlePauseMs);
	}
}

const repeatedRefusals: Record<string, string> = {
	'with the id of the refused request': 'test-id: r-1\r\n',
	'without an id': '',
};

for (const [name, idField] of Object.entries(repeatedRefusals)) {
	test(`a refusal that a server repeats ${name} is not passed on for a request that it runs`, async t => {
		// Guards against "not run" for an order that the server has run or is running.
		let runs = 0;
		const {call} = await startWith(t, repliesOnReuse(socket => {
			runs++;
			socket.write(`HTTP/1.1 503 Full\r\n${idField}test-not-run: 1\r\ncontent-length: 0\r\n\r\n`);
		}, (socket, request) => {
			// With free slots at the server, the refusal does not keep the gateway from sending the next request.
			socket.write(`HTTP/1.1 503 Full\r\ntest-id: ${headerOf(request, 'test-id')}\r\ntest-not-run: 1\r\ntest-load: 0,0\r\ncontent-length: 0\r\n\r\n`);
		}));
		const {firstStatus, response} = await answersOnReuse(call, () => runs > 0);
		t.is(firstStatus, 503);
		t.is(runs, 1);
		t.is(response.status, 502);
		t.is(resultCodeOf(response), '1405');
	});
}

test('a second copy of an answer that comes late does not reach the next caller', async t => {
	// Guards against an answer on a connection in use again that belongs to another caller.
	let isReused = false;
	const {call} = await startWith(t, repliesOnReuse((socket, request) => {
		isReused = true;
		answerOk(socket, {head: 'test-id: r-1', body: ''}, 'first');
		answerOk(socket, request, 'second');
	}));
	const {firstStatus, response} = await answersOnReuse(call, () => isReused);
	t.is(firstStatus, 200);
	t.is(response.status, 502);
	t.notRegex(await response.text(), /first/);
});

test('a copy of an answer that follows it at once does not reach the next caller', async t => {
	const {call} = await startWith(t, (socket, request) => {
		answerOk(socket, request, headerOf(request, 'test-id'));
		answerOk(socket, request, headerOf(request, 'test-id'));
	});
	for (const id of ['r-1', 'r-2', 'r-3']) {
		const response = await call('/check/1', {headers: {'test-id': id}});
		t.true(response.status === 502 || await response.text() === id, id);
	}
});

test('memory for a body without end stays bounded while the caller does not read', async t => {
	const {call} = await startWith(t, (socket, request) => {
		socket.write(headOf(request, 'transfer-encoding: chunked'));
		writeEndlessly(socket, `${(65_536).toString(16)}\r\n${'x'.repeat(65_536)}\r\n`);
	});
	const before = process.memoryUsage().arrayBuffers;
	const response = await call('/check/1');
	await new Promise(resolve => {
		setTimeout(resolve, timeoutMs / 2);
	});
	t.true(process.memoryUsage().arrayBuffers - before < 50_000_000);
	await response.body?.cancel();
});

/** Complete answers, each with the length of its head. */
const wholeAnswers: Record<string, (request: Parameters<RequestListener>[1]) => {readonly head: string; readonly body: string}> = {
	'with a length': request => ({head: headOf(request, 'content-length: 2'), body: 'ok'}),
	'that ends with its connection': request => ({head: headOf(request, 'connection: close'), body: 'ok'}),
	'in chunks': request => ({head: headOf(request, 'transfer-encoding: chunked'), body: '2\r\nok\r\n0\r\n\r\n'}),
	'after an informational one': request => ({head: `HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n${headOf(request, 'connection: close')}`, body: 'ok'}),
};

for (const [kind, answerOf] of Object.entries(wholeAnswers)) {
	test(`an answer ${kind} whose server stops in the middle of the head is no success`, async t => {
		// Guards against a 200 with an empty or short body for an answer of which only a part of the head arrived.
		let cutAt = 0;
		let isReset = false;
		let headLength = 1;
		const {call} = await startWith(t, (socket, request) => {
			if (request.head.startsWith('GET')) {
				answerOk(socket, request);
				return;
			}

			const {head, body} = answerOf(request);
			headLength = head.length;
			const part = (head + body).slice(0, cutAt);
			if (isReset) {
				socket.write(part, () => {
					socket.resetAndDestroy();
				});
			} else {
				socket.end(part);
			}
		});
		for (; cutAt < headLength; cutAt += 5) {
			for (isReset of [false, true]) {
				// Every other order goes out on a connection that has carried an answer.
				t.is(isReset ? await statusOf(call('/check/1')) : 200, 200);
				const response = await call('/reserve/1', {method: 'POST', body: 'x', headers: {'test-id': 'r-7'}});
				t.is(response.status, 502, `cut after ${cutAt} bytes, ${isReset ? 'reset' : 'closed'}`);
			}
		}
	});
}
