import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {type TimerService} from '@fescuewick/core';
import {closeServer, listen, urlOf} from './store-server.js';

/** Behaviour of an emulated backend server; fields can be changed while it runs. */
export type BackendBehaviour = {
	/** Requests it processes at once; more are refused with 503 and `x-shed: 1`. */
	slots: number;
	/** Connections it accepts; more are closed at once. */
	connections: number;
	/** Time to process a request, in milliseconds. */
	serviceMs: number;
	/** While draining, answers carry `x-draining: 1`. */
	draining: boolean;
	/** Fraction of answers that are cut in the middle. */
	cutFraction: number;
	/** Accepts requests and never answers. */
	silent: boolean;
	/** Additional time to process a request just after the start, in milliseconds; it decreases linearly to 0 over `coldForMs`. */
	coldExtraMs: number;
	coldForMs: number;
	/** Called when a run starts; `endedMs` and `isCancelled` of the same object are set when it ends. */
	onRun: ((run: BackendRun) => void) | undefined;
};

/** One run of a request at a backend server, with times of the server's timer service. */
export type BackendRun = {
	readonly server: string;
	/** Value of the query parameter `request`. */
	readonly requestId: string | undefined;
	readonly workspace: string | undefined;
	readonly startedMs: number;
	/** Undefined while it runs. */
	endedMs: number | undefined;
	isCancelled: boolean;
};

/** Observations of a backend server, for tests and experiments. */
export type BackendObservations = {
	runs: number;
	shed: number;
	cancelled: number;
	refusedConnections: number;
	maxInFlight: number;
	maxConnections: number;
	/** Number of runs by order key. */
	readonly runsByOrder: Map<string, number>;
	/** Values of the query parameter `request` of the requests that ran. */
	readonly requestsRun: Set<string>;
	/** Names of the received request headers that may carry a caller's key; callers' keys must not reach a server. */
	readonly keyHeadersSeen: string[];
};

/** A running emulated backend server. */
export type BackendServer = {
	readonly url: string;
	readonly address: string;
	readonly behaviour: BackendBehaviour;
	readonly observations: BackendObservations;
	close(): Promise<void>;
};

const defaultBehaviour: BackendBehaviour = {
	slots: 8, connections: 330, serviceMs: 5, draining: false, cutFraction: 0, silent: false, coldExtraMs: 0, coldForMs: 0, onRun: undefined,
};

const loopback = {host: '127.0.0.1', port: 0};

/** Starts an emulated backend server that answers with an echo of the request. */
export async function startBackendServer(name: string, timers: TimerService, behaviour: Partial<BackendBehaviour>, address = loopback): Promise<BackendServer> {
	const backend = new EmulatedBackend(name, timers, {...defaultBehaviour, ...behaviour});
	const server = createServer((request, response) => {
		void backend.handle(request, response);
	});
	server.on('connection', socket => {
		backend.accept(socket);
	});
	await listen(server, address);
	const url = urlOf(server, address.host);
	return {
		url,
		address: url.slice('http://'.length),
		behaviour: backend.behaviour,
		observations: backend.observations,
		close: async () => closeServer(server),
	};
}

class EmulatedBackend {
	readonly observations: BackendObservations = {
		runs: 0, shed: 0, cancelled: 0, refusedConnections: 0, maxInFlight: 0, maxConnections: 0, runsByOrder: new Map(), requestsRun: new Set(), keyHeadersSeen: [],
	};

	#inFlight = 0;
	#connections = 0;
	readonly #startedMs: number;

	constructor(readonly name: string, readonly timers: TimerService, readonly behaviour: BackendBehaviour) {
		this.#startedMs = timers.nowMs();
	}

	accept(socket: Socket): void {
		if (this.#connections >= this.behaviour.connections) {
			this.observations.refusedConnections++;
			socket.destroy();
			return;
		}

		this.#connections++;
		this.observations.maxConnections = Math.max(this.observations.maxConnections, this.#connections);
		socket.once('close', () => {
			this.#connections--;
		});
	}

	async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
		if (request.url === '/observations') {
			request.resume();
			const {runsByOrder, requestsRun, ...counts} = this.observations;
			this.#respond(response, 200, {...counts, runsByOrder: Object.fromEntries(runsByOrder), requestsRun: [...requestsRun]});
			return;
		}

		if (request.url === '/healthz') {
			request.resume();
			this.#respond(response, 200, {status: 'ok'});
			return;
		}

		if (this.#inFlight >= this.behaviour.slots) {
			this.observations.shed++;
			request.resume();
			response.setHeader('x-shed', '1');
			this.#respond(response, 503, {error: 'busy'});
			return;
		}

		this.#inFlight++;
		this.observations.maxInFlight = Math.max(this.observations.maxInFlight, this.#inFlight);
		try {
			await this.#run(request, response);
		} finally {
			this.#inFlight--;
		}
	}

	async #run(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const run = this.#recordRun(request);
		try {
			run.isCancelled = !await this.#work(request, response);
		} finally {
			run.endedMs = this.timers.nowMs();
			this.observations.cancelled += run.isCancelled ? 1 : 0;
		}
	}

	/** Processes a request and answers it; returns false if the caller disconnected before the answer. */
	async #work(request: IncomingMessage, response: ServerResponse): Promise<boolean> {
		let body = '';
		try {
			for await (const chunk of request as AsyncIterable<Uint8Array>) {
				body += new TextDecoder().decode(chunk);
			}
		} catch {
			return false;
		}

		if (this.behaviour.silent) {
			return true;
		}

		await this.#sleepUnlessClosed(response, this.#workMs(request));
		if (response.destroyed) {
			return false;
		}

		const text = JSON.stringify({
			server: this.name, method: request.method, path: request.url, workspace: request.headers['x-fescuewick-workspace'], body,
		});
		if (this.behaviour.cutFraction > 0 && (this.observations.runs * this.behaviour.cutFraction) % 1 < this.behaviour.cutFraction) {
			response.writeHead(200, {'content-type': 'application/json', 'content-length': text.length + 10});
			// The connection is closed only after the beginning was sent; otherwise no byte of the answer would arrive.
			response.write(text, () => {
				response.destroy();
			});
			return true;
		}

		this.#respond(response, 200, text);
		return true;
	}

	async #sleepUnlessClosed(response: ServerResponse, workMs: number): Promise<void> {
		await new Promise<void>(resolve => {
			const cancel = this.timers.after(workMs, resolve);
			response.once('close', () => {
				cancel();
				resolve();
			});
		});
	}

	/** Time to process a request; its query parameter `workMs` overrides that of the behaviour. */
	#workMs(request: IncomingMessage): number {
		const requestedMs = Number(new URL(request.url ?? '/', 'http://backend').searchParams.get('workMs'));
		if (requestedMs > 0) {
			return requestedMs;
		}

		const {serviceMs, coldExtraMs, coldForMs} = this.behaviour;
		const warmFraction = coldForMs === 0 ? 1 : Math.min(1, (this.timers.nowMs() - this.#startedMs) / coldForMs);
		return serviceMs + (coldExtraMs * (1 - warmFraction));
	}

	#recordRun(request: IncomingMessage): BackendRun {
		this.observations.runs++;
		const orderKey = request.headers['idempotency-key'];
		if (typeof orderKey === 'string') {
			this.observations.runsByOrder.set(orderKey, (this.observations.runsByOrder.get(orderKey) ?? 0) + 1);
		}

		const requestId = new URL(request.url ?? '/', 'http://backend').searchParams.get('request');
		if (requestId !== null) {
			this.observations.requestsRun.add(requestId);
		}

		for (const header of ['authorization', 'x-api-key']) {
			if (request.headers[header] !== undefined) {
				this.observations.keyHeadersSeen.push(header);
			}
		}

		const workspace = request.headers['x-fescuewick-workspace'];
		const run: BackendRun = {
			server: this.name,
			requestId: requestId ?? undefined,
			workspace: typeof workspace === 'string' ? workspace : undefined,
			startedMs: this.timers.nowMs(),
			endedMs: undefined,
			isCancelled: false,
		};
		this.behaviour.onRun?.(run);
		return run;
	}

	#respond(response: ServerResponse, status: number, body: unknown): void {
		if (this.behaviour.draining) {
			response.setHeader('x-draining', '1');
		}

		response.writeHead(status, {'content-type': 'application/json'});
		response.end(typeof body === 'string' ? body : JSON.stringify(body));
	}
}
