import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {Agent, request} from 'undici';
import {ResultCode, SystemTimerService, type FescuewickError} from '@fescuewick/core';
import {Attempt} from '../forward/attempt.js';
import {readBounded} from '../request/read-bounded.js';
import {shortAnswerConnector} from './bounded-reads.js';
import {ConnectionPool} from './connections.js';

/** Starts a server that answers with `start` and then sends `piece` until its peer closes; counts the bytes that it sent. */
async function startEndlessServer(t: ExecutionContext, start: string, piece: string) {
	const sent = {bytes: 0};
	const server = createServer(socket => {
		socket.on('error', () => undefined);
		socket.once('data', () => {
			socket.write(start);
			const timer = setInterval(() => {
				if (socket.writableLength < 1_000_000) {
					socket.write(piece.repeat(1000));
				}
			}, 1);
			socket.once('close', () => {
				clearInterval(timer);
				sent.bytes += socket.bytesWritten;
			});
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => server.close());
	return {url: `http://127.0.0.1:${(server.address() as AddressInfo).port}/`, sent};
}

const head = 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n';
const endlessAnswers: Record<string, readonly [start: string, piece: string]> = {
	'header fields': ['HTTP/1.1 200 OK\r\n', 'a:b\r\n'],
	'a status line': ['HTTP/1.1 200 ', 'x'],
	'chunks of one byte': [head, '1\r\nx\r\n'],
	trailers: [`${head}0\r\n`, 'a:b\r\n'],
};

for (const [name, [start, piece]] of Object.entries(endlessAnswers)) {
	test(`a short answer with ${name} without end is cut off`, async t => {
		// Guards against an answer to a probe that keeps the process busy, or takes its memory, until the probe times out.
		const {url} = await startEndlessServer(t, start, piece);
		const agent = new Agent({connect: shortAnswerConnector({connectTimeoutMs: 500, maxAnswerBytes: 65_536})});
		t.teardown(async () => agent.destroy());
		await t.throwsAsync(async () => {
			const {body} = await request(url, {dispatcher: agent});
			await body.text();
		}, {any: true});
	});
}

test('a body without end is read up to its limit', async t => {
	// Guards against an answer of the store or of a VM that takes all memory.
	const {url, sent} = await startEndlessServer(t, head, `${(1000).toString(16)}\r\n${'x'.repeat(1000)}\r\n`);
	const {body} = await request(url);
	const error = await t.throwsAsync(readBounded(body, 4_000_000, ResultCode.storeMalformed), {any: true});
	t.is((error as FescuewickError).code, ResultCode.storeMalformed);
	while (sent.bytes === 0) {
		await new Promise(resolve => {
			setTimeout(resolve, 10);
		});
	}

	t.true(sent.bytes < 40_000_000, `${sent.bytes} bytes`);
});

test('a body within its limit is read whole', async t => {
	const server = createServer(socket => {
		socket.end('HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole');
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => server.close());
	const {body} = await request(`http://127.0.0.1:${(server.address() as AddressInfo).port}/`);
	t.is(String(await readBounded(body, 5, ResultCode.storeMalformed)), 'whole');
});

/** A reproducible sequence of numbers in [0, limit). */
function * numbersBelow(limit: number): Generator<number, never> {
	for (let state = 1; ; state = (state * 48_271) % 2_147_483_647) {
		yield state % limit;
	}
}

/** Cuts a text into chunks of different lengths. */
function * chunksOf(text: string): Generator<string> {
	const lengths = numbersBelow(4096);
	for (let offset = 0; offset < text.length;) {
		const chunk = text.slice(offset, offset + 1 + lengths.next().value);
		offset += chunk.length;
		yield chunk;
	}
}

const longBody = Array.from({length: 40_000}, (_, index) => String(index).padStart(10, '0')).join('');
const longAnswers: Record<string, string> = {
	'in chunks': `${head}${[...chunksOf(longBody)].map(chunk => `${chunk.length.toString(16)}\r\n${chunk}\r\n`).join('')}0\r\n\r\n`,
	'with a length': `HTTP/1.1 200 OK\r\ncontent-length: ${longBody.length}\r\n\r\n${longBody}`,
};

for (const [form, answer] of Object.entries(longAnswers)) {
	test(`a long answer ${form} arrives whole although its reader pauses again and again`, async t => {
		// Guards against bytes that are lost while an answer is paused: streams read zero bytes of themselves, which took a piece of the answer. Callers with slow links got a cut-off answer.
		t.timeout(20_000);
		const server = createServer(socket => {
			socket.on('error', () => undefined);
			socket.once('data', () => {
				for (let offset = 0; offset < answer.length; offset += 1460) {
					socket.write(answer.slice(offset, offset + 1460));
				}
			});
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		t.teardown(() => server.close());
		const pool = new ConnectionPool(`http://127.0.0.1:${(server.address() as AddressInfo).port}`, {
			timers: new SystemTimerService(), connectTimeoutMs: 5000, limit: () => 1, onCapacityFreed: () => undefined,
		});
		for (let round = 0; round < 20; round++) {
			const connection = pool.acquire()!;
			let received = '';
			const pauses = numbersBelow(5);
			const problem = await new Promise<string | undefined>(resolve => {
				const attempt = new Attempt(connection, {
					onHead: () => undefined,
					onData(_attempt, chunk) {
						received += String(chunk);
						if (pauses.next().value > 0) {
							return true;
						}

						setTimeout(() => {
							attempt.resume();
						}, 1);
						return false;
					},
					onEnd() {
						resolve(undefined);
					},
					onFail(_attempt, error) {
						resolve(error.message);
					},
				});
				attempt.send({
					method: 'GET', path: '/', headers: [], body: undefined,
				});
			});
			t.is(problem, undefined);
			t.true(received === longBody, `${received.length} of ${longBody.length} bytes`);
			pool.discard(connection);
		}
	});
}
