import {
	createServer, ServerResponse, type IncomingMessage, type Server, type ServerOptions,
} from 'node:http';
import {type Socket} from 'node:net';
import {countBy, maxBy, minBy} from 'es-toolkit';
import {Gauge} from 'prom-client';
import {type Logger, type Metrics, type TimerService} from '@fescuewick/core';
import {type GatewaySettings} from '../settings.js';
import {ClientConnection} from './client-connection.js';
import {
	ClientLimit, ClientTotals, completeClientLimits, type ClientLimits,
} from './client-limits.js';
import {ConnectionState} from './connection-state.js';

/** Connections that a listener may have even if all listeners together have too many, so that readiness can be asked while callers take all connections. */
const reservedConnections = 16;
/** Bytes received and not parsed, over all connections; one read of a socket takes up to 64 KB, and a paused socket may hold two of them. */
const maxUnparsedBytes = 8_388_608;
/** A client that has taken nothing for this time may be closed when memory or connections run short, in milliseconds. */
const shortStallMs = 1000;
/** Longest time from the end of a connection's last response until the client closes it, in milliseconds; closing it earlier may lose the response. */
const lingerMs = 2000;
/** Interval at which limits that were reached are logged, in milliseconds. */
const logIntervalMs = 1000;

type ClientConnectionsOptions = {
	readonly settings: GatewaySettings['clients'];
	readonly timers: TimerService;
	readonly logger: Logger;
	readonly metrics: Metrics;
};

/** Called with the reason when what a client sends is not valid HTTP. */
type MalformedListener = (reason: string) => void;

type RequestListener = (request: IncomingMessage, response: ServerResponse, arrivedAtMs: number) => void;

const connectionOf = new WeakMap<Socket, ClientConnection>();

/** Ends the connection of a response whose head is about to be written, if no request was read behind its own; returns whether it does, which the head has to say. Closing it behind another response would cut off the requests that were sent ahead. */
export function endConnectionAfter(response: ServerResponse): boolean {
	return connectionOf.get(response.req.socket)?.endAfter(response) ?? true;
}

/** A response that its connection counts from the moment its request is parsed, also if Node.js answers it by itself. */
class ClientResponse extends ServerResponse {
	constructor(...parameters: ConstructorParameters<typeof ServerResponse>) {
		super(...parameters);
		const [request] = parameters;
		connectionOf.get(request.socket)?.recordRequest(request, this);
	}
}

/** Bounds what clients hold at all listeners of a process: requests, responses, data and connections. Pauses connections first; closes those that make no progress, or that memory or descriptors do not suffice for. */
export class ClientConnections {
	readonly #limits: ClientLimits;
	readonly #totals = new ClientTotals();
	/** Connections by the server that accepted them, in the order of their opening. */
	readonly #byServer = new Map<Server, Map<Socket, ClientConnection>>();
	/** Limits reached since they were last logged. */
	readonly #reached = new Map<ClientLimit, number>();
	readonly #counter;
	#loggedAtMs: number;

	constructor(private readonly options: ClientConnectionsOptions) {
		const {settings, timers, metrics} = options;
		this.#limits = completeClientLimits(settings);
		this.#loggedAtMs = timers.nowMs();
		this.#counter = metrics.counter('fescuewick_client_limits_total', 'Times that connections of clients were paused or closed, by the limit that was reached', ['limit'] as const);
		const connections = new Gauge({
			name: 'fescuewick_client_connections',
			help: 'Connections of clients by state',
			labelNames: ['state'],
			registers: [metrics.registry],
			collect: () => {
				const counts = countBy(this.#all(), ({state}) => state);
				for (const state of Object.values(ConnectionState)) {
					connections.set({state}, counts[state] ?? 0);
				}
			},
		});
	}

	/** Requests that were parsed and whose handling has not begun. */
	get waitingCount(): number {
		return this.#all().reduce((sum, {waitingCount}) => sum + waitingCount, 0);
	}

	/** Connections of a server with responses to send, or that have ended and were not closed by their clients yet; those whose clients take nothing are left out. */
	unfinishedCount(server: Server): number {
		return [...this.#byServer.get(server)!.values()].filter(({state, unansweredCount, stalledMs}) => (unansweredCount > 0 || state === ConnectionState.closing) && stalledMs <= shortStallMs).length;
	}

	/** Creates a server whose clients are bounded. Requests that wait for the client to read are handled later; `arrivedAtMs` is when they were parsed. */
	createServer(serverOptions: ServerOptions, onRequest: RequestListener, onMalformed: MalformedListener = () => undefined): Server {
		const {timers} = this.options;
		// A request without a host is refused by its handler, so that Node.js does not answer requests that are not handled yet.
		// eslint-disable-next-line @typescript-eslint/naming-convention
		const server = createServer({...serverOptions, requireHostHeader: false, ServerResponse: ClientResponse as typeof ServerResponse});
		this.#byServer.set(server, new Map());
		server.on('connection', socket => {
			this.#accept(server, socket);
		});
		const handle = (request: IncomingMessage, response: ServerResponse) => {
			const arrivedAtMs = timers.nowMs();
			connectionOf.get(request.socket)!.handle(response, () => {
				onRequest(request, response, arrivedAtMs);
			});
		};

		server.on('request', handle);
		// Without a listener, callers are told to send their bodies before their requests are admitted.
		server.on('checkContinue', handle);
		server.on('clientError', (error: Error & {code?: string}, socket) => {
			if (error.code === 'ECONNRESET' || !socket.writable) {
				socket.destroy();
				return;
			}

			const connection = connectionOf.get(socket as Socket)!;
			if (error.code === 'ERR_HTTP_REQUEST_TIMEOUT' && connection.state === ConnectionState.paused) {
				// The rest of the head may have arrived and not been read.
				return;
			}

			onMalformed(error.code ?? error.message);
			connection.endWith(`HTTP/1.1 ${error.code === 'HPE_HEADER_OVERFLOW' ? '431 Request Header Fields Too Large' : '400 Bad Request'}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
		});
		return server;
	}

	/** Closes connections that make no progress or hold too much; to be called several times a second. */
	check(): void {
		const {maxStallMs, maxUnsentBytesTotal} = this.#limits;
		for (const connection of this.#all().filter(({isClosed}) => !isClosed)) {
			connection.check();
			if (connection.stalledMs > maxStallMs) {
				this.#close(connection, ClientLimit.stalledReader);
			} else if (connection.state === ConnectionState.closing && connection.unansweredCount === 0 && this.options.timers.nowMs() - connection.activeAtMs > lingerMs && connection.stalledMs === 0) {
				this.#close(connection, ClientLimit.lingering);
			}
		}

		if (this.#totals.unsentBytes > maxUnsentBytesTotal) {
			const stalled = this.#all().filter(({stalledMs}) => stalledMs > shortStallMs).sort((one, other) => other.unsentBytes - one.unsentBytes);
			for (const connection of stalled) {
				if (this.#totals.unsentBytes > maxUnsentBytesTotal) {
					this.#close(connection, ClientLimit.unsentTotal);
				}
			}
		}

		this.#boundUnparsed();
		this.#log();
	}

	#all(): ClientConnection[] {
		return [...this.#byServer.values()].flatMap(connections => [...connections.values()]);
	}

	#accept(server: Server, socket: Socket): void {
		const connections = this.#byServer.get(server)!;
		const count = [...this.#byServer.values()].reduce((sum, {size}) => sum + size, 0);
		if (count >= this.#limits.maxConnections && connections.size >= reservedConnections) {
			this.#count(ClientLimit.connections);
			const victim = this.#victim();
			if (victim === undefined) {
				socket.destroy();
				return;
			}

			victim.close();
		}

		const connection = new ClientConnection({
			socket,
			limits: this.#limits,
			totals: this.#totals,
			timers: this.options.timers,
			onLimit: limit => {
				this.#count(limit);
				this.#boundUnparsed();
			},
		});
		connectionOf.set(socket, connection);
		connections.set(socket, connection);
		socket.once('close', () => {
			connections.delete(socket);
		});
	}

	/** The connection to close for a new one, at the listener that has the most: idle ones first, of these the ones without any request so far, then stalled ones. */
	#victim(): ClientConnection | undefined {
		const candidates = [...maxBy([...this.#byServer.values()], ({size}) => size)!.values()].filter(({state}) => state !== ConnectionState.closing);
		const idle = candidates.filter(({isIdle}) => isIdle);
		return idle.find(({answeredCount}) => answeredCount === 0)
			?? minBy(idle, ({activeAtMs}) => activeAtMs)
			?? maxBy(candidates.filter(({stalledMs}) => stalledMs > shortStallMs), ({unsentBytes}) => unsentBytes);
	}

	/** Closes paused connections while too much received data waits to be parsed; those with the most come first. */
	#boundUnparsed(): void {
		if (this.#totals.unparsedBytes <= maxUnparsedBytes) {
			return;
		}

		const paused = this.#all().filter(({state}) => state === ConnectionState.paused).sort((one, other) => other.unparsedBytes - one.unparsedBytes);
		for (const connection of paused) {
			if (this.#totals.unparsedBytes > maxUnparsedBytes) {
				this.#close(connection, ClientLimit.unparsedTotal);
			}
		}
	}

	#close(connection: ClientConnection, limit: ClientLimit): void {
		this.#count(limit);
		connection.close();
	}

	#count(limit: ClientLimit): void {
		this.#counter.inc({limit});
		this.#reached.set(limit, (this.#reached.get(limit) ?? 0) + 1);
	}

	/** Writes one line for each limit that was reached, at most every `logIntervalMs`. */
	#log(): void {
		const {timers, logger} = this.options;
		if (this.#reached.size === 0 || timers.nowMs() - this.#loggedAtMs < logIntervalMs) {
			return;
		}

		const {unanswered, unsentBytes, unparsedBytes} = this.#totals;
		for (const [limit, count] of this.#reached) {
			logger.warn({
				event: 'client-limit', limit, count, connections: this.#all().length, unanswered, unsentBytes, unparsedBytes,
			}, 'connections of clients were paused or closed');
		}

		this.#reached.clear();
		this.#loggedAtMs = timers.nowMs();
	}
}
