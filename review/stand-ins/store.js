import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';

/** Objects per page of a listing. */
const pageSize = 500;

/** Stand-in for the platform's metadata store: objects by kind and name, conditional changes, listings and watches. */
export class Store {
	#revision = 1;
	#events = [];
	#objects = new Map();
	#waiting = new Set();
	#server = createServer(async (request, response) => this.#handle(request, response));

	async listen() {
		this.#server.listen(0, '127.0.0.1');
		await once(this.#server, 'listening');
		this.address = `127.0.0.1:${this.#server.address().port}`;
	}

	close() {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	/** Writes an object as the operator, a server or a machine does. */
	set(kind, name, spec) {
		const known = this.#ofKind(kind).get(name);
		if (known !== undefined && JSON.stringify(known.spec) === JSON.stringify(spec)) {
			return known;
		}

		const rev = ++this.#revision;
		const object = {
			metadata: {
				name, rev, createdRev: known?.metadata.createdRev ?? rev, finalizers: [], deleting: false,
			}, spec, status: {},
		};
		this.#ofKind(kind).set(name, object);
		this.#announce({kind, object, removed: false});
		return object;
	}

	/** Removes an object; no effect if there is none. */
	remove(kind, name) {
		const known = this.#ofKind(kind).get(name);
		if (known !== undefined) {
			this.#ofKind(kind).delete(name);
			const rev = ++this.#revision;
			this.#announce({kind, object: {...known, metadata: {...known.metadata, rev}}, removed: true});
		}
	}

	#ofKind(kind) {
		if (!this.#objects.has(kind)) {
			this.#objects.set(kind, new Map());
		}

		return this.#objects.get(kind);
	}

	#announce(event) {
		this.#events.push(event);
		for (const wake of this.#waiting) {
			wake();
		}
	}

	async #handle(request, response) {
		const chunks = [];
		for await (const chunk of request) {
			chunks.push(chunk);
		}

		const send = (status, body = {}) => {
			response.writeHead(status, {'content-type': 'application/json'}).end(JSON.stringify(body));
		};

		const {pathname, searchParams: query} = new URL(request.url, 'http://store');
		const [kind, name] = pathname.split('/').slice(2).map(part => decodeURIComponent(part));
		const objects = this.#ofKind(kind);
		if (request.method === 'GET' && query.has('watch')) {
			await this.#watch(kind, query, send);
		} else if (request.method === 'GET' && name === undefined) {
			const after = query.get('after') ?? '';
			const items = [...objects.values()].filter(({metadata}) => metadata.name > after).sort((one, other) => one.metadata.name < other.metadata.name ? -1 : 1);
			send(200, {items: items.slice(0, pageSize), hasMore: items.length > pageSize, asOf: this.#revision});
		} else if (request.method === 'GET') {
			send(objects.has(name) ? 200 : 404, objects.get(name));
		} else {
			this.#change({
				method: request.method, kind, name, rev: query.get('rev'), body: Buffer.concat(chunks).toString(), send,
			});
		}
	}

	#change({method, kind, name, rev, body, send}) {
		const {metadata = {}, spec} = body === '' ? {} : JSON.parse(body);
		const object = this.#ofKind(kind).get(name ?? metadata.name);
		const expected = rev ?? metadata.rev;
		if (method === 'POST' && object !== undefined) {
			send(409, object);
		} else if (method !== 'POST' && object === undefined) {
			send(404);
		} else if (expected !== null && expected !== undefined && Number(expected) !== object?.metadata.rev) {
			send(409, object);
		} else if (method === 'DELETE') {
			this.remove(kind, name);
			send(200);
		} else {
			send(200, this.set(kind, name ?? metadata.name, spec));
		}
	}

	async #watch(kind, query, send) {
		const since = Number(query.get('watch'));
		const find = () => this.#events.filter(event => event.kind === kind && event.object.metadata.rev > since);
		if (find().length === 0) {
			await new Promise(resolve => {
				const end = () => {
					clearTimeout(timer);
					this.#waiting.delete(wake);
					resolve();
				};

				const wake = () => {
					if (find().length > 0) {
						end();
					}
				};

				const timer = setTimeout(end, Number(query.get('waitMs') ?? 0));
				this.#waiting.add(wake);
			});
		}

		send(200, {events: find().map(({object, removed}) => ({object, removed})), asOf: this.#revision});
	}
}
