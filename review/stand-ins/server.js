import {once} from 'node:events';
import {createServer} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';

/** Time after which a server closes an idle connection, in milliseconds. */
const idleCloseMs = 10_000;

/**
Stand-in for a server of the platform: takes only requests that expect it, runs `slots` of them at a time, queues three times as many and rejects the rest.

`answer`, if set, may answer a request in place of the sound server; it returns whether it did.
*/
export class BackendServer {
	answer;
	#running = 0;
	#queue = [];
	#sockets = new Set();
	#server = createServer(async (request, response) => this.#handle(request, response));

	constructor({id, service, zone, slots, workMs, record, store}) {
		Object.assign(this, {
			id, service, zone, slots, workMs, record, store, bornAtMs: Date.now(),
		});
		this.#server.keepAliveTimeout = idleCloseMs;
		this.#server.on('connection', socket => {
			this.#sockets.add(socket);
			socket.once('close', () => this.#sockets.delete(socket));
		});
	}

	/** Listens on loopback and registers in the store. */
	async start() {
		this.#server.listen(0, '127.0.0.1');
		await once(this.#server, 'listening');
		this.address = `127.0.0.1:${this.#server.address().port}`;
		this.register('ready');
	}

	register(state) {
		this.store.set('servers', this.id, {
			service: this.service, address: this.address, zone: this.zone, version: 'v1', slots: this.slots, state, coldRemainingS: 0, sequence: 1, born: this.bornAtMs,
		});
	}

	close() {
		this.#server.close();
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}

	/** Headers of an answer to a request. */
	headers(request) {
		return {
			'x-request-id': request.headers['x-request-id'] ?? '',
			'x-server-stamp': `${this.id}.${request.headers['x-request-id']}`,
			'x-server-load': `${this.#running},${this.#queue.length},${this.slots}`,
		};
	}

	async #handle(request, response) {
		const id = request.headers['x-request-id'];
		request.on('error', () => undefined);
		response.on('error', () => undefined);
		const load = `${this.#running},${this.#queue.length},${this.slots}`;
		if (request.url === '/health') {
			request.resume();
			response.writeHead(200, {'x-instance-id': this.id, 'x-server-load': load}).end();
			return;
		}

		if (request.headers['x-expect-instance'] !== this.id) {
			request.resume();
			response.writeHead(421, {...this.headers(request), 'x-instance-id': this.id, 'x-not-executed': '1'}).end();
			return;
		}

		if (this.#running >= this.slots && this.#queue.length >= this.slots * 3) {
			request.resume();
			response.writeHead(503, {...this.headers(request), 'x-not-executed': '1'}).end();
			return;
		}

		if (this.#running >= this.slots) {
			await new Promise(resolve => {
				this.#queue.push(resolve);
			});
		}

		if (request.socket.destroyed) {
			this.#queue.shift()?.();
			return;
		}

		this.#running++;
		this.record.add('run', {
			server: this.id, id, method: request.method, path: request.url,
		});
		try {
			if (!await this.answer?.(request, response, this)) {
				await this.#answerSoundly(request, response);
			}
		} finally {
			this.#running--;
			this.#queue.shift()?.();
		}
	}

	async #answerSoundly(request, response) {
		request.resume();
		await sleep(this.workMs);
		if (!response.destroyed) {
			const body = `${this.id} ran ${request.headers['x-request-id']}`;
			response.writeHead(200, {...this.headers(request), 'content-length': body.length}).end(body);
			this.record.add('server-answered', {server: this.id, id: request.headers['x-request-id'], status: 200});
		}
	}
}
