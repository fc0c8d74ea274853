// A backend server that reads requests from its connections one after the other.
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:net';

/** Head of a request with its fields. */
class RequestHead {
	constructor(text) {
		[this.method, this.path] = text.split(' ', 2);
		const valueOf = name => new RegExp(`^${name}: (\\S+)`, 'im').exec(text)?.[1];
		this.id = valueOf('x-request-id');
		this.expectedServer = valueOf('x-expect-instance');
		this.lengthBytes = Number(valueOf('content-length') ?? 0);
	}
}

/** Serves requests as `onHead` and `onRequest` say; each gets the head and a function that sends a response. */
export class BackendServer {
	#sockets = new Set();
	#server = createServer(socket => {
		this.#accept(socket);
	});

	constructor(id, {onHead = () => undefined, onRequest}) {
		Object.assign(this, {id, onHead, onRequest});
	}

	/** Listens on loopback; returns `ip:port`. */
	async listen() {
		this.#server.listen(0, '127.0.0.1');
		await once(this.#server, 'listening');
		return `127.0.0.1:${this.#server.address().port}`;
	}

	close() {
		this.#server.close();
	}

	/** Stops listening and closes all connections, as at the end of a process. */
	exit() {
		this.#server.close();
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}

	#accept(socket) {
		let received = Buffer.alloc(0);
		let head;
		let missingBytes = 0;
		this.#sockets.add(socket);
		socket.once('close', () => {
			this.#sockets.delete(socket);
		});
		socket.on('error', () => undefined);
		socket.on('data', chunk => {
			received = Buffer.concat([received, chunk]);
			for (;;) {
				if (head === undefined) {
					const headEnd = received.indexOf('\r\n\r\n');
					if (headEnd === -1) {
						return;
					}

					head = new RequestHead(received.subarray(0, headEnd).toString('latin1'));
					received = received.subarray(headEnd + 4);
					missingBytes = head.lengthBytes;
					this.#begin(head, socket);
				}

				const taken = Math.min(missingBytes, received.length);
				received = received.subarray(taken);
				missingBytes -= taken;
				if (missingBytes > 0) {
					return;
				}

				this.#complete(head, socket);
				head = undefined;
			}
		});
	}

	#begin(head, socket) {
		if (this.#isForThisServer(head)) {
			this.onHead(head, this.#responder(head, socket));
		}
	}

	#complete(head, socket) {
		const respond = this.#responder(head, socket);
		if (head.path === '/health') {
			respond(200, '');
		} else if (this.#isForThisServer(head)) {
			this.onRequest(head, respond);
		} else {
			respond(421, '', 'X-Not-Executed: 1\r\n');
		}
	}

	#isForThisServer({path, expectedServer}) {
		return path !== '/health' && (expectedServer === undefined || expectedServer === this.id);
	}

	#responder({id}, socket) {
		return (status, body, headers = `X-Server-Stamp: ${this.id}.${id}\r\n`) => {
			if (!socket.destroyed) {
				socket.write(`HTTP/1.1 ${status} Status\r\nX-Request-Id: ${id ?? ''}\r\nX-Instance-Id: ${this.id}\r\n${headers}Content-Length: ${body.length}\r\n\r\n${body}`);
			}

			return !socket.destroyed;
		};
	}
}
