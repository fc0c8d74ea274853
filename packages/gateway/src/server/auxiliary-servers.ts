import {type Buffer} from 'node:buffer';
import {type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import {encode} from 'cbor-x';
import restana from 'restana';
import {type Metrics} from '@fescuewick/core';
import {Collection} from '@fescuewick/store';
import {type VmRecord} from '../model/records.js';
import {type FleetState} from '../state/fleet-state.js';
import {type GatewaySettings} from '../settings.js';
import {type ClientConnections} from './client-connections.js';

/** Idle connections to the auxiliary servers are closed after this time, in milliseconds. */
const keepAliveMs = 5000;
/** Longest time in which a request to an auxiliary server arrives, in milliseconds. */
const requestTimeoutMs = 10_000;

/** Paths and formats of the readiness and directory endpoints, which differ between platforms. */
export abstract class PlatformInterface {
	abstract get readinessPath(): string;
	abstract get directoryPath(): string;
	/** Parses the location of a caller of the directory. */
	abstract readCaller(query: URLSearchParams): {readonly failureDomain: string; readonly region: string};
	/** Body of a directory answer; `ttlMs` is how long the caller may use it, in milliseconds. */
	abstract directoryBody(addresses: readonly string[], ttlMs: number): unknown;
}

/** Dependencies of the auxiliary servers: readiness, directory, peers and metrics. */
export type AuxiliaryServerOptions = {
	readonly platform: PlatformInterface;
	readonly isReady: () => boolean;
	readonly addressesFor: (caller: {readonly failureDomain: string; readonly region: string}) => string[];
	readonly directoryTtlMs: number;
	readonly state: Pick<FleetState, 'replicas' | 'heldConfiguration'>;
	readonly members: () => VmRecord[];
	readonly metrics: Metrics;
	readonly clients: ClientConnections;
};

type Handler = (request: IncomingMessage, response: ServerResponse) => void | Promise<void>;

function createAuxiliaryServer(clients: ClientConnections, routes: ReadonlyArray<[path: string, handler: Handler]>): Server {
	const service = restana({
		prioRequestsProcessing: false, defaultRoute(_request, response) {
			response.statusCode = 404;
			response.end();
		},
	});
	for (const [path, handler] of routes) {
		service.get(path, (request, response) => {
			void handler(request, response);
		});
	}

	return clients.createServer({keepAliveTimeout: keepAliveMs, headersTimeout: requestTimeoutMs, requestTimeout: requestTimeoutMs}, (request, response) => {
		service.handle(request as Parameters<typeof service.handle>[0], response as Parameters<typeof service.handle>[1]);
	});
}

function sendJson(response: ServerResponse, status: number, body: unknown): void {
	response.writeHead(status, {'content-type': 'application/json'}).end(JSON.stringify(body));
}

function sendCbor(response: ServerResponse, body: unknown): void {
	const content: Buffer = encode(body);
	response.writeHead(200, {'content-type': 'application/cbor', 'content-length': String(content.length)}).end(content);
}

/** Creates the server of the readiness endpoint. */
function createReadinessServer({platform, isReady, clients}: AuxiliaryServerOptions): Server {
	return createAuxiliaryServer(clients, [[platform.readinessPath, (_request, response) => {
		const ready = isReady();
		sendJson(response, ready ? 200 : 503, {ready});
	}]]);
}

/** Creates the server of the directory, which names the entry VMs that a caller should use. */
function createDirectoryServer({platform, addressesFor, directoryTtlMs, clients}: AuxiliaryServerOptions): Server {
	return createAuxiliaryServer(clients, [[platform.directoryPath, (request, response) => {
		const {searchParams} = new URL(request.url ?? '', 'http://directory');
		const addresses = addressesFor(platform.readCaller(searchParams));
		sendJson(response, addresses.length > 0 ? 200 : 503, platform.directoryBody(addresses, directoryTtlMs));
	}]]);
}

/** Creates the server from which peers read the replicas of this VM, a configuration that the store has lost, and the VMs it knows. */
function createPeerServer({state, members, clients}: AuxiliaryServerOptions): Server {
	const {replicas} = state;
	const collections = Object.values(Collection).map((collection): [string, Handler] => [`/v1/collections/${collection}`, (request, response) => {
		if (replicas[collection].isLoaded) {
			const {searchParams} = new URL(request.url ?? '', 'http://peer');
			const since = Number(searchParams.get('since') ?? '-1');
			sendCbor(response, replicas[collection].changesSince(Number.isFinite(since) ? since : -1, Number(searchParams.get('era') ?? '0')));
		} else {
			response.writeHead(503).end();
		}
	}]);
	const heldConfiguration: [string, Handler] = ['/v1/held-configuration', (_request, response) => {
		const {heldConfiguration: held} = state;
		if (held === undefined) {
			response.writeHead(404).end();
		} else {
			sendCbor(response, held);
		}
	}];
	return createAuxiliaryServer(clients, [...collections, heldConfiguration, ['/v1/members', (_request, response) => {
		sendCbor(response, members());
	}]]);
}

/** Creates the server of the metrics endpoint, in the Prometheus text format. */
function createMetricsServer({metrics, clients}: AuxiliaryServerOptions): Server {
	return createAuxiliaryServer(clients, [['/metrics', async (_request, response) => {
		const text = await metrics.text();
		response.writeHead(200, {'content-type': metrics.registry.contentType}).end(text);
	}]]);
}

/** Creates the auxiliary servers with the addresses at which they are to listen. */
export function createAuxiliaryServers(options: AuxiliaryServerOptions, listen: GatewaySettings['listen']): Array<{readonly server: Server; readonly address: string}> {
	return [
		{server: createReadinessServer(options), address: listen.readiness},
		{server: createDirectoryServer(options), address: listen.directory},
		{server: createPeerServer(options), address: listen.peers},
		{server: createMetricsServer(options), address: listen.metrics},
	];
}
