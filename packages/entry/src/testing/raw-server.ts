import {
	createConnection, createServer, type AddressInfo, type Socket,
} from 'node:net';
import {type BackendRecord} from '@fescuewick/wire';

/** A backend server whose answers a test writes as raw bytes. */
export type RawServer = {
	readonly record: BackendRecord;
	/** Received chunks except probes; a small request arrives as one chunk. */
	readonly requests: string[];
	close(): Promise<void>;
};

/** Starts a server that calls `answer` for each request with its text and the number of requests so far; probes are answered with 200. */
export async function startRawServer(answer: (socket: Socket, text: string, count: number) => void, record: Partial<BackendRecord> = {}): Promise<RawServer> {
	const requests: string[] = [];
	const sockets = new Set<Socket>();
	const server = createServer(socket => {
		sockets.add(socket);
		socket.on('error', () => {/* The tests break connections on purpose. */});
		socket.on('data', chunk => {
			const text = chunk.toString('latin1');
			if (text.startsWith('GET /healthz')) {
				socket.write('HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n');
				return;
			}

			requests.push(text);
			answer(socket, text, requests.length);
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as AddressInfo;
	return {
		record: {
			server: 'raw', service: 'booking', failureDomain: 'a', region: 'r', address: `127.0.0.1:${port}`, slots: 8, connections: 100, leaving: false, ...record,
		},
		requests,
		async close() {
			for (const socket of sockets) {
				socket.destroy();
			}

			await new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
			});
		},
	};
}

/** Sends bytes to a URL's server and resolves with everything received until the connection closes or is idle for 3 s. */
export async function sendRaw(url: string, ...pieces: string[]): Promise<string> {
	const {hostname, port} = new URL(url);
	return new Promise(resolve => {
		let received = '';
		const socket = createConnection({host: hostname, port: Number(port)});
		socket.setTimeout(3000, () => {
			socket.destroy();
		});
		socket.on('data', chunk => {
			received += chunk.toString('latin1');
		});
		socket.on('error', error => {
			received += `[${(error as Error & {code?: string}).code ?? ''}]`;
		});
		socket.on('close', () => {
			resolve(received);
		});
		for (const piece of pieces) {
			socket.write(piece, 'latin1');
		}
	});
}
