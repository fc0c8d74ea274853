import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

/** A complete response that a client received. */
export type ReceivedResponse = {readonly status: number; readonly id: string | undefined; readonly isClosing: boolean; readonly body: string};

const pollIntervalMs = 10;

/** A request without a body, or the head of one with a body that `headers` declare. */
export function requestText(method: string, path: string, {id, headers = ''}: {readonly id: string; readonly headers?: string}): string {
	return `${method} ${path} HTTP/1.1\r\nhost: 127.0.0.1\r\ntest-key: key-acme\r\ntest-id: ${id}\r\n${headers}\r\n`;
}

/** A client that writes what a test says to one connection and reads the responses, which need a length. */
export class RawClient {
	/** Complete responses in their order. */
	readonly responses: ReceivedResponse[] = [];
	readonly socket: Socket;
	#received = Buffer.alloc(0);

	private constructor(address: string) {
		const {hostname, port} = new URL(`http://${address}`);
		// The client goes on sending after the gateway has ended the connection.
		this.socket = connect({port: Number(port), host: hostname, allowHalfOpen: true});
		this.socket.on('data', chunk => {
			this.#received = Buffer.concat([this.#received, chunk]);
			this.#takeResponses();
		});
		// A connection may end with a reset.
		this.socket.on('error', () => undefined);
	}

	/** Connects to `ip:port`; the connection is closed after the test. */
	static async open(t: {teardown(action: () => unknown): void}, address: string): Promise<RawClient> {
		const client = new RawClient(address);
		t.teardown(() => client.socket.destroy());
		await once(client.socket, 'connect');
		return client;
	}

	/** Whether the gateway has ended the connection. */
	get isEnded(): boolean {
		return this.socket.readableEnded || this.socket.destroyed;
	}

	/** Writes a request, or its head; see `requestText`. */
	request(...parameters: Parameters<typeof requestText>): void {
		this.socket.write(requestText(...parameters));
	}

	/** Waits until a number of responses are complete or the connection has ended, for a limited time. */
	async waitFor(count: number, timeoutMs: number): Promise<void> {
		const endMs = performance.now() + timeoutMs;
		while (this.responses.length < count && !this.isEnded && performance.now() < endMs) {
			await sleep(pollIntervalMs);
		}
	}

	#takeResponses(): void {
		for (let headEnd = this.#received.indexOf('\r\n\r\n'); headEnd !== -1; headEnd = this.#received.indexOf('\r\n\r\n')) {
			const head = this.#received.subarray(0, headEnd).toString('latin1');
			const end = headEnd + 4 + Number(/^content-length: *(\d+)/im.exec(head)?.[1] ?? 0);
			if (this.#received.length < end) {
				return;
			}

			this.responses.push({
				status: Number(head.split(' ', 2)[1]),
				id: /^test-id: *(\S+)/im.exec(head)?.[1],
				isClosing: /^connection: *close/im.test(head),
				body: this.#received.subarray(headEnd + 4, end).toString('latin1'),
			});
			this.#received = this.#received.subarray(end);
		}
	}
}
