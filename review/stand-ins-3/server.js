/** A small stand-in of a server: runs requests in its slots, queues a few, and answers as the protocol says. */
import {once} from 'node:events';
import {createServer} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {listen} from './network.js';

const idleTimeoutMs = 10_000;

/** Starts a server on loopback. */
export async function startServer(options) {
	const server = new Server(options);
	server.address = await listen(server.http);
	return server;
}

class Server {
	born = Date.now();
	/** Requests that ran, by id, with the number of runs. */
	runs = new Map();
	#running = 0;
	#queue = [];
	http = createServer((request, response) => {
		this.#handleOrDrop(request, response);
	});

	/** `work` returns the time and the length of an answer by the path of the request; `spoil` may break an answer off. */
	constructor({id, service, zone, slots = 8, work, spoil = () => false, extraHeaders = {}}) {
		Object.assign(this, {
			id, service, zone, slots, work, spoil, extraHeaders,
		});
		this.http.keepAliveTimeout = idleTimeoutMs;
	}

	/** The server's entry in the store. */
	entry(state = 'ready') {
		const {service, address, zone, slots, born} = this;
		return {
			service, address, zone, version: 'v1', slots, state, coldRemainingS: 0, sequence: 1, born,
		};
	}

	close() {
		this.http.close();
		this.http.closeAllConnections();
	}

	async #handleOrDrop(request, response) {
		try {
			await this.#handle(request, response);
		} catch {
			// A caller that has gone away needs no answer.
			response.destroy();
		}
	}

	async #handle(request, response) {
		request.resume();
		await once(request, 'end');
		const id = request.headers['x-request-id'];
		const headers = {'x-instance-id': this.id, ...(id !== undefined && {'x-request-id': id})};
		const load = () => ({'x-server-load': `${this.#running},${this.#queue.length},${this.slots}`});
		if (request.url === '/health') {
			response.writeHead(200, {...headers, ...load()}).end('ok');
			return;
		}

		if (request.headers['x-expect-instance'] !== this.id) {
			response.writeHead(421, {...headers, 'x-not-executed': '1'}).end();
			return;
		}

		if (this.#running >= this.slots && this.#queue.length >= this.slots) {
			response.writeHead(503, {...headers, ...load(), 'x-not-executed': '1'}).end();
			return;
		}

		if (this.#running >= this.slots) {
			await new Promise(resolve => {
				this.#queue.push(resolve);
			});
		}

		this.#running++;
		this.runs.set(id, (this.runs.get(id) ?? 0) + 1);
		const {workMs, bytes} = this.work(request.url);
		await Promise.race([sleep(workMs), once(response, 'close')]);
		this.#running--;
		this.#queue.shift()?.();
		if (response.destroyed) {
			return;
		}

		const body = id.repeat(Math.ceil(bytes / id.length)).slice(0, bytes);
		response.writeHead(200, {
			...headers, ...load(), ...this.extraHeaders, 'x-server-stamp': `${this.id}.${id}`, 'content-length': String(bytes),
		});
		if (this.spoil(request.url)) {
			response.write(body.slice(0, Math.floor(bytes * 0.8)), () => {
				response.socket.destroySoon();
			});
			return;
		}

		response.end(body);
	}
}
