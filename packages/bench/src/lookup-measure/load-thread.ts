import {Buffer} from 'node:buffer';
import {connect, type Socket} from 'node:net';
import process from 'node:process';
import {parentPort, workerData} from 'node:worker_threads';

/** Options of a load thread. */
export type LoadThreadOptions = {readonly port: number; readonly connections: number; readonly paths: readonly string[]};

const headTerminator = Buffer.from('\r\n\r\n');
// Servers write `content-length`, `Content-length` or `Content-Length`; the first letter is omitted and the case of the second word has two variants.
const lengthField = Buffer.from('ontent-length: ');
const lengthFieldUpper = Buffer.from('ontent-Length: ');

/** Sends requests sequentially over one connection until the thread exits. */
function runConnection(socket: Socket, requests: readonly Buffer[], offset: number, onResponse: () => void): void {
	let next = offset;
	let received = Buffer.alloc(0);
	const send = () => {
		socket.write(requests[next % requests.length]);
		next += 7;
	};

	socket.setNoDelay(true);
	socket.on('connect', send);
	socket.on('error', error => {
		throw error;
	});
	socket.on('data', chunk => {
		received = received.length === 0 ? chunk : Buffer.concat([received, chunk]);
		const headEnd = received.indexOf(headTerminator);
		if (headEnd === -1) {
			return;
		}

		const field = Math.max(received.indexOf(lengthField), received.indexOf(lengthFieldUpper));
		const length = Number.parseInt(received.toString('latin1', field + lengthField.length, field + lengthField.length + 8), 10);
		if (received.length >= headEnd + headTerminator.length + length) {
			received = Buffer.alloc(0);
			onResponse();
			send();
		}
	});
}

if (parentPort !== null) {
	const {port, connections, paths} = workerData as LoadThreadOptions;
	const requests = paths.map(path => Buffer.from(`GET ${path} HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: keep-alive\r\n\r\n`));
	let responses = 0;
	const onResponse = () => {
		responses++;
	};

	for (let index = 0; index < connections; index++) {
		runConnection(connect(port, '127.0.0.1'), requests, index, onResponse);
	}

	parentPort.on('message', (message: 'count' | 'stop') => {
		if (message === 'stop') {
			process.exit(0);
		}

		parentPort!.postMessage(responses);
	});
}
