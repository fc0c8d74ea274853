import {createServer, type Server} from 'node:http';
import {type AddressInfo} from 'node:net';
import {performance} from 'node:perf_hooks';
import {Worker} from 'node:worker_threads';
import {createSilentLogger, SystemTimerService} from '@fescuewick/core';
import {DaemonHub} from '@fescuewick/control';
import {BlockTable, lookupSettingsSchema, startLookup} from '@fescuewick/lookup';
import {TcpTransport, type SnapshotBody} from '@fescuewick/wire';
import {type LookupClientOptions} from './lookup-client.js';
import {roundTo4Digits, type Section} from './measure.js';
import {incarnationOf, snapshotOf, vmRecords} from './records.js';
import {designSize} from './sizes.js';

/** The snapshot of 26 failure domains with 292 VMs each exceeds the maximum frame length, so the last case has fewer domains. */
const cases = [{vmsPerDomain: 1, domains: 26}, {vmsPerDomain: 10, domains: 26}, {vmsPerDomain: 100, domains: 26}, {vmsPerDomain: 292, domains: 8}] as const;
const services = 2;
const blocks = 77_000;
const connections = 16;
const warmUpMs = 800;
const windowMs = 1200;
const location = {vm: 'vm-00000', failureDomain: 'region-0-0', region: 'region-0'};

/** Measures the CPU cost of look-ups over real sockets, calculated from the utilization of the event loop that the daemon runs on; the client runs in a separate thread. */
export async function measureLookups(): Promise<Section> {
	const timers = new SystemTimerService();
	const table = BlockTable.from(Array.from({length: blocks}, (_, index) => ({
		block: `${1 + Math.floor(index / 65_536)}.${Math.floor(index / 256) % 256}.${index % 256}.0/24`, region: `region-${index % designSize.regions}`,
	})));
	const rows: number[][] = [];
	for (const {vmsPerDomain, domains} of cases) {
		const snapshot = {...snapshotOf(vmRecords(vmsPerDomain * domains, domains), 8)};
		rows.push([vmsPerDomain, domains, ...await measureDaemon(timers, snapshot, table)]);
	}

	const bare = await measureBareServer(timers);
	const perNode = designSize.lookupsPerS / designSize.nodes;
	const slowest = Math.min(...rows.map(row => row[3]));
	return {
		role: 'Look-up daemon',
		tables: [{
			title: `Look-ups of ${services} services over ${connections} connections, ${blocks} client blocks`,
			columns: ['VMs per domain', 'domains', 'busy µs per look-up', 'look-ups/s per core', 'responses other than 200'],
			rows: [...rows, ['bare node:http handler, 300 bytes', '', ...bare]],
		}, {
			title: 'All nodes together',
			columns: ['figure', 'value'],
			rows: [
				['look-ups/s of a node, mean', roundTo4Digits(perNode)],
				['part of a core for them', roundTo4Digits(perNode / slowest)],
				['look-ups/s of a node at a peak factor of 4', roundTo4Digits(4 * perNode)],
				['part of a core for them', roundTo4Digits(4 * perNode / slowest)],
				['look-ups/s of all nodes with one core each', roundTo4Digits(designSize.nodes * slowest)],
				['the same over the required 3.4 million', roundTo4Digits(designSize.nodes * slowest / designSize.lookupsPerS)],
			],
		}],
		slopes: [],
	};
}

async function measureDaemon(timers: SystemTimerService, snapshot: SnapshotBody, blocks: BlockTable): Promise<number[]> {
	const common = {timers, transport: new TcpTransport(), logger: createSilentLogger()};
	const hub = new DaemonHub({
		...common,
		location,
		incarnation: incarnationOf(location.vm),
		address: '127.0.0.1:0',
		heartbeat: () => ({revision: 1, freshnessAgeMs: 100, storeReachable: true}),
		snapshot: () => snapshot,
		handlers: {},
		onMessage() {/* Messages of the daemon are not measured. */},
		onRolesChange() {/* Role changes do not affect the measurement. */},
	});
	const settings = lookupSettingsSchema.parse({location, listen: {host: '127.0.0.1', port: 0}, controlAddress: await hub.start()});
	const daemon = await startLookup(settings, {...common, blocks});
	try {
		await timers.sleep(300);
		return await measureServer(timers, Number(new URL(daemon.url).port));
	} finally {
		await daemon.stop();
		await hub.stop();
	}
}

async function measureBareServer(timers: SystemTimerService): Promise<number[]> {
	const text = 'x'.repeat(300);
	const server: Server = createServer((_request, response) => {
		response.writeHead(200, {'content-type': 'application/json'});
		response.end(text);
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	try {
		return await measureServer(timers, (server.address() as AddressInfo).port);
	} finally {
		server.close();
		server.closeAllConnections();
	}
}

/** Busy time of this thread's event loop per response; on a loaded machine it includes time in which the thread waits for a core. */
async function measureServer(timers: SystemTimerService, port: number): Promise<number[]> {
	const workerData: LookupClientOptions = {
		host: '127.0.0.1', port, connections, services,
	};
	const worker = new Worker(new URL('lookup-client.js', import.meta.url), {workerData});
	const readCounts = async () => new Promise<{answered: number; failed: number}>(resolve => {
		worker.once('message', resolve);
		worker.postMessage('count');
	});
	await timers.sleep(warmUpMs);
	const before = await readCounts();
	const utilizationBefore = performance.eventLoopUtilization();
	await timers.sleep(windowMs);
	const {active} = performance.eventLoopUtilization(utilizationBefore);
	const after = await readCounts();
	await worker.terminate();
	const answered = after.answered - before.answered;
	return [active * 1000 / answered, answered * 1000 / active, after.failed];
}
