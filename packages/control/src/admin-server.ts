import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import restana from 'restana';
import {z} from 'zod';
import {
	errorBody, FescuewickError, ResultCode, resultCodeTable, toFescuewickError, type Metrics,
} from '@fescuewick/core';

/** Status that the admin endpoint of a VM reports. */
export type ControlStatus = {
	readonly vm: string;
	readonly failureDomain: string;
	readonly region: string;
	readonly incarnation: string;
	readonly revision: number;
	readonly freshnessAgeMs: number | undefined;
	readonly storeReachable: boolean;
	readonly keysAgeMs: number | undefined;
	readonly revokedKeyHashes: number;
	readonly members: ReadonlyArray<{readonly vm: string; readonly state: string; readonly revision: number | undefined}>;
	readonly ready: boolean;
	readonly draining: boolean;
};

/** Dependencies of the admin endpoint. */
export type AdminDeps = {
	readonly metrics: Metrics;
	readonly status: () => ControlStatus;
	readonly revoke: (keyHashes: readonly string[]) => number;
	readonly isRevoked: (keyHash: string) => boolean;
	readonly findKey: (id: string) => {readonly id: string; readonly workspace: string; readonly sha256: string} | undefined;
};

/** A running admin endpoint. */
export type AdminServer = {readonly url: string; close(): Promise<void>};

const maxBodyBytes = 1_000_000;
const revocationsSchema = z.strictObject({keyHashes: z.array(z.string().regex(/^[\da-f]{64}$/)).max(10_000)});

/** Serves health, metrics, status and revocations of a control daemon over HTTP. */
export async function startAdminServer(listen: {host: string; port: number}, deps: AdminDeps): Promise<AdminServer> {
	const server = createServer();
	const service = restana({server});
	service.get('/healthz', (_request, response) => {
		response.send({status: 'ok'});
	});
	service.get('/readyz', (_request, response) => {
		const {ready} = deps.status();
		response.send({ready}, ready ? 200 : 503);
	});
	service.get('/metrics', async (_request, response) => {
		response.setHeader('content-type', 'text/plain; version=0.0.4');
		response.send(await deps.metrics.text());
	});
	service.get('/v1/status', (_request, response) => {
		response.send(deps.status());
	});
	service.post('/v1/revocations', async (request, response) => {
		await respond(response, async () => {
			const body = revocationsSchema.safeParse(await readJson(request));
			if (!body.success) {
				throw new FescuewickError(ResultCode.malformedRequest, 'body must be {"keyHashes": [<SHA-256 in hexadecimal>, ...]}');
			}

			return {known: deps.revoke(body.data.keyHashes)};
		});
	});
	service.get('/v1/revocations/:hash', async (request, response) => {
		await respond(response, async () => ({known: deps.isRevoked(request.params.hash ?? '')}));
	});
	service.get('/v1/keys/:id', async (request, response) => {
		await respond(response, async () => {
			const id = request.params.id ?? '';
			const key = deps.findKey(id);
			if (key === undefined) {
				throw new FescuewickError(ResultCode.objectUnknown, `key ${id} is not configured`);
			}

			return key;
		});
	});
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(listen.port, listen.host, resolve);
	});
	const boundAddress = server.address();
	return {
		url: `http://${listen.host}:${typeof boundAddress === 'object' && boundAddress !== null ? boundAddress.port : listen.port}`,
		async close() {
			await new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
				server.closeAllConnections();
			});
		},
	};
}

async function readJson(request: IncomingMessage): Promise<unknown> {
	let text = '';
	const decoder = new TextDecoder();
	for await (const chunk of request as AsyncIterable<Uint8Array>) {
		text += decoder.decode(chunk, {stream: true});
		if (text.length > maxBodyBytes) {
			throw new FescuewickError(ResultCode.bodyTooLarge, `body is larger than ${maxBodyBytes} bytes`);
		}
	}

	try {
		return JSON.parse(text) as unknown;
	} catch (error) {
		throw new FescuewickError(ResultCode.malformedRequest, 'body is not JSON', {cause: error});
	}
}

async function respond(response: ServerResponse, handle: () => Promise<unknown>): Promise<void> {
	let status = 200;
	let body: unknown;
	try {
		body = await handle();
	} catch (error) {
		const {code, message} = toFescuewickError(error);
		status = resultCodeTable[code].httpStatus;
		body = errorBody(code, message);
		response.setHeader('x-fescuewick-code', String(code));
	}

	response.writeHead(status, {'content-type': 'application/json'});
	response.end(JSON.stringify(body));
}
