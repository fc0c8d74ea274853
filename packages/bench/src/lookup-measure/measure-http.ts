import {once} from 'node:events';
import {readFileSync} from 'node:fs';
import {createServer} from 'node:http';
import {type AddressInfo} from 'node:net';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {Worker} from 'node:worker_threads';
import restana from 'restana';
import {createLogger, SystemTimerService} from '@fescuewick/core';
import {
	MemoryNetwork, MessageType, Role, fullSnapshotPages, type Link, type LinkOptions, type SnapshotBody,
} from '@fescuewick/wire';
import {BlockTable, lookupSettingsSchema, startLookup} from '@fescuewick/lookup';
import {makeSnapshot} from './measure-snapshot.js';

/** Result of one server under load. */
export type HttpFigure = {
	readonly name: string;
	/** Responses per second. */
	readonly perS: number;
	/** Responses per second of processor time of the server's thread. */
	readonly perCoreS: number;
};

const threads = 3;
/** Unit of processor times in /proc. */
const tickMs = 10;
const noGrant = {
	controlIncarnation: 'i', grantedPerS: 0, expiresInMs: 0, movedFraction: 0, demandPerS: 0,
};
const connectionsPerThread = 16;
const warmUpMs = 1000;
const measureMs = 2000;

const paths = Array.from({length: 512}, (_, index) => `/v1/lookup?service=service-${index % 2}&from=10.${index % 3}.${index % 256}.${(index * 7) % 256}`);

/** Measures look-ups per second of this thread: a bare handler, the look-up daemon, and the daemon without its log. */
export async function measureHttp(rounds: number): Promise<HttpFigure[]> {
	const quietLogger = createLogger('measure', 'warn');
	const snapshot = makeSnapshot({regions: 3, vms: 11, services: 2});
	const bare = await startBare();
	const daemon = await startDaemon(snapshot, createLogger('measure', 'info'));
	const quiet = await startDaemon(snapshot, quietLogger);
	const servers = [{name: 'bare restana handler', ...bare}, {name: 'look-up daemon', ...daemon}, {name: 'look-up daemon, log off', ...quiet}];
	const figures: HttpFigure[] = [];
	for (let round = 0; round < rounds; round++) {
		for (const {name, port} of servers) {
			figures.push({name, ...await measureServer(port)});
		}
	}

	for (const server of servers) {
		await server.stop();
	}

	return servers.map(({name}) => {
		const own = figures.filter(figure => figure.name === name);
		return {name, perS: median(own.map(figure => figure.perS)), perCoreS: median(own.map(figure => figure.perCoreS))};
	});
}

/** The middle value. */
export function median(values: readonly number[]): number {
	return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)];
}

async function measureServer(port: number): Promise<{perS: number; perCoreS: number}> {
	const workers = Array.from({length: threads}, () => new Worker(new URL('measure-load.js', import.meta.url), {workerData: {port, connections: connectionsPerThread, paths}}));
	const timers = new SystemTimerService();
	await timers.sleep(warmUpMs);
	const startCount = await countResponses(workers);
	const startMs = performance.now();
	const startCpuMs = threadCpuMs();
	await timers.sleep(measureMs);
	const cpuMs = threadCpuMs() - startCpuMs;
	const elapsedMs = performance.now() - startMs;
	const count = await countResponses(workers) - startCount;
	await Promise.all(workers.map(async worker => {
		const ended = once(worker, 'exit');
		worker.postMessage('stop');
		await ended;
	}));
	return {perS: count * 1000 / elapsedMs, perCoreS: count * 1000 / cpuMs};
}

/** Processor time of this process's first thread; on a busy machine the time that passes says little about the cost of a request. */
function threadCpuMs(): number {
	const fields = readFileSync(`/proc/self/task/${process.pid}/stat`, 'latin1').split(') ')[1].split(' ');
	const ticks = Number(fields[11]) + Number(fields[12]);
	return ticks * tickMs;
}

async function countResponses(workers: readonly Worker[]): Promise<number> {
	const counts = await Promise.all(workers.map(async worker => {
		const answer = once(worker, 'message');
		worker.postMessage('count');
		const [count] = await answer as [number];
		return count;
	}));
	return counts.reduce((total, count) => total + count, 0);
}

async function startBare(): Promise<{port: number; stop: () => Promise<void>}> {
	const server = createServer();
	// The same option as in the daemon, so that the handler is all that differs.
	const service = restana({server, prioRequestsProcessing: false});
	const text = JSON.stringify({service: 'service-0', endpoints: 'x'.repeat(500)});
	service.get('/v1/lookup', (_request, response) => {
		response.send(text);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return {
		port: (server.address() as AddressInfo).port, async stop() {
			server.closeAllConnections();
			server.close();
		},
	};
}

async function startDaemon(snapshot: SnapshotBody, logger: ReturnType<typeof createLogger>): Promise<{port: number; stop: () => Promise<void>}> {
	const timers = new SystemTimerService();
	const network = new MemoryNetwork(timers);
	const location = {vm: 'vm-0', failureDomain: 'region-00-1', region: 'region-00'};
	const links: Link[] = [];
	const listener = await network.transport('control').listen('control:1', (): LinkOptions => ({
		timers,
		hello: {role: Role.control, location, incarnation: {vm: 'vm-0', startedAtMs: 1, nonce: 'n'}},
		heartbeat: () => ({revision: 0, freshnessAgeMs: undefined, storeReachable: true}),
		onMessage() {/* Heartbeats only. */},
		async onRequest() {
			return noGrant as never;
		},
		onOpen(_peer, link) {
			links.push(link);
		},
		onClose() {/* Ends with the measurement. */},
	}));
	const blocks = BlockTable.from(Array.from({length: 768}, (_, index) => ({block: `10.${Math.floor(index / 256)}.${index % 256}.0/24`, region: `region-0${Math.floor(index / 256)}`})));
	const daemon = await startLookup(
		lookupSettingsSchema.parse({location, listen: {host: '127.0.0.1', port: 0}, controlAddress: listener.address}),
		{
			timers, transport: network.transport('lookup'), logger, blocks,
		},
	);
	await timers.sleep(50);
	const push = () => {
		for (const page of fullSnapshotPages(snapshot)) {
			links.at(-1)?.send(MessageType.snapshotDelta, page);
		}
	};

	push();
	// Loads change all the time, so a snapshot arrives each second.
	const cancel = timers.repeat(1000, push);
	return {
		port: Number(new URL(daemon.url).port), async stop() {
			cancel();
			await daemon.stop();
		},
	};
}
