import {type TimerService} from '@fescuewick/core';
import {buildConnector, Client} from 'undici';
import {FramingAllowance} from '../request/framing-allowance.js';
import {boundReads} from './bounded-reads.js';

/** Idle connections are not reused after this time, because Node.js servers close them after 5 s by default. */
const idleTimeoutMs = 4000;

/** Longest head of an answer unless the options say otherwise, in bytes; the default of the HTTP client. */
const defaultMaxHeadBytes = 16_384;
/** Bytes besides the body that an answer may have, as a multiple of the longest head: for informational answers, chunk sizes and trailers. */
const framingHeads = 2;

/** How a server ended a connection. */
export enum ConnectionEnd {
	orderly = 'orderly',
	reset = 'reset',
}

/** One connection to a backend server; it carries one request at a time. */
export class BackendConnection {
	/** When the server last completed an answer on this connection; undefined before the first. */
	lastAnswerAtMs: number | undefined;
	closed = false;
	/** How the server ended the connection; undefined while it has not. */
	end: ConnectionEnd | undefined;

	constructor(readonly client: Client, readonly allowance = new FramingAllowance(defaultMaxHeadBytes * framingHeads)) {}
}

/** Options of the connections to one backend server. */
export type ConnectionOptions = {
	readonly timers: TimerService;
	readonly connectTimeoutMs: number;
	/** Longest head of an answer, in bytes. */
	readonly maxHeadBytes?: number;
	/** Returns the number of connections that may be open now. */
	readonly limit: () => number;
	/** Called when a connection has closed, so that another may be opened. */
	readonly onCapacityFreed: () => void;
};

/** The connections to one backend server. */
export class ConnectionPool {
	readonly #open = new Set<BackendConnection>();
	#idle: BackendConnection[] = [];

	constructor(private readonly origin: string, private readonly options: ConnectionOptions) {}

	get size(): number {
		return this.#open.size;
	}

	/** Whether `acquire` would return a connection. */
	canAcquire(maxIdleMs = idleTimeoutMs): boolean {
		return this.#open.size < this.options.limit() || this.#idle.some(connection => this.#isUsable(connection, maxIdleMs));
	}

	/** An idle connection whose last answer is at most `maxIdleMs` old, or a new connection; undefined at the limit. */
	acquire(maxIdleMs = idleTimeoutMs): BackendConnection | undefined {
		// The most recently used connection is the most likely to be alive.
		const mostRecent = this.#idle.at(-1);
		if (mostRecent !== undefined && this.#isUsable(mostRecent, maxIdleMs)) {
			this.#idle.pop();
			return mostRecent;
		}

		if (mostRecent !== undefined && !this.#isUsable(mostRecent, idleTimeoutMs)) {
			this.closeIdle();
		}

		return this.#open.size < this.options.limit() ? this.#connect() : undefined;
	}

	/** Returns a new connection in place of an unused one, which is closed if the limit is reached. */
	replaceUnused(connection: BackendConnection): BackendConnection {
		if (this.#open.size < this.options.limit()) {
			this.returnUnused(connection);
		} else {
			this.discard(connection);
		}

		return this.#connect();
	}

	/** Makes a connection idle again that was acquired but not used. */
	returnUnused(connection: BackendConnection): void {
		if (connection.lastAnswerAtMs === undefined) {
			// Without an answer so far, it has not been opened: a client connects when it sends its first request.
			this.discard(connection);
		} else if (!connection.closed) {
			this.#idle.unshift(connection);
		}
	}

	/** Makes a connection idle again after a complete answer; closes it if the limit has been lowered. */
	release(connection: BackendConnection): void {
		connection.lastAnswerAtMs = this.options.timers.nowMs();
		if (!connection.closed && this.#open.size <= this.options.limit()) {
			this.#idle.push(connection);
			return;
		}

		this.discard(connection);
	}

	/** Closes a connection at once; a pending answer on it is lost. */
	discard(connection: BackendConnection): void {
		if (!connection.closed) {
			void connection.client.destroy();
			this.#remove(connection);
		}
	}

	/** Closes idle connections whose last answer came before `timeMs`. */
	discardIdleBefore(timeMs: number): void {
		const stale = this.#idle.filter(connection => (connection.lastAnswerAtMs ?? 0) < timeMs);
		for (const connection of stale) {
			this.discard(connection);
		}
	}

	/** Closes all idle connections. */
	closeIdle(): void {
		this.discardIdleBefore(Number.POSITIVE_INFINITY);
	}

	#isUsable(connection: BackendConnection, maxIdleMs: number): boolean {
		return !connection.closed && this.options.timers.nowMs() - (connection.lastAnswerAtMs ?? Number.NEGATIVE_INFINITY) <= Math.min(maxIdleMs, idleTimeoutMs);
	}

	#connect(): BackendConnection {
		const {connectTimeoutMs, maxHeadBytes = defaultMaxHeadBytes} = this.options;
		const connector = buildConnector({timeout: connectTimeoutMs});
		const allowance = new FramingAllowance(maxHeadBytes * framingHeads);
		const client: Client = new Client(this.origin, {
			pipelining: 1,
			keepAliveTimeout: idleTimeoutMs,
			maxHeaderSize: maxHeadBytes,
			// The requests enforce their own deadlines.
			headersTimeout: 0,
			bodyTimeout: 0,
			connect(options, callback) {
				connector(options, (...result) => {
					// The client treats an answer without a defined length as complete when the connection ends, even by a reset, so the kind of end is recorded.
					result[1]?.once('error', () => {
						connection.end = ConnectionEnd.reset;
					});
					const [error, socket] = result;
					if (error === null) {
						boundReads(result[1], allowance);
					}

					socket?.once('end', () => {
						// Libuv reports a reset that arrives together with data as an end; in that case the remote address is undefined.
						connection.end ??= socket.remoteAddress === undefined ? ConnectionEnd.reset : ConnectionEnd.orderly;
					});
					callback(...result);
				});
			},
		});
		const connection: BackendConnection = new BackendConnection(client, allowance);
		client.on('disconnect', () => {
			this.#onDisconnect(connection);
		});
		client.on('connectionError', () => {
			this.#onDisconnect(connection);
		});
		this.#open.add(connection);
		return connection;
	}

	#onDisconnect(connection: BackendConnection): void {
		if (!connection.closed) {
			void connection.client.destroy();
		}

		this.#remove(connection);
	}

	#remove(connection: BackendConnection): void {
		connection.closed = true;
		this.#idle = this.#idle.filter(other => other !== connection);
		if (this.#open.delete(connection)) {
			this.options.onCapacityFreed();
		}
	}
}
