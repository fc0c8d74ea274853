import {createConnection, createServer, type Socket} from 'node:net';
import {
	FescuewickError, ResultCode, toFescuewickError,
} from '@fescuewick/core';
import {splitAddress} from './address.js';
import {encodeFrame, FrameDecoder} from './frame-codec.js';
import {
	Link, Transport, type LinkOptions, type Listener,
} from './link.js';
import {type MessageType} from './messages.js';

/** A link whose send buffer exceeds this is closed, because its peer does not read. */
const maxSendBufferBytes = 8 * 1024 * 1024;

/** A link opened by this process is closed as silent if the peer's hello has not arrived within this time, connecting included. */
export const connectTimeoutMs = 1500;

/** Time for buffered frames to be sent after a link was closed; the socket is then destroyed. */
const closeFlushTimeoutMs = 500;

/** A link over a TCP socket; the link owns the socket and destroys it. */
class TcpLink extends Link {
	readonly #socket: Socket;
	readonly #decoder = new FrameDecoder();

	constructor(socket: Socket, connecting: boolean, options: LinkOptions) {
		super(options);
		this.#socket = socket;
		socket.setNoDelay(true);
		socket.on('data', chunk => {
			this.#read(chunk);
		});
		socket.on('error', error => {
			this.close(new FescuewickError(ResultCode.peerClosed, error.message, {cause: error}));
		});
		socket.on('close', () => {
			this.close(new FescuewickError(ResultCode.peerClosed, 'peer closed the connection'));
		});
		if (connecting) {
			socket.once('connect', () => {
				this.start();
			});
		} else {
			this.start();
		}
	}

	protected transmit(type: MessageType, id: number, body: unknown): void {
		this.#socket.write(encodeFrame(type, id, body));
		if (this.#socket.writableLength > maxSendBufferBytes) {
			this.close(new FescuewickError(ResultCode.peerSilent, `peer does not read: the send buffer exceeds ${maxSendBufferBytes} bytes`));
		}
	}

	protected disconnect(): void {
		// Frames written before, such as a goodbye, are still sent; the timeout frees the socket if the peer does not read.
		this.#socket.destroySoon();
		this.options.timers.after(closeFlushTimeoutMs, () => {
			this.#socket.destroy();
		});
	}

	#read(chunk: Parameters<FrameDecoder['push']>[0]): void {
		try {
			for (const {type, id, body} of this.#decoder.push(chunk)) {
				this.receive(type, id, body);
			}
		} catch (error) {
			this.close(toFescuewickError(error));
		}
	}
}

/** Links over TCP. */
export class TcpTransport extends Transport {
	connect(address: string, options: LinkOptions): Link {
		const {host, port} = splitAddress(address);
		const link = new TcpLink(createConnection({host, port}), true, options);
		// If the address drops packets, the socket reports no error for a long time.
		options.timers.after(connectTimeoutMs, () => {
			if (link.peer === undefined) {
				link.close(new FescuewickError(ResultCode.peerSilent, `no hello from ${address} within ${connectTimeoutMs} ms`));
			}
		});
		return link;
	}

	async listen(address: string, options: () => LinkOptions): Promise<Listener> {
		const {host, port} = splitAddress(address);
		const server = createServer(socket => new TcpLink(socket, false, options()));
		await new Promise<void>((resolve, reject) => {
			server.once('error', reject);
			server.listen(port, host, resolve);
		});
		const boundAddress = server.address();
		const boundPort = typeof boundAddress === 'object' && boundAddress !== null ? boundAddress.port : port;
		return {
			address: `${host}:${boundPort}`,
			async close() {
				await new Promise<void>(resolve => {
					server.close(() => {
						resolve();
					});
					// Existing links are closed by their owners; waiting for them here would block the shutdown.
					resolve();
				});
			},
		};
	}
}
