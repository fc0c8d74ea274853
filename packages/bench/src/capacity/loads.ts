import {createIncarnation, createSilentLogger, SystemTimerService} from '@fescuewick/core';
import {LoadReports} from '@fescuewick/control/shifts';
import {
	createMesh, PeerMesh, seededRandom, type PeerRequestHandler,
} from '@fescuewick/membership';
import {
	MemoryNetwork, MessageType, type DomainLoadsBody, type LoadEntry, type RequestType, type VmRecord,
} from '@fescuewick/wire';
import {cpuUsPerCall, fitSlope, type Section} from './measure.js';
import {incarnationOf, vmRecord, vmRecords} from './records.js';
import {designSize} from './sizes.js';

const memberCounts = [760, 2533, 7600] as const;
const nodesPerDomain = [2, 4, 8] as const;
const domains = 4;
/** In a failure domain of more than 32 nodes, each node is linked to a few neighbours only. */
const domainSizes = [16, 32, 48] as const;
const serviceCount = 2;
const warmUpMs = 3000;
/** Longer than the maximum time until an aggregator forwards its first load sum. */
const settleMs = 4000;
const windowMs = 4000;

/** A mesh that exposes the handler of `domainLoads` messages, so that it can be called without links. */
class DirectDeliveryMesh extends PeerMesh {
	domainLoadsHandler: PeerRequestHandler<MessageType.domainLoads> | undefined;

	override handle<Type extends RequestType>(type: Type, handler: PeerRequestHandler<Type>): void {
		if (type === MessageType.domainLoads) {
			this.domainLoadsHandler = handler as unknown as PeerRequestHandler<MessageType.domainLoads>;
		}

		super.handle(type, handler);
	}
}

/** Measures load reports between control daemons: bytes by the number of links, over in-memory links, and CPU time of a received report by the number of known members. */
export async function measureLoads(): Promise<Section> {
	const timers = new SystemTimerService();
	const received = memberCounts.map(count => measureReceived(timers, count));
	const [sent, observed] = await Promise.all([
		Promise.all(nodesPerDomain.map(async nodes => measureSent(timers, nodes, domains))),
		Promise.all(domainSizes.map(async nodes => measureSent(timers, nodes, 1))),
	]);
	return {
		role: 'Load reports',
		tables: [{
			title: `Reports of ${serviceCount} services in ${domains} failure domains, loads that do not change`,
			columns: ['nodes', 'links of a node', 'bytes/s sent by a node, beyond heartbeats', 'bytes/s per link'],
			rows: sent.map(row => row.slice(0, 4)),
		}, {
			title: 'Load of one failure domain as its nodes see it, mean of all nodes',
			columns: ['nodes', 'links of a node', 'part of the domain\'s load that a node counts'],
			rows: observed.map(row => [row[0], row[1], row[4]]),
		}, {
			title: 'One sum of a failure domain received from a peer',
			columns: ['known members', 'CPU µs'],
			rows: received,
		}],
		slopes: [
			fitSlope('bytes sent by links', 'B/s per link', sent.map(row => [row[1], row[2]])),
			fitSlope('processor time of a received sum by members', 'µs per member', received.map(row => [row[0], row[1]])),
		],
	};
}

function loadEntries({failureDomain, region}: VmRecord): LoadEntry[] {
	return Array.from({length: serviceCount}, (_, index) => ({
		service: `service-${index}`, failureDomain, region, capacityPerS: 123.456, loadPerS: 98.765, cold: false, bytesPerRequest: 2345.6, ageMs: 12,
	}));
}

function measureReceived(timers: SystemTimerService, count: number): number[] {
	const records = vmRecords(count, designSize.domains);
	const [self] = records;
	const mesh = new DirectDeliveryMesh({
		self,
		incarnation: createIncarnation(self.vm, timers),
		timers,
		transport: new MemoryNetwork(timers).transport(self.vm),
		logger: createSilentLogger(),
		seeds: [],
		listenAddress: 'host:1',
		random: seededRandom(self.vm),
	});
	mesh.applyPlatformList(records);
	const reports = new LoadReports(mesh, timers);
	const sender = records[Math.floor(count / 2)];
	const {failureDomain, region} = sender;
	let sequence = 0;
	const body = (): DomainLoadsBody => ({
		sums: [{
			failureDomain, region, source: 1, sequence: ++sequence, vms: 1, entries: loadEntries(sender),
		}],
	});
	const from = {vm: sender.vm, incarnation: incarnationOf(sender.vm)};
	const receivedUs = cpuUsPerCall(() => {
		void mesh.domainLoadsHandler?.(body(), from);
	});
	reports.stop();
	void mesh.stop();
	return [count, receivedUs];
}

async function measureSent(timers: SystemTimerService, nodes: number, domainCount: number): Promise<number[]> {
	const network = new MemoryNetwork(timers);
	const count = nodes * domainCount;
	const started = await Promise.all(Array.from({length: count}, async (_, index) => {
		const record = vmRecord(index, domainCount, `host-${index}:1`);
		const mesh = createMesh({timers, transport: () => network.transport(`host-${index}`)}, record, {seeds: index === 0 ? [] : ['host-0:1']});
		await mesh.start();
		return {mesh, record, reports: new LoadReports(mesh, timers)};
	}));
	await timers.sleep(warmUpMs);
	const bytesBeforeReports = network.bytesSent;
	await timers.sleep(windowMs);
	const heartbeatBytes = network.bytesSent - bytesBeforeReports;
	const cancel = timers.repeat(1000, () => {
		for (const {record, reports} of started) {
			reports.addLocalReport(loadEntries(record));
		}
	});
	for (const {record, reports} of started) {
		reports.addLocalReport(loadEntries(record));
		reports.start();
	}

	await timers.sleep(settleMs);
	const bytesBefore = network.bytesSent;
	await timers.sleep(windowMs);
	const bytesPerS = (network.bytesSent - bytesBefore - heartbeatBytes) / count / windowMs * 1000;
	const links = started.reduce((sum, {mesh}) => sum + mesh.linkCount, 0) / count;
	const countedPerS = started.reduce((sum, {reports}) => sum + (reports.loadOfOwnDomain('service-0')?.loadPerS ?? 0), 0) / count;
	const actualLoadPerS = started.reduce((sum, {record}) => sum + loadEntries(record)[0].loadPerS, 0) / domainCount;
	cancel();
	for (const {mesh, reports} of started) {
		reports.stop();
		await mesh.stop();
	}

	return [count, links, bytesPerS, bytesPerS / links, countedPerS / actualLoadPerS];
}
