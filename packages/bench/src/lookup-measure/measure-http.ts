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

/** Throughput of one server under load. */
export type HttpResult = {
	readonly name: string;
	/** Responses per second. */
	readonly perSecond: number;
	/** Responses per second of CPU time of the server's thread. */
	readonly perCpuSecond: number;
};

const loadThreads = 3;
/** Unit of CPU times in /proc. */
const tickMs = 10;
const emptyShiftGrant = {
	controlIncarnation: 'i', grantedPerS: 0, expiresInMs: 0, movedFraction: 0, demandPerS: 0,
};
const connectionsPerThread = 16;
const warmUpMs = 1000;
const measureMs = 2000;

const paths = Array.from({length: 512}, (_, index) => `/v1/lookup?service=service-${index % 2}&from=10.${index % 3}.${index % 256}.${(index * 7) % 256}`);

/** Measures the look-ups per second that this thread serves with a bare handler, with the look-up daemon, and with the daemon without its log. */
export async function measureHttp(rounds: number): Promise<HttpResult[]> {
	const quietLogger = createLogger('measure', 'warn');
	const snapshot = makeSnapshot({regions: 3, vms: 11, services: 2});
	const bare = await startBareServer();
	const daemon = await startDaemon(snapshot, createLogger('measure', 'info'));
	const daemonWithoutLog = await startDaemon(snapshot, quietLogger);
	const servers = [{name: 'bare restana handler', ...bare}, {name: 'look-up daemon', ...daemon}, {name: 'look-up daemon, log off', ...daemonWithoutLog}];
	const results: HttpResult[] = [];
	for (let round = 0; round < rounds; round++) {
		for (const {name, port} of servers) {
			results.push({name, ...await measureServer(port)});
		}
	}

	for (const server of servers) {
		await server.stop();
	}

	return servers.map(({name}) => {
		const serverResults = results.filter(result => result.name === name);
		return {name, perSecond: median(serverResults.map(result => result.perSecond)), perCpuSecond: median(serverResults.map(result => result.perCpuSecond))};
	});
}

/** Median; of an even number of values the upper of the two middle ones. */
export function median(values: readonly number[]): number {
	return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)];
}

async function measureServer(port: number): Promise<{perSecond: number; perCpuSecond: number}> {
	const workers = Array.from({length: loadThreads}, () => new Worker(new URL('load-thread.js', import.meta.url), {workerData: {port, connections: connectionsPerThread, paths}}));
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
	return {perSecond: count * 1000 / elapsedMs, perCpuSecond: count * 1000 / cpuMs};
}

/** CPU time of this process's main thread. On a busy machine wall-clock time does not reflect the cost of a request. */
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

async function startBareServer(): Promise<{port: number; stop: () => Promise<void>}> {
	const server = createServer();
	// The same option as in the daemon, so that only the handler differs.
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
		onMessage() {/* The daemon sends only heartbeats. */},
		async onRequest() {
			return emptyShiftGrant as never;
		},
		onOpen(_peer, link) {
			links.push(link);
		},
		onClose() {/* The link closes when the measurement ends. */},
	}));
	const blocks = BlockTable.from(Array.from({length: 768}, (_, index) => ({block: `10.${Math.floor(index / 256)}.${index % 256}.0/24`, region: `region-0${Math.floor(index / 256)}`})));
	const daemon = await startLookup(
		lookupSettingsSchema.parse({location, listen: {host: '127.0.0.1', port: 0}, controlAddress: listener.address}),
		{
			timers, transport: network.transport('lookup'), logger, blocks,
		},
	);
	await timers.sleep(50);
	const sendSnapshot = () => {
		for (const page of fullSnapshotPages(snapshot)) {
			links.at(-1)?.send(MessageType.snapshotDelta, page);
		}
	};

	sendSnapshot();
	// In a fleet loads change continuously, so the daemon gets a snapshot each second.
	const cancel = timers.repeat(1000, sendSnapshot);
	return {
		port: Number(new URL(daemon.url).port), async stop() {
			cancel();
			await daemon.stop();
		},
	};
}
