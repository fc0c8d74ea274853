/** A small stand-in of the platform's metadata store: lists, watches, writes under a condition, and the era of its content. */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {listen} from './network.js';

const pageSize = 500;
const eraHeader = 'store-era';

/** Starts a store on loopback. */
export async function startStore() {
	const store = new Store();
	store.address = await listen(store.server);
	return store;
}

class Store {
	/** Delays the answers to calls for which it returns a time in milliseconds. */
	delayMs = () => 0;
	server = createServer((request, response) => {
		this.#handleOrDrop(request, response);
	});
	#revision = 1;
	#objects = new Map();
	#events = [];
	#waiting = new Set();

	/** Writes an object as the operator or a server does; returns its revision. */
	set(kind, name, spec) {
		const objects = this.#of(kind);
		const known = objects.get(name);
		if (known !== undefined && JSON.stringify(known.spec) === JSON.stringify(spec)) {
			return known.metadata.rev;
		}

		this.#revision++;
		const object = {
			metadata: {
				name, rev: this.#revision, createdRev: known?.metadata.createdRev ?? this.#revision, finalizers: [], deleting: false,
			}, spec, status: {},
		};
		objects.set(name, object);
		this.#record({kind, object, removed: false});
		return this.#revision;
	}

	/** Removes an object. */
	remove(kind, name) {
		const object = this.#of(kind).get(name);
		if (object === undefined) {
			return;
		}

		this.#of(kind).delete(name);
		this.#revision++;
		this.#record({kind, object: {...object, metadata: {...object.metadata, rev: this.#revision}}, removed: true});
	}

	close() {
		this.server.close();
		this.server.closeAllConnections();
	}

	#of(kind) {
		if (!this.#objects.has(kind)) {
			this.#objects.set(kind, new Map());
		}

		return this.#objects.get(kind);
	}

	#record(event) {
		this.#events.push({...event, rev: this.#revision});
		for (const wake of this.#waiting) {
			wake();
		}
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
		const chunks = [];
		for await (const chunk of request) {
			chunks.push(chunk);
		}

		const url = new URL(request.url, 'http://store');
		const [kind, name] = url.pathname.split('/').slice(2).map(part => decodeURIComponent(part));
		const {status, body} = await this.#answer({
			method: request.method, kind, name, query: url.searchParams, text: String(Buffer.concat(chunks)),
		});
		await sleep(this.delayMs({method: request.method, kind, query: url.searchParams}));
		response.writeHead(status, {'content-type': 'application/json', [eraHeader]: '1'}).end(JSON.stringify(body));
	}

	async #answer({method, kind, name, query, text}) {
		if (method === 'GET' && query.has('watch')) {
			return this.#watch(kind, Number(query.get('watch')), Number(query.get('waitMs') ?? 0));
		}

		if (method === 'GET' && name === undefined) {
			const after = query.get('after') ?? '';
			const items = [...this.#of(kind).values()].filter(({metadata}) => metadata.name > after).sort((one, other) => one.metadata.name < other.metadata.name ? -1 : 1);
			return {status: 200, body: {items: items.slice(0, pageSize), hasMore: items.length > pageSize, asOf: this.#revision}};
		}

		const known = this.#of(kind).get(name ?? JSON.parse(text).metadata.name);
		if (method === 'GET') {
			return known === undefined ? {status: 404, body: {}} : {status: 200, body: known};
		}

		return this.#write({
			method, kind, name, known, query, text,
		});
	}

	#write({method, kind, name, known, query, text}) {
		if (method === 'POST' && known !== undefined) {
			return {status: 409, body: known};
		}

		if (method !== 'POST' && known === undefined) {
			return {status: 404, body: {}};
		}

		const object = text === '' ? {} : JSON.parse(text);
		const rev = query.get('rev') ?? object.metadata?.rev;
		if (method !== 'POST' && rev !== undefined && rev !== null && Number(rev) !== known.metadata.rev) {
			return {status: 409, body: known};
		}

		if (method === 'DELETE') {
			this.remove(kind, name);
			return {status: 200, body: {}};
		}

		this.set(kind, object.metadata.name, object.spec);
		return {status: 200, body: this.#of(kind).get(object.metadata.name)};
	}

	async #watch(kind, revision, waitMs) {
		const missing = () => this.#events.filter(event => event.kind === kind && event.rev > revision);
		if (missing().length === 0 && waitMs > 0) {
			await new Promise(resolve => {
				const end = () => {
					clearTimeout(timer);
					this.#waiting.delete(wake);
					resolve();
				};

				const wake = () => {
					if (missing().length > 0) {
						end();
					}
				};

				const timer = setTimeout(end, waitMs);
				this.#waiting.add(wake);
			});
		}

		return {status: 200, body: {events: missing().map(({object, removed}) => ({object, removed})), asOf: this.#revision}};
	}
}
