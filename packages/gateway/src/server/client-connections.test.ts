import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import {connect, type AddressInfo, type Socket} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {createMemoryLogger, Metrics, SystemTimerService} from '@fescuewick/core';
import {gatewaySettingsSchema, type GatewaySettings} from '../settings.js';
import {ClientConnections} from './client-connections.js';

const checkIntervalMs = 20;

type Started = {readonly server: Server; readonly clients: ClientConnections; readonly metrics: Metrics; readonly connect: () => Promise<Socket>};

async function start(t: ExecutionContext, settings: Partial<GatewaySettings['clients']>, onRequest: (request: IncomingMessage, response: ServerResponse) => void): Promise<Started> {
	const metrics = new Metrics();
	const timers = new SystemTimerService();
	const clients = new ClientConnections({
		settings: gatewaySettingsSchema.shape.clients.parse(settings), timers, logger: createMemoryLogger([]), metrics,
	});
	const server = clients.createServer({}, onRequest);
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const cancel = timers.repeat(checkIntervalMs, () => {
		clients.check();
	});
	const sockets: Socket[] = [];
	t.teardown(() => {
		cancel();
		server.close();
		server.closeAllConnections();
		for (const socket of sockets) {
			socket.destroy();
		}
	});
	return {
		server, clients, metrics, async connect() {
			const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
			sockets.push(socket);
			socket.on('error', () => undefined);
			await once(socket, 'connect');
			return socket;
		},
	};
}

const get = (path: string) => `GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`;

/** Reads until the text received so far fulfils a condition or the connection ends; returns it. */
async function readUntil(socket: Socket, isDone: (text: string) => boolean): Promise<string> {
	let text = '';
	for await (const chunk of socket.iterator({destroyOnReturn: false}) as AsyncIterable<Buffer>) {
		text += chunk.toString('latin1');
		if (isDone(text)) {
			break;
		}
	}

	return text;
}

async function countOf(metrics: Metrics, limit: string): Promise<number> {
	const text = await metrics.text();
	return Number(new RegExp(`^fescuewick_client_limits_total\\{limit="${limit}"\\} (\\d+)$`, 'm').exec(text)?.[1] ?? 0);
}

async function sleep(durationMs: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, durationMs);
	});
}

test('pipelined requests beyond the limits are all answered, in their order', async t => {
	// Guards against requests that are lost or answered out of order when their connection is paused.
	const count = 2000;
	let running = 0;
	let mostRunning = 0;
	const {connect: open, metrics} = await start(t, {maxUnanswered: 16}, (request, response) => {
		running++;
		mostRunning = Math.max(mostRunning, running);
		setTimeout(() => {
			running--;
			response.end(`<${request.url!.slice(1)}>`);
		}, Number(request.url!.slice(1)) % 3);
	});
	const socket = await open();
	socket.write(Array.from({length: count}, (_, index) => get(`/${index}`)).join(''));
	const text = await readUntil(socket, received => received.includes(`<${count - 1}>`));
	t.deepEqual([...text.matchAll(/<(\d+)>/g)].map(([, index]) => Number(index)), Array.from({length: count}, (_, index) => index));
	t.true(mostRunning <= 16, `${mostRunning} requests at once`);
	t.true(await countOf(metrics, 'unanswered-requests') > 0);
});

test('bodies of pipelined uploads arrive whole on a paused connection', async t => {
	// Guards against bytes that are lost, doubled or swapped between pieces, and against a body that waits for responses which wait for it.
	const bodies = Array.from({length: 30}, (_, index) => Buffer.alloc(index % 3 === 0 ? 10 : 150_000, `${index}|`));
	const {connect: open} = await start(t, {maxUnanswered: 2}, async (request, response) => {
		const chunks: Buffer[] = [];
		for await (const chunk of request as AsyncIterable<Buffer>) {
			chunks.push(chunk);
		}

		response.end(`<${request.url!.slice(1)}:${Buffer.concat(chunks).equals(bodies[Number(request.url!.slice(1))])}>`);
	});
	const socket = await open();
	for (const [index, body] of bodies.entries()) {
		const isChunked = index % 2 === 0;
		socket.write(`POST /${index} HTTP/1.1\r\nHost: a\r\n${isChunked ? 'Transfer-Encoding: chunked' : `Content-Length: ${body.length}`}\r\n\r\n`);
		if (isChunked) {
			socket.write(`${body.length.toString(16)}\r\n`);
		}

		socket.write(body);
		if (isChunked) {
			socket.write('\r\n0\r\n\r\n');
		}
	}

	const text = await readUntil(socket, received => received.includes(`<${bodies.length - 1}:`));
	t.deepEqual([...text.matchAll(/<(.*?)>/g)].map(([, result]) => result), bodies.map((_, index) => `${index}:true`));
});

test('a request that waits behind a response which closes the connection is not handled', async t => {
	// Guards against an order that runs although its client counts it as not read and sends it again.
	const handled: string[] = [];
	const {connect: open, clients} = await start(t, {maxUnanswered: 64}, (request, response) => {
		handled.push(request.url!);
		setTimeout(() => {
			response.writeHead(200, request.url === '/0' ? {connection: 'close'} : {}).end('done');
		}, 50);
	});
	const socket = await open();
	socket.write(Array.from({length: 40}, (_, index) => get(`/${index}`)).join(''));
	const text = await readUntil(socket, () => false);
	await sleep(200);
	t.is(text.match(/HTTP\/1.1 200/g)?.length, 1);
	t.deepEqual(handled, Array.from({length: 4}, (_, index) => `/${index}`));
	t.is(clients.waitingCount, 0);
});

test('a client that reads slowly gets its whole response, one that reads nothing is closed', async t => {
	// Guards against a limit that cuts a response which makes progress, and against connections that stay forever.
	const sizeBytes = 12_000_000;
	const {connect: open, metrics} = await start(t, {maxStallMs: 1000}, (_request, response) => {
		response.writeHead(200, {connection: 'close'}).end('d'.repeat(sizeBytes));
	});
	const slow = await open();
	const stalled = await open();
	stalled.pause();
	slow.write(get('/'));
	stalled.write(get('/'));
	let receivedBytes = 0;
	const startedAtMs = performance.now();
	for await (const chunk of slow as AsyncIterable<Buffer>) {
		receivedBytes += chunk.length;
		await sleep(20);
	}

	t.true(performance.now() - startedAtMs > 2000);
	t.true(receivedBytes > sizeBytes, `${receivedBytes} bytes`);
	t.is(await countOf(metrics, 'stalled-reader'), 1);
});

test('responses that nobody reads are bounded over all connections', async t => {
	// Guards against memory that grows with the number of connections.
	let written = 0;
	const {connect: open, metrics} = await start(t, {maxUnsentBytes: 500_000, maxUnsentBytesTotal: 2_000_000, maxStallMs: 60_000}, (_request, response) => {
		written++;
		response.end(Buffer.alloc(100_000));
	});
	const sockets = await Promise.all(Array.from({length: 20}, async () => open()));
	for (const socket of sockets) {
		socket.pause();
		socket.write(get('/').repeat(5000));
	}

	await sleep(2500);
	t.true(written < 20 * 200, `${written} responses`);
	t.true(await countOf(metrics, 'unsent-bytes-total') > 0);
	const reader = await open();
	reader.write(get('/'));
	const answer = await readUntil(reader, text => text.length > 100_000);
	t.true(answer.startsWith('HTTP/1.1 200'));
});

test('a response to malformed data comes after the responses to the requests before it', async t => {
	// Guards against a refusal that the client takes for the response to a request which runs.
	const {connect: open} = await start(t, {}, (_request, response) => {
		setTimeout(() => {
			response.end('done');
		}, 100);
	});
	const socket = await open();
	socket.write(`${get('/')}not HTTP\r\n\r\n`);
	const text = await readUntil(socket, () => false);
	t.deepEqual(text.match(/HTTP\/1.1 \d+/g), ['HTTP/1.1 200', 'HTTP/1.1 400']);
});

test('when connections run short, idle ones are closed and those with a request are kept', async t => {
	// Guards against clients that keep ordinary ones out by opening connections, and against cut requests.
	const {connect: open, metrics} = await start(t, {maxConnections: 20}, (_request, response) => {
		setTimeout(() => {
			response.end('done');
		}, 1000);
	});
	const busy = await Promise.all(Array.from({length: 5}, async () => open()));
	const responses = busy.map(async socket => {
		socket.write(get('/'));
		return readUntil(socket, text => text.includes('done'));
	});
	for (let index = 0; index < 100; index++) {
		await open();
	}

	const texts = await Promise.all(responses);
	t.true(texts.every(text => text.startsWith('HTTP/1.1 200') && text.includes('done')));
	t.true(await countOf(metrics, 'connections') >= 80);
});

test('a request with an expectation other than 100-continue is refused behind the responses before it', async t => {
	// Node.js answers such requests by itself; guards against a count of unanswered requests that leaves them out.
	const {connect: open} = await start(t, {maxUnanswered: 4}, (_request, response) => {
		setTimeout(() => {
			response.end('done');
		}, 50);
	});
	const socket = await open();
	socket.write(get('/') + 'GET / HTTP/1.1\r\nHost: a\r\nExpect: other\r\n\r\n'.repeat(100) + get('/'));
	const text = await readUntil(socket, received => (received.match(/done/g)?.length ?? 0) === 2);
	const statuses = text.match(/HTTP\/1.1 \d+/g)!;
	t.is(statuses.length, 102);
	t.is(statuses[0], 'HTTP/1.1 200');
	t.is(statuses.at(-1), 'HTTP/1.1 200');
	t.true(statuses.slice(1, -1).every(status => status === 'HTTP/1.1 417'));
});

test('a connection is unfinished until its response is handed to the system, unless its client takes nothing', async t => {
	// Guards against a stop that cuts off an answer because it counts as sent when it is written, and one that waits for clients which do not read.
	const {connect: open, server, clients} = await start(t, {maxStallMs: 10_000}, (_request, response) => {
		response.end(Buffer.alloc(12_000_000));
	});
	const reader = await open();
	reader.pause();
	reader.write(get('/'));
	await sleep(200);
	t.is(clients.unfinishedCount(server), 1);
	await sleep(1500);
	t.is(clients.unfinishedCount(server), 0);
	reader.resume();
	await sleep(500);
	t.is(clients.unfinishedCount(server), 0);
	reader.write(get('/'));
	await readUntil(reader, () => clients.unfinishedCount(server) === 1);
	reader.resume();
	await sleep(500);
	t.is(clients.unfinishedCount(server), 0);
});
