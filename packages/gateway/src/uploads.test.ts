import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {request as httpRequest, type IncomingMessage} from 'node:http';
import {connect} from 'node:net';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {answerOk, headerOf, type RequestListener} from './testing/fake-backend-server.js';
import {configuration, route, workspace} from './testing/fixtures.js';
import {addBackend, start, waitUntil} from './testing/gateway-steps.js';
import {storeWith} from './testing/start-gateway.js';

const uploadRoute = route({
	name: 'upload', pathPrefix: '/upload/', isRepeatable: false, maxAttempts: 2,
});

async function startWith(t: ExecutionContext, listeners: readonly RequestListener[], options: {readonly maxBufferedBytes?: number} = {}) {
	const store = storeWith(configuration(1, {
		routes: [uploadRoute],
		workspaces: [workspace('acme')],
		limits: {
			maxHeaderBytes: 16_384, maxBodyBytes: 8_000_000, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
		},
	}));
	const servers = await Promise.all(listeners.map(async (onRequest, index) => addBackend(t, store, {id: `s${index + 1}`, onRequest})));
	const {settings} = await start(t, {store, ...options});
	const {host, port} = new URL(`http://${settings.listen.entry}`);
	return {
		servers, options: {
			host: host.split(':')[0], port: Number(port), path: '/upload/1', method: 'POST',
		},
	};
}

type Answer = {readonly status: number; readonly headers: IncomingMessage['headers']; readonly body: string};

async function readAnswer(response: IncomingMessage): Promise<Answer> {
	const chunks: Buffer[] = [];
	for await (const chunk of response) {
		chunks.push(chunk as Buffer);
	}

	return {status: response.statusCode!, headers: response.headers, body: Buffer.concat(chunks).toString()};
}

type UploadTarget = {readonly host: string; readonly port: number; readonly path: string; readonly method: string};
type UploadOptions = {
	readonly key?: string;
	readonly id?: string;
	readonly sizeBytes?: number;
	readonly parts?: number;
	/** Pause after each part. */
	readonly pauseMs?: number;
};

/** Uploads a body in parts with a pause after each. */
async function upload(target: UploadTarget, {key = 'key-acme', id = 'r-1', sizeBytes = 1_000_000, parts = 10, pauseMs = 5}: UploadOptions): Promise<Answer> {
	const outgoing = httpRequest({...target, headers: {'test-key': key, 'test-id': id, 'content-length': sizeBytes}});
	const answered = once(outgoing, 'response') as Promise<[IncomingMessage]>;
	const failed = once(outgoing, 'close');
	for (let part = 0; part < parts && !outgoing.destroyed; part++) {
		outgoing.write(Buffer.alloc(sizeBytes / parts, 'x'));
		await sleep(pauseMs);
	}

	outgoing.end();
	const [response] = await answered;
	const answer = await readAnswer(response);
	await failed;
	return answer;
}

/** Uploads a body; returns the status of the answer. */
async function uploadStatus(...parameters: Parameters<typeof upload>): Promise<number> {
	const {status} = await upload(...parameters);
	return status;
}

/** Refuses a request without running it; its load shows free slots, so that the server is used again at once. */
const answerNotRunWithSlots: RequestListener = (socket, request) => {
	socket.write(`HTTP/1.1 503 Full\r\ntest-id: ${headerOf(request, 'test-id')}\r\ntest-not-run: 1\r\ntest-load: 0,0\r\ncontent-length: 0\r\n\r\n`);
};

test('a large upload reaches its server whole', async t => {
	const {servers, options} = await startWith(t, [answerOk]);
	t.is(await uploadStatus(options, {}), 200);
	t.is(servers[0].requests[0].body.length, 1_000_000);
});

test('a caller whose upload is refused gets the refusal while it still sends the body', async t => {
	// Guards against a refusal that is lost because the connection is reset while data arrives.
	const {servers, options} = await startWith(t, [answerOk]);
	for (let round = 0; round < 10; round++) {
		t.is(await uploadStatus(options, {key: 'no', pauseMs: round}), 401);
	}

	t.is(servers[0].requests.length, 0);
});

test('a caller that asks first is refused before it sends the body, or told to continue', async t => {
	const {servers, options} = await startWith(t, [answerOk]);
	for (const [key, expected] of [['no', 401], ['key-acme', 200]] as const) {
		const body = 'x'.repeat(100_000);
		const outgoing = httpRequest({
			...options, headers: {
				'test-key': key, 'test-id': 'r-1', expect: '100-continue', 'content-length': body.length,
			},
		});
		let isContinued = false;
		outgoing.on('continue', () => {
			isContinued = true;
			outgoing.end(body);
		});
		outgoing.flushHeaders();
		const [response] = await once(outgoing, 'response') as [IncomingMessage];
		const answer = await readAnswer(response);
		t.is(answer.status, expected);
		t.is(isContinued, expected === 200);
		t.is(answer.headers.connection === 'close', expected === 401);
		outgoing.destroy();
	}

	t.is(servers[0].requests.length, 1);
});

test('an upload is sent to a second server only if the first says that it ran nothing', async t => {
	// Guards against an upload that is stored twice.
	for (const [onFirst, expected, arrivals] of [[answerNotRunWithSlots, 200, 2], [(socket: Parameters<RequestListener>[0]) => socket.destroy(), 502, 1]] as const) {
		let isFirst = true;
		const onRequest: RequestListener = (socket, request) => {
			(isFirst ? onFirst : answerOk)(socket, request);
			isFirst = false;
		};

		const {servers, options} = await startWith(t, [onRequest, onRequest]);
		t.is(await uploadStatus(options, {sizeBytes: 60_000}), expected);
		t.is(servers[0].requests.length + servers[1].requests.length, arrivals);
	}
});

test('a server that answers a long upload early and reads on gets no other bytes in its place', async t => {
	// Guards against a next request whose head is read as the rest of a body.
	const {servers, options} = await startWith(t, [() => undefined]);
	const [server] = servers;
	server.onHead = (socket, head) => {
		if (headerOf({head, body: ''}, 'content-length') === '1000000') {
			socket.write(`HTTP/1.1 503 Full\r\ntest-id: ${headerOf({head, body: ''}, 'test-id')}\r\ntest-not-run: 1\r\ntest-load: 0,0\r\ncontent-length: 0\r\n\r\n`);
		}
	};

	server.onRequest = answerOk;
	t.is(await uploadStatus(options, {}), 503);
	t.is(await uploadStatus(options, {sizeBytes: 1000, parts: 1}), 200);
	t.true(server.requests.every(({head, body}) => head.startsWith('POST /upload/1 ') && /^x*$/.test(body)));
});

test('uploads beyond the memory for bodies are streamed, and then not sent to a second server', async t => {
	// Guards against a VM of 250 MB that is killed by many uploads at once.
	const held: Array<() => void> = [];
	const {servers, options} = await startWith(t, [(socket, request) => {
		if (headerOf(request, 'test-id') === 'r-held') {
			held.push(() => {
				answerOk(socket, request);
			});
		} else {
			answerNotRunWithSlots(socket, request);
		}
	}, answerOk], {maxBufferedBytes: 100_000});
	const first = uploadStatus(options, {id: 'r-held', sizeBytes: 90_000});
	await waitUntil(() => held.length === 1 || servers[1].requests.length === 1);
	const before = servers[0].requests.length + servers[1].requests.length;
	const status = await uploadStatus(options, {sizeBytes: 90_000});
	t.is(servers[0].requests.length + servers[1].requests.length, before + 1);
	t.is(status, servers[1].requests.length > (before - held.length) ? 200 : 503);
	for (const answer of held) {
		answer();
	}

	t.is(await first, 200);
});

test.serial('uploads to a server that does not read are held back at their callers', async t => {
	const uploads = 20;
	const {servers, options} = await startWith(t, [answerOk]);
	servers[0].isReading = false;
	const before = process.memoryUsage().arrayBuffers;
	let peakBytes = 0;
	const sockets = Array.from({length: uploads}, () => connect(options.port, options.host));
	const part = Buffer.alloc(65_536, 'x');
	for (const socket of sockets) {
		socket.on('error', () => undefined);
		socket.write('POST /upload/1 HTTP/1.1\r\nhost: 127.0.0.1\r\ntest-key: key-acme\r\ncontent-length: 7000000\r\n\r\n');
	}

	for (let round = 0; round < 150; round++) {
		for (const socket of sockets) {
			if (socket.writableLength < part.length) {
				socket.write(part);
			}
		}

		await sleep(5);
		peakBytes = Math.max(peakBytes, process.memoryUsage().arrayBuffers - before);
	}

	t.true(sockets.every(({bytesWritten}) => bytesWritten > 500_000), 'more than the gateway buffers was sent');
	// What is buffered for retries, within the memory for it, and as much again on its way; unread uploads would take 140 MB.
	t.true(peakBytes < 2 * 33_554_432, `${peakBytes} bytes`);
	for (const socket of sockets) {
		socket.destroy();
	}
});

for (const [moment, maxBufferedBytes] of [['buffered', 33_554_432], ['streamed', 1]] as const) {
	test(`an upload in chunks of one byte without end that is ${moment} is cut off`, async t => {
		// Guards against memory and processor time that a caller takes with pieces that each cost far more than their bytes.
		const {options: {host, port}} = await startWith(t, [() => undefined], {maxBufferedBytes});
		const socket = connect(port, host);
		socket.write('POST /upload/1 HTTP/1.1\r\nhost: 127.0.0.1\r\ntest-key: key-acme\r\ntransfer-encoding: chunked\r\n\r\n');
		const pieces = '1\r\nx\r\n'.repeat(1000);
		const timer = setInterval(() => {
			if (socket.writableLength < 1_000_000) {
				socket.write(pieces);
			}
		}, 1);
		// The connection may end with a reset.
		socket.on('error', () => undefined);
		const startedAtMs = performance.now();
		await waitUntil(() => socket.closed);
		clearInterval(timer);
		t.true(performance.now() - startedAtMs < uploadRoute.timeoutMs, 'before the deadline');
		t.true(socket.bytesWritten < 4_000_000, `${socket.bytesWritten} bytes`);
	});
}

const splitBodies = {
	'with a length': ['content-length: 10\r\n\r\n12345', '67890'],
	'in chunks': ['transfer-encoding: chunked\r\n\r\n5\r\n12345\r\n', '5\r\n67890\r\n0\r\n\r\n'],
} as const;

for (const [kind, [beginning, end]] of Object.entries(splitBodies)) {
	test(`requests that follow a body ${kind} on its connection are not taken for a part of it`, async t => {
		// Guards against an upload that is refused because its caller sent its next requests before it had the answer.
		const {servers, options: {host, port}} = await startWith(t, [answerOk]);
		const socket = connect(port, host);
		t.teardown(() => socket.destroy());
		let answers = '';
		socket.on('data', chunk => {
			answers += String(chunk);
		});
		const head = 'POST /upload/1 HTTP/1.1\r\nhost: 127.0.0.1\r\ntest-key: key-acme\r\n';
		socket.write(`${head}${beginning}`);
		await sleep(50);
		socket.write(`${end}${`GET /none/1 HTTP/1.1\r\nhost: 127.0.0.1\r\nx-filler: ${'x'.repeat(8000)}\r\n\r\n`.repeat(20)}`);
		await waitUntil(() => answers.includes('HTTP/1.1'));
		t.regex(answers, /^HTTP\/1\.1 200 /);
		t.is(servers[0].requests[0].body, '1234567890');
	});
}
