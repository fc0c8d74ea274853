// The platform's metadata store, as far as gateways and a small deployment use it.
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';

/** Time that an answer takes, in milliseconds. */
const answerMs = 4;
/** Objects in a page of a listing. */
const pageSize = 500;
/** Longest time for which the history is kept, in milliseconds. */
const historyMs = 20_000;

/** Keeps objects by kind and name, with one revision counter, listings and watches. */
export class PlatformStore {
	#revision = 1;
	#events = [];
	/** Revision of the last event that was dropped from the history. */
	#droppedRevision = 0;
	#objects = new Map();
	#wakes = new Set();
	#server = createServer((request, response) => {
		this.#answer(request, response);
	});

	async listen() {
		this.#server.keepAliveTimeout = 60_000;
		this.#server.listen(0, '127.0.0.1');
		await once(this.#server, 'listening');
		this.address = `127.0.0.1:${this.#server.address().port}`;
	}

	close() {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	/** Creates or replaces an object. */
	set(kind, name, spec) {
		const objects = this.#ofKind(kind);
		this.#revision++;
		const object = {
			metadata: {
				name, rev: this.#revision, createdRev: objects.get(name)?.metadata.createdRev ?? this.#revision, finalizers: [], deleting: false,
			}, spec, status: null,
		};
		objects.set(name, object);
		this.#record({kind, object, removed: false});
		return object;
	}

	/** Removes an object. */
	remove(kind, name) {
		const object = this.#ofKind(kind).get(name);
		if (object !== undefined) {
			this.#ofKind(kind).delete(name);
			this.#revision++;
			this.#record({kind, object: {...object, metadata: {...object.metadata, rev: this.#revision}}, removed: true});
		}
	}

	#ofKind(kind) {
		if (!this.#objects.has(kind)) {
			this.#objects.set(kind, new Map());
		}

		return this.#objects.get(kind);
	}

	#record(event) {
		const nowMs = Date.now();
		this.#events.push({...event, rev: this.#revision, atMs: nowMs});
		while (nowMs - this.#events[0].atMs > historyMs) {
			this.#droppedRevision = this.#events.shift().rev;
		}

		for (const wake of this.#wakes) {
			wake();
		}
	}

	async #answer(request, response) {
		try {
			await this.#handle(request, response);
		} catch {
			response.destroy();
		}
	}

	async #handle(request, response) {
		const chunks = [];
		for await (const chunk of request) {
			chunks.push(chunk);
		}

		const send = (status, body = {}) => {
			response.writeHead(status, {'content-type': 'application/json', 'store-era': '1'}).end(JSON.stringify(body));
		};

		await sleep(answerMs);
		const url = new URL(request.url, 'http://store');
		const [kind, name] = url.pathname.split('/').slice(2).map(part => decodeURIComponent(part));
		if (request.method === 'GET' && url.searchParams.has('watch')) {
			await this.#watch(kind, url.searchParams, request.socket, send);
		} else if (request.method === 'GET' && name === undefined) {
			this.#list(kind, url.searchParams.get('after') ?? '', send);
		} else if (request.method === 'GET') {
			const object = this.#ofKind(kind).get(name);
			send(object === undefined ? 404 : 200, object);
		} else if (request.method === 'DELETE') {
			this.remove(kind, name);
			send(200);
		} else {
			const {metadata, spec} = JSON.parse(String(Buffer.concat(chunks)));
			const known = this.#ofKind(kind).get(metadata.name);
			const isConflict = request.method === 'POST' && known !== undefined;
			send(isConflict ? 409 : 200, isConflict ? known : this.set(kind, metadata.name, spec));
		}
	}

	#list(kind, after, send) {
		const objects = [...this.#ofKind(kind).values()].filter(({metadata}) => metadata.name > after).sort((one, other) => one.metadata.name < other.metadata.name ? -1 : 1);
		send(200, {items: objects.slice(0, pageSize), hasMore: objects.length > pageSize, asOf: this.#revision});
	}

	async #watch(kind, query, socket, send) {
		const after = Number(query.get('watch'));
		const waitMs = Number(query.get('waitMs') ?? 0);
		const events = () => this.#events.filter(event => event.kind === kind && event.rev > after);
		if (after < this.#droppedRevision) {
			send(410);
			return;
		}

		if (events().length === 0 && waitMs > 0) {
			await new Promise(resolve => {
				const end = () => {
					clearTimeout(timer);
					this.#wakes.delete(wake);
					socket.off('close', end);
					resolve();
				};

				const wake = () => {
					if (events().length > 0) {
						end();
					}
				};

				const timer = setTimeout(end, waitMs);
				this.#wakes.add(wake);
				socket.once('close', end);
			});
		}

		send(200, {events: events().map(({removed, object}) => ({removed, object})), asOf: this.#revision});
	}
}

/** A configuration of one service, one tenant and the routes `safe`, `unsafe`, `upload` and `download`, besides idle ones. */
export function configurationObject({version, timeoutS = 3, idleRoutes = 0}) {
	const pathOf = (name, kind) => ({
		name: `r-${name}`, pathPrefix: `/${name}/`, kind, timeoutS, targetLatencyS: 0.5, priority: 1, service: 'booking', maxAttempts: 2, public: false, sessionAffinity: false, homeRegions: [],
	});
	const paths = ['safe', 'unsafe', 'upload', 'download'].map(kind => pathOf(kind, kind));
	for (let index = 0; index < idleRoutes; index++) {
		paths.push(pathOf(`idle${index}`, 'safe'));
	}

	return {
		version: `r${version}`,
		services: [{
			name: 'booking', healthPath: '/health', maxConnections: 1560, coldStartS: 0, coldPerS: 0,
		}],
		limits: {
			maxHeaderBytes: 16_384, maxBodyBytes: 67_108_864, headerTimeoutS: 3, idleTimeoutS: 15,
		},
		tenants: [{
			name: 'huka270', apiKeys: ['xd9dnn2ctnfzs989anu6'], priority: 1, ratePerS: 0, burst: 0, homeRegions: [],
		}],
		hosts: [{host: 'ficu95.example', paths}],
	};
}

/** The entry of a ready server that started now. */
export function serverObject(address, zone, slots) {
	return {
		service: 'booking', address, zone, version: 'v1', slots, state: 'ready', coldRemainingS: 0, sequence: 1, born: Date.now(),
	};
}
