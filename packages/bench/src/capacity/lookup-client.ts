import {Buffer} from 'node:buffer';
import {createConnection, type Socket} from 'node:net';
import {parentPort, workerData} from 'node:worker_threads';

/** Options of the client thread. */
export type LookupClientOptions = {readonly host: string; readonly port: number; readonly connections: number; readonly services: number};

const {host, port, connections, services} = workerData as LookupClientOptions;
const headTerminator = Buffer.from('\r\n\r\n');
let answered = 0;
let failed = 0;
let next = 0;

/** Opens a connection and sends each request on it when the response to the previous one is complete. */
function openConnection(): void {
	const socket = createConnection({host, port});
	let received = Buffer.alloc(0);
	socket.setNoDelay(true);
	socket.on('connect', () => {
		sendRequest(socket);
	});
	socket.on('data', chunk => {
		received = received.length === 0 ? chunk : Buffer.concat([received, chunk]);
		const headEnd = received.indexOf(headTerminator);
		if (headEnd === -1 || !isComplete(received, headEnd)) {
			return;
		}

		answered++;
		if (!received.subarray(0, 15).includes(' 200 ')) {
			failed++;
		}

		received = Buffer.alloc(0);
		sendRequest(socket);
	});
	socket.on('error', () => {
		failed++;
	});
}

function isComplete(received: Buffer, headEnd: number): boolean {
	const head = received.toString('latin1', 0, headEnd).toLowerCase();
	const length = /content-length: (\d+)/.exec(head);
	return length === null ? received.subarray(-5).equals(Buffer.from('0\r\n\r\n')) : received.length >= headEnd + headTerminator.length + Number(length[1]);
}

function sendRequest(socket: Socket): void {
	const index = next++;
	const from = `${1 + (index % 11)}.${(index * 7) % 256}.${(index * 13) % 256}.9`;
	socket.write(`GET /v1/lookup?service=service-${index % services}&from=${from} HTTP/1.1\r\nhost: lookup\r\n\r\n`);
}

parentPort?.on('message', () => {
	parentPort?.postMessage({answered, failed});
});
for (let connection = 0; connection < connections; connection++) {
	openConnection();
}
