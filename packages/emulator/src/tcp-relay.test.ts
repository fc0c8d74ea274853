import {once} from 'node:events';
import {
	createConnection, createServer, type AddressInfo, type Socket,
} from 'node:net';
import process from 'node:process';
import test, {type ExecutionContext} from 'ava';
import {SystemTimerService} from '@fescuewick/core';
import {RelayMode, startTcpRelay, type TcpRelay} from './tcp-relay.js';

const timers = new SystemTimerService();

async function setUp(t: ExecutionContext): Promise<{relay: TcpRelay; connect: () => Promise<Socket>; serverSockets: Socket[]}> {
	const serverSockets: Socket[] = [];
	const server = createServer(socket => {
		serverSockets.push(socket);
		socket.on('error', () => undefined);
		socket.pipe(socket);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const relay = await startTcpRelay(`127.0.0.1:${(server.address() as AddressInfo).port}`);
	t.teardown(async () => {
		await relay.close();
		server.close();
	});
	return {
		relay,
		serverSockets,
		async connect() {
			const [host, port] = relay.address.split(':');
			const socket = createConnection({host, port: Number(port)});
			socket.on('error', () => undefined);
			t.teardown(() => socket.destroy());
			await once(socket, 'connect');
			return socket;
		},
	};
}

async function closeOf(socket: Socket): Promise<void> {
	await new Promise<void>(resolve => {
		socket.once('close', () => {
			resolve();
		});
	});
}

async function echo(socket: Socket, text: string): Promise<string | undefined> {
	let received = '';
	socket.on('data', chunk => {
		received += chunk.toString();
	});
	socket.write(text);
	const deadlineMs = timers.nowMs() + 300;
	while (received.length < text.length && timers.nowMs() < deadlineMs) {
		await timers.sleep(5);
	}

	return received.length === 0 ? undefined : received;
}

// Guards against a relay that changes bytes, and against a silenced connection that recovers or is closed at the other end.
test('a silenced connection stays silent at both ends while new ones work', async t => {
	const {relay, connect, serverSockets} = await setUp(t);
	const first = await connect();
	const text = 'x'.repeat(1_000_000);
	t.is(await echo(first, text), text);
	relay.silenceOpenConnections();
	t.is(await echo(first, 'lost'), undefined);
	const second = await connect();
	t.is(await echo(second, 'kept'), 'kept');
	first.destroy();
	await timers.sleep(50);
	t.false(serverSockets[0].destroyed);
	t.is(relay.connectionCount(), 1);
});

// Guards against a partition that heals for connections opened during it, and against refusals that hang.
test('dropping and refusing relays forward nothing', async t => {
	const {relay, connect} = await setUp(t);
	relay.setMode(RelayMode.dropping);
	const dropped = await connect();
	t.is(await echo(dropped, 'lost'), undefined);
	relay.setMode(RelayMode.refusing);
	await t.throwsAsync(async () => {
		const refused = await connect();
		await closeOf(refused);
		throw new Error('closed');
	});
	relay.setMode(RelayMode.open);
	t.is(await echo(dropped, 'lost'), undefined);
	t.is(await echo(await connect(), 'kept'), 'kept');
});

// Guards against an end that stays open after the other end was reset.
test('a reset reaches both ends', async t => {
	const {relay, connect, serverSockets} = await setUp(t);
	const socket = await connect();
	t.is(await echo(socket, 'up'), 'up');
	const closed = Promise.all([closeOf(socket), closeOf(serverSockets[0])]);
	relay.resetOpenConnections();
	await closed;
	t.is(relay.connectionCount(), 0);
});

// Guards against delayed bytes that arrive out of order, also when the delay is shortened meanwhile.
test('a slow relay forwards bytes late and in order', async t => {
	const {relay, connect} = await setUp(t);
	const socket = await connect();
	let text = '';
	socket.on('data', chunk => {
		text += String(chunk);
	});
	relay.setDelay(100);
	const startedAtMs = timers.nowMs();
	socket.write('a');
	await timers.sleep(20);
	socket.write('b');
	await timers.sleep(40);
	relay.setDelay(0);
	socket.write('c');
	while (text.length < 3) {
		await timers.sleep(5);
	}

	t.is(text, 'abc');
	t.true(timers.nowMs() - startedAtMs >= 100);
});

// Guards against a one-way fault that also drops requests, so that the case of a request that runs without an answer is not tested.
test('a connection whose answers are dropped still delivers requests', async t => {
	const {relay, connect, serverSockets} = await setUp(t);
	const socket = await connect();
	socket.on('data', () => {
		t.fail();
	});
	while (serverSockets.length === 0) {
		await timers.sleep(5);
	}

	const arrived = once(serverSockets[0], 'data');
	relay.silenceAnswers();
	socket.write('a');
	const [chunk] = await arrived as [Uint8Array];
	t.is(String(chunk), 'a');
	await timers.sleep(100);
});

// Guards against handles that stay open permanently after a reset of a connection whose FIN is still being sent, which keep a worker thread of the tests from ending.
test('a reset after the end of one side closes both sockets', async t => {
	const {relay, connect, serverSockets} = await setUp(t);
	const socket = await connect();
	while (serverSockets.length === 0) {
		await timers.sleep(5);
	}

	const count = () => process.getActiveResourcesInfo().filter(name => name === 'SimpleShutdownWrap').length;
	const before = count();
	serverSockets[0].pause();
	relay.setPaused(true);
	socket.end();
	await timers.sleep(50);
	relay.setPaused(false);
	relay.resetOpenConnections();
	await timers.sleep(100);
	t.is(count(), before);
	t.is(relay.connectionCount(), 0);
});
