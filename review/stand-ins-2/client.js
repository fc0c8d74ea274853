// A client that keeps its connection and reads the responses in the order of its requests.
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {connect} from 'node:net';

const host = 'ficu95.example';
const key = 'xd9dnn2ctnfzs989anu6';

/** Head of a request; `lengthBytes` is the length of its body, if it has one. */
export function requestHead({method, path, id, deadlineMs, lengthBytes}) {
	const length = lengthBytes === undefined ? '' : `Content-Length: ${lengthBytes}\r\n`;
	return `${method} ${path} HTTP/1.1\r\nHost: ${host}\r\nX-Request-Id: ${id}\r\nX-Deadline-Ms: ${deadlineMs}\r\nX-Credential: ${key}\r\n${length}\r\n`;
}

/** One connection to a gateway. */
export class ClientConnection {
	/** Complete responses, in their order. */
	responses = [];
	isClosed = false;
	#received = Buffer.alloc(0);
	#waiting = new Set();

	constructor(port) {
		this.socket = connect(port, '127.0.0.1');
		this.socket.on('data', chunk => {
			this.#received = Buffer.concat([this.#received, chunk]);
			while (this.#takeResponse()) {
				// Further responses may have arrived with it.
			}

			this.#notify();
		});
		this.socket.on('error', error => {
			this.error = error.code;
		});
		this.socket.once('close', () => {
			this.isClosed = true;
			this.#notify();
		});
	}

	async opened() {
		await once(this.socket, 'connect');
	}

	write(data) {
		this.socket.write(data);
	}

	close() {
		this.socket.destroy();
	}

	/** Waits until `count` responses are complete or the connection has closed, for at most `timeoutMs`; returns whether they are complete. */
	async waitFor(count, timeoutMs) {
		const endMs = Date.now() + timeoutMs;
		while (this.responses.length < count && !this.isClosed && Date.now() < endMs) {
			await new Promise(resolve => {
				const timer = setTimeout(resolve, endMs - Date.now());
				this.#waiting.add(() => {
					clearTimeout(timer);
					resolve();
				});
			});
		}

		return this.responses.length >= count;
	}

	#notify() {
		for (const wake of this.#waiting) {
			wake();
		}

		this.#waiting.clear();
	}

	/** Takes a complete response with a length from what was received. */
	#takeResponse() {
		const headEnd = this.#received.indexOf('\r\n\r\n');
		if (headEnd === -1) {
			return false;
		}

		const head = this.#received.subarray(0, headEnd).toString('latin1');
		const end = headEnd + 4 + Number(/^content-length: (\d+)/im.exec(head)[1]);
		if (this.#received.length < end) {
			return false;
		}

		this.responses.push({
			status: Number(head.slice('HTTP/1.1 '.length).slice(0, 3)),
			id: /^x-request-id: (\S+)/im.exec(head)?.[1],
			isStamped: /^x-server-stamp:/im.test(head),
			isClosing: /^connection: close/im.test(head),
			saysLeaving: /^server-leaving: 1/im.test(head),
			body: this.#received.subarray(headEnd + 4, end).toString('latin1'),
			atMs: Date.now(),
		});
		this.#received = this.#received.subarray(end);
		return true;
	}
}
