import {type Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';

/** A request that the fake server received. */
export type ReceivedRequest = {readonly head: string; readonly body: string};

/** Handles a request by writing its answer to the socket. */
export type RequestListener = (socket: Socket, request: ReceivedRequest) => void;

/** Value of a header of a request; empty if it is missing. */
export function headerOf({head}: ReceivedRequest, name: string): string {
	return new RegExp(`^${name}: *(.*)$`, 'im').exec(head)?.[1].trim() ?? '';
}

/** Answers with status 200, the proof of the server, the request's id and a body. */
export function answerOk(socket: Socket, request: ReceivedRequest, body = 'ok'): void {
	socket.write(`HTTP/1.1 200 OK\r\ntest-id: ${headerOf(request, 'test-id')}\r\ntest-proof: 1\r\ncontent-length: ${body.length}\r\n\r\n${body}`);
}

/** Answers that the request was not run. */
export function answerNotRun(socket: Socket, request: ReceivedRequest): void {
	socket.write(`HTTP/1.1 503 Full\r\ntest-id: ${headerOf(request, 'test-id')}\r\ntest-not-run: 1\r\ncontent-length: 0\r\n\r\n`);
}

/** A backend server that answers on raw sockets, so that tests can send invalid answers. */
export class FakeBackendServer {
	readonly requests: ReceivedRequest[] = [];
	closedConnections = 0;
	/** Called with the head of each request before its body has arrived. */
	onHead: (socket: Socket, head: string) => void = () => undefined;
	/** Whether new connections are read at all. */
	isReading = true;
	readonly #server: Server;
	readonly #sockets = new Set<Socket>();

	constructor(public onRequest: RequestListener = answerOk) {
		this.#server = createServer(socket => {
			this.#sockets.add(socket);
			let data = '';
			let isHeadSeen = false;
			const onData = (chunk: Buffer) => {
				data += chunk.toString('latin1');
				const end = data.indexOf('\r\n\r\n');
				if (end !== -1 && !isHeadSeen) {
					isHeadSeen = true;
					this.onHead(socket, data.slice(0, end));
				}

				const rest = this.#read(socket, data);
				isHeadSeen &&= rest.length === data.length;
				data = rest;
			};

			if (this.isReading) {
				socket.on('data', onData);
			}

			socket.on('error', () => {
				socket.destroy();
			});
			socket.on('close', () => {
				this.closedConnections++;
				this.#sockets.delete(socket);
			});
		});
	}

	/** Listens on loopback, on a free port by default; returns `ip:port`. */
	async listen(port = 0): Promise<string> {
		this.#server.listen(port, '127.0.0.1');
		await once(this.#server, 'listening');
		return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
	}

	close(): void {
		this.#server.close();
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}

	/** Handles the complete requests at the start of `data`; returns the rest. */
	#read(socket: Socket, data: string): string {
		for (;;) {
			const end = data.indexOf('\r\n\r\n');
			if (end === -1) {
				return data;
			}

			const head = data.slice(0, end);
			const length = Number(/^content-length: *(\d+)$/im.exec(head)?.[1] ?? 0);
			if (data.length < end + 4 + length) {
				return data;
			}

			const request = {head, body: data.slice(end + 4, end + 4 + length)};
			data = data.slice(end + 4 + length);
			this.requests.push(request);
			this.onRequest(socket, request);
		}
	}
}
