import {Buffer} from 'node:buffer';
import {connect, type Socket} from 'node:net';

/** Pause before a client connects again after its connection was closed, in milliseconds. */
const reconnectMs = 500;
/** Bytes that a client hands to its socket at once. */
const batchBytes = 65_536;

/** What a client of a crowd sends. */
export type Sending = {
	/** Sent once when a connection opens. */
	readonly first?: string;
	/** Sent again and again after that, as fast as the connection takes it; without it, a client only keeps its connection open. */
	readonly repeated?: string;
};

/** Clients that send without reading responses, and connect again when their connections are closed. */
export class Crowd {
	readonly #sockets = new Set<Socket>();
	readonly #batch: Buffer | undefined;
	#isSending = true;
	#isEnded = false;

	constructor(private readonly port: number, size: number, private readonly sending: Sending) {
		const {repeated} = sending;
		this.#batch = repeated === undefined ? undefined : Buffer.from(repeated.repeat(Math.max(1, Math.ceil(batchBytes / repeated.length))), 'latin1');
		for (let index = 0; index < size; index++) {
			this.#connect();
		}
	}

	/** Sends nothing more; the connections stay open and their responses unread. */
	stopSending(): void {
		this.#isSending = false;
	}

	end(): void {
		this.#isEnded = true;
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}

	#connect(): void {
		if (this.#isEnded) {
			return;
		}

		const socket = connect({port: this.port, host: '127.0.0.1'});
		this.#sockets.add(socket);
		if (this.#batch === undefined) {
			// Notices when its connection is closed.
			socket.resume();
		} else {
			socket.pause();
		}

		socket.on('error', () => undefined);
		socket.once('close', () => {
			this.#sockets.delete(socket);
			setTimeout(() => {
				this.#connect();
			}, reconnectMs);
		});
		socket.once('connect', () => {
			if (this.sending.first !== undefined) {
				socket.write(this.sending.first, 'latin1');
			}

			this.#sendOn(socket);
		});
	}

	#sendOn(socket: Socket): void {
		if (this.#isSending && this.#batch !== undefined && !socket.destroyed) {
			socket.write(this.#batch, error => {
				if (!error) {
					this.#sendOn(socket);
				}
			});
		}
	}
}
