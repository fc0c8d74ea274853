import {type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {answerOk, headerOf, type FakeBackendServer} from './testing/fake-backend-server.js';
import {configuration, route, workspace} from './testing/fixtures.js';
import {addBackend, start, waitUntil} from './testing/gateway-steps.js';
import {RawClient, requestText} from './testing/raw-client.js';
import {storeWith} from './testing/start-gateway.js';

const partBytes = 20_000;
const timeoutMs = 3000;

const respond = (socket: Socket, id: string, status: number) => {
	socket.write(`HTTP/1.1 ${status} Status\r\ntest-id: ${id}\r\ntest-proof: 1\r\ncontent-length: 5\r\n\r\nearly`);
};

/** Starts a gateway and a server that answers uploads with `status` when it has read their heads, and reads on. */
async function startEarly(t: ExecutionContext, {status, idleTimeoutMs = 15_000}: {readonly status: number; readonly idleTimeoutMs?: number}): Promise<{readonly server: FakeBackendServer; readonly client: RawClient}> {
	const store = storeWith(configuration(1, {
		routes: [
			route({
				name: 'upload', pathPrefix: '/upload/', isRepeatable: false, timeoutMs,
			}),
			route({name: 'check', pathPrefix: '/check/', timeoutMs}),
		],
		workspaces: [workspace('acme')],
		limits: {
			maxHeaderBytes: 16_384, maxBodyBytes: 8_000_000, headerTimeoutMs: 3000, idleTimeoutMs,
		},
	}));
	const server = await addBackend(t, store, {id: 's1'});
	server.onHead = (socket, head) => {
		if (head.startsWith('POST /upload/')) {
			respond(socket, headerOf({head, body: ''}, 'test-id'), status);
		}
	};

	server.onRequest = (socket, request) => {
		if (request.head.startsWith('GET ')) {
			answerOk(socket, request);
		}
	};

	const {settings} = await start(t, {store});
	return {server, client: await RawClient.open(t, settings.listen.entry)};
}

const partGapMs = 10;

/** Sends an upload in parts, and what follows it with the last part. */
async function sendUpload(client: RawClient, {sizeBytes, isChunked, followedBy = ''}: {readonly sizeBytes: number; readonly isChunked: boolean; readonly followedBy?: string}): Promise<void> {
	const content = 'x'.repeat(partBytes);
	const part = isChunked ? `${partBytes.toString(16)}\r\n${content}\r\n` : content;
	client.request('POST', '/upload/1', {id: 'upload', headers: isChunked ? 'transfer-encoding: chunked\r\n' : `content-length: ${sizeBytes}\r\n`});
	for (let leftBytes = sizeBytes; leftBytes > partBytes; leftBytes -= partBytes) {
		client.socket.write(part);
		await sleep(partGapMs);
	}

	client.socket.write(part + (isChunked ? '0\r\n\r\n' : '') + followedBy);
}

for (const [kind, sizeBytes, isChunked, status] of [['with a length', 600_000, false, 200], ['with a length', 4_000_000, false, 413], ['in chunks', 600_000, true, 200]] as const) {
	test(`a request behind an upload of ${sizeBytes} bytes ${kind} that its server answered early with ${status} is answered`, async t => {
		// Guards against a connection that is never read again because nobody reads the rest of the upload.
		const {server, client} = await startEarly(t, {status});
		await sendUpload(client, {sizeBytes, isChunked});
		await client.waitFor(1, timeoutMs);
		client.request('GET', '/check/1', {id: 'check'});
		await client.waitFor(2, timeoutMs);
		t.deepEqual(client.responses.map(response => [response.id, response.status]), [['upload', status], ['check', 200]]);
		t.true(server.requests.every(({head, body}) => head.startsWith('POST ') ? /^x*$/.test(body) : body === ''), 'no other bytes stand for the rest of the upload');
	});
}

test('a request that was sent right behind an upload which its server answers early is answered', async t => {
	// Guards against a connection that is never read again although its next request has arrived already.
	const {client} = await startEarly(t, {status: 200});
	await sendUpload(client, {sizeBytes: 600_000, isChunked: false, followedBy: requestText('GET', '/check/1', {id: 'check'})});
	await client.waitFor(2, timeoutMs);
	t.deepEqual(client.responses.map(({id}) => id), ['upload', 'check']);
});

test('a connection whose client stops in the middle of an upload that was answered early is closed', async t => {
	// Guards against connections that stay open for a rest which never comes.
	const {client} = await startEarly(t, {status: 200, idleTimeoutMs: 500});
	client.request('POST', '/upload/1', {id: 'upload', headers: 'content-length: 360000\r\n'});
	client.socket.write('x'.repeat(300_000));
	await client.waitFor(1, timeoutMs);
	t.is(client.responses.length, 1);
	await waitUntil(() => client.isEnded);
	t.pass();
});

test('a rest in chunks of one byte without end is not read on', async t => {
	// Guards against processor time that is spent on a body which nobody needs.
	const {client} = await startEarly(t, {status: 200});
	client.request('POST', '/upload/1', {id: 'upload', headers: 'transfer-encoding: chunked\r\n'});
	client.socket.write(`${(300_000).toString(16)}\r\n${'x'.repeat(300_000)}\r\n`);
	await client.waitFor(1, timeoutMs);
	const timer = setInterval(() => {
		if (client.socket.writableLength < 1_000_000) {
			client.socket.write('1\r\nx\r\n'.repeat(1000));
		}
	}, 1);
	t.teardown(() => {
		clearInterval(timer);
	});
	await waitUntil(() => client.isEnded);
	t.true(client.socket.bytesWritten < 8_000_000, `${client.socket.bytesWritten} bytes`);
});
