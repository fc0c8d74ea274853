import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type Socket} from 'node:net';
import restana from 'restana';
import {
	FescuewickError, ResultCode, resultCodeTable, toFescuewickError,
} from '@fescuewick/core';
import {type MemoryObjectStore, type StoreFaults} from '@fescuewick/store';

/** Faults of the HTTP server, in addition to those of the store itself. */
export type StoreServerFaults = {
	/** The next calls are refused with status 429; nothing is written. */
	refuse: number;
	/** The next calls take effect, but their answers are not valid JSON. */
	malformed: number;
};

/** A running stand-in for the platform's object store. */
export type StoreServer = {
	readonly url: string;
	readonly serverFaults: StoreServerFaults;
	/** Number of open connections. */
	connectionCount(): number;
	/** Makes the connections that are open now silent, as when a device on the network path has lost their state; calls on them have no effect and get no answer. */
	silenceOpenConnections(): void;
	close(): Promise<void>;
};

const maxBodyBytes = 1_200_000;

/** Serves a memory store over HTTP; `PUT /v1/faults` sets faults, `GET /v1/calls` returns the counts of calls. */
export async function startStoreServer(store: MemoryObjectStore, address: {host: string; port: number}): Promise<StoreServer> {
	const server = createServer();
	const connections = trackConnections(server);
	const serverFaults: StoreServerFaults = {refuse: 0, malformed: 0};
	const service = restana({server});
	service.use((request, response, next) => {
		if (connections.silent.has(request.socket)) {
			return;
		}

		if (serverFaults.refuse > 0 && request.url?.startsWith('/v1/objects')) {
			serverFaults.refuse--;
			response.setHeader('retry-after', '1');
			response.send({error: 'too many calls'}, 429);
			return;
		}

		next();
	});
	service.post('/v1/silence-open-connections', (_request, response) => {
		connections.silence();
		response.send({connections: connections.open.size});
	});
	service.put('/v1/server-faults', async (request, response) => {
		response.send(Object.assign(serverFaults, JSON.parse(await readText(request)) as Partial<StoreServerFaults>));
	});
	service.get('/v1/calls', (_request, response) => {
		response.send(store.calls);
	});
	service.put('/v1/faults', async (request, response) => {
		Object.assign(store.faults, JSON.parse(await readText(request)) as Partial<StoreFaults>);
		if (store.faults.down) {
			store.wakeAll();
		}

		response.send(store.faults);
	});
	service.get('/v1/objects', async (request, response) => {
		await reply(response, serverFaults, async () => ({status: 200, body: await store.list(queryOf(request).get('prefix') ?? '')}));
	});
	service.get('/v1/objects/*', async (request, response) => {
		await reply(response, serverFaults, async () => readObject(store, request, response));
	});
	service.put('/v1/objects/*', async (request, response) => {
		await reply(response, serverFaults, async () => {
			const value = parseValue(await readText(request));
			return {status: 200, body: {version: await store.write(keyOf(request), value, expectedVersionOf(request))}};
		});
	});
	service.delete('/v1/objects/*', async (request, response) => {
		await reply(response, serverFaults, async () => {
			await store.remove(keyOf(request), expectedVersionOf(request));
			return {status: 204, body: undefined};
		});
	});
	await listen(server, address);
	return {
		url: urlOf(server, address.host),
		serverFaults,
		connectionCount: () => connections.open.size,
		silenceOpenConnections: connections.silence,
		close: async () => closeServer(server),
	};
}

function trackConnections(server: Server): {open: Set<Socket>; silent: WeakSet<Socket>; silence: () => void} {
	const open = new Set<Socket>();
	const silent = new WeakSet<Socket>();
	server.on('connection', socket => {
		open.add(socket);
		socket.once('close', () => {
			open.delete(socket);
		});
	});
	const silence = (): void => {
		for (const socket of open) {
			silent.add(socket);
		}
	};

	return {open, silent, silence};
}

/** Starts listening; rejects if the address is in use. */
export async function listen(server: Server, {host, port}: {host: string; port: number}): Promise<void> {
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});
}

/** The base URL of a listening server. */
export function urlOf(server: Server, host: string): string {
	const bound = server.address();
	return `http://${host}:${typeof bound === 'object' && bound !== null ? bound.port : 0}`;
}

/** Closes a server and its connections. */
export async function closeServer(server: Server): Promise<void> {
	await new Promise<void>(resolve => {
		server.close(() => {
			resolve();
		});
		server.closeAllConnections();
	});
}

async function readObject(store: MemoryObjectStore, request: IncomingMessage, response: ServerResponse): Promise<{status: number; body: unknown}> {
	const query = queryOf(request);
	const knownVersion = query.get('watch');
	if (knownVersion === null) {
		const object = await store.read(keyOf(request));
		return object === undefined ? {status: 404, body: {}} : {status: 200, body: object};
	}

	const abort = new AbortController();
	// The request closes as soon as it is read, so a caller that disconnects is detected by the response, which closes with its connection.
	response.once('close', () => {
		abort.abort();
	});
	const changed = await store.watch(keyOf(request), Number(knownVersion), Number(query.get('waitMs') ?? 0), abort.signal);
	return changed === undefined ? {status: 204, body: undefined} : {status: 200, body: changed};
}

function queryOf(request: IncomingMessage): URLSearchParams {
	return new URL(request.url ?? '/', 'http://store').searchParams;
}

function keyOf(request: IncomingMessage): string {
	return decodeURIComponent(new URL(request.url ?? '/', 'http://store').pathname.slice('/v1/objects/'.length));
}

function expectedVersionOf(request: IncomingMessage): number | undefined {
	const header = request.headers['if-match'];
	return header === undefined ? undefined : Number(header);
}

async function readText(request: IncomingMessage): Promise<string> {
	const chunks: Uint8Array[] = [];
	let sizeBytes = 0;
	for await (const chunk of request as AsyncIterable<Uint8Array>) {
		sizeBytes += chunk.length;
		if (sizeBytes > maxBodyBytes) {
			throw new FescuewickError(ResultCode.storeValueTooLarge, `value is larger than ${maxBodyBytes} bytes`);
		}

		chunks.push(chunk);
	}

	return new TextDecoder().decode(concat(chunks, sizeBytes));
}

function concat(chunks: Uint8Array[], sizeBytes: number): Uint8Array {
	const bytes = new Uint8Array(sizeBytes);
	let offset = 0;
	for (const chunk of chunks) {
		bytes.set(chunk, offset);
		offset += chunk.length;
	}

	return bytes;
}

function parseValue(text: string): unknown {
	try {
		return JSON.parse(text) as unknown;
	} catch (error) {
		throw new FescuewickError(ResultCode.malformedRequest, 'value is not valid JSON', {cause: error});
	}
}

async function reply(response: ServerResponse, serverFaults: StoreServerFaults, work: () => Promise<{status: number; body: unknown}>): Promise<void> {
	let status: number;
	let body: unknown;
	try {
		({status, body} = await work());
	} catch (error) {
		const {code, message} = toFescuewickError(error);
		if (code === ResultCode.storeOutcomeUnknown || code === ResultCode.storeTimeout) {
			// Simulates a lost answer: the connection closes without one.
			response.destroy();
			return;
		}

		status = resultCodeTable[code].httpStatus;
		body = {code, message};
	}

	response.writeHead(status, {'content-type': 'application/json'});
	if (serverFaults.malformed > 0) {
		serverFaults.malformed--;
		response.end('{"version":');
		return;
	}

	response.end(body === undefined ? undefined : JSON.stringify(body));
}
