import {createServer} from 'node:http';
import {createConnection, type AddressInfo, type Socket} from 'node:net';
import process from 'node:process';
import test from 'ava';
import {stopListening} from './stop-listening.js';

async function nextTick(): Promise<void> {
	await new Promise<void>(resolve => {
		process.nextTick(resolve);
	});
}

// Guards against resetting connections in the accept queue when the port is closed.
test('pending connections are accepted and served before the port closes', async t => {
	const server = createServer((_request, response) => {
		response.writeHead(200, {connection: 'close', 'content-length': '0'}).end();
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as AddressInfo;
	const sockets = Array.from({length: 20}, () => createConnection(port, '127.0.0.1'));
	const answers = sockets.map(async socket => new Promise<string>(resolve => {
		let text = '';
		socket.write('GET / HTTP/1.1\r\nhost: entry\r\n\r\n');
		socket.setEncoding('latin1');
		socket.on('data', chunk => {
			text += String(chunk);
		});
		socket.on('error', error => {
			resolve(String(error));
		});
		socket.on('close', () => {
			resolve(text);
		});
	}));
	// The kernel completes the connections at once, but the event loop has not accepted them when the server is closed.
	await nextTick();
	let hasEnded = false;
	await stopListening(server, () => {
		hasEnded = true;
	});
	t.false(server.listening);
	const texts = await Promise.all(answers);
	t.deepEqual(texts.filter(text => !text.startsWith('HTTP/1.1 200')), []);
	await nextTick();
	t.true(hasEnded);
});

// Guards against a port that never closes while new connections keep arriving.
test('a stream of new connections does not keep the port open', async t => {
	const server = createServer();
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as AddressInfo;
	const sockets = new Set<Socket>();
	let isStreaming = true;
	const connect = () => {
		const socket = createConnection(port, '127.0.0.1');
		sockets.add(socket);
		socket.on('error', () => undefined);
		if (isStreaming) {
			setImmediate(connect);
		}
	};

	connect();
	await stopListening(server, () => undefined);
	isStreaming = false;
	t.false(server.listening);
	for (const socket of sockets) {
		socket.destroy();
	}
});
