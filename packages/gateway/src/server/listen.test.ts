import {createSocket} from 'node:dgram';
import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import test from 'ava';
import {
	createMemoryLogger, freePorts, ManualTimerService, SystemTimerService,
} from '@fescuewick/core';
import {listenAt} from './listen.js';

async function listening(port: number): Promise<Server> {
	const server = createServer();
	server.listen(port, '127.0.0.1');
	await once(server, 'listening');
	return server;
}

test('a start waits for a TCP port that another process still holds', async t => {
	// Guards against a process that ends by itself because its predecessor has not ended yet.
	const [port] = await freePorts(1);
	const holder = await listening(port);
	const lines: Array<Record<string, unknown>> = [];
	const server = createServer();
	t.teardown(() => server.close());
	const started = listenAt(server, `127.0.0.1:${port}`, {timers: new SystemTimerService(), logger: createMemoryLogger(lines)});
	setTimeout(() => {
		holder.close();
	}, 700);
	await started;
	t.true(server.listening);
	t.is(lines.filter(({event}) => event === 'port-taken').length, 1);
});

test('a start waits for a UDP port that another process still holds', async t => {
	const [port] = await freePorts(1);
	const holder = createSocket('udp4');
	holder.bind(port, '127.0.0.1');
	await once(holder, 'listening');
	const socket = createSocket('udp4');
	t.teardown(() => socket.close());
	const started = listenAt(socket, `127.0.0.1:${port}`, {timers: new SystemTimerService(), logger: createMemoryLogger([])});
	setTimeout(() => {
		holder.close();
	}, 700);
	await started;
	t.is(socket.address().port, port);
});

test('a start fails if a port stays taken', async t => {
	const [port] = await freePorts(1);
	const holder = await listening(port);
	t.teardown(() => holder.close());
	const timers = new ManualTimerService();
	const progress = {isDone: false};
	const failed = (async () => {
		await t.throwsAsync(listenAt(createServer(), `127.0.0.1:${port}`, {timers, logger: createMemoryLogger([])}), {code: 'EADDRINUSE'});
		progress.isDone = true;
	})();
	while (!progress.isDone) {
		await timers.advance(1000);
	}

	await failed;
	t.true(timers.nowMs() >= 30_000);
});
