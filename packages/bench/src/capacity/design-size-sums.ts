import {roundTo4Digits, type Section, type Slope} from './measure.js';
import {designSize, secondsPerDay} from './sizes.js';

/** Values that the design page does not specify, as assumed on the capacity page. */
export const assumptions = {
	workspaces: 4000,
	activeWorkspacesPerNode: 50,
	services: 2,
	/** Four neighbours and two links to each of 25 other failure domains; doubled, as both ends of a link choose independently. */
	links: 2 * (4 + (2 * (designSize.domains - 1))),
	/** Additional links for load reports: one to the aggregator, and on average two in the relay tree. */
	loadLinks: 3,
	/** Bytes that the load sum of a failure domain has in addition to a load report: source, sequence and number of VMs. */
	loadSumOverheadBytes: 12,
	/** Interval at which unchanged load sums are forwarded. */
	loadSumRefreshS: 2,
	/** A replacement changes a member three times: it is marked dead, gets a new incarnation, and sends its own record. */
	changesPerReplacement: 3,
	buckets: 16,
	/** Parts of a document of 4,000 workspaces with a key each, from the table of the configuration relay. */
	parts: 185,
	blockChunks: 65,
} as const;

type CostItem = {readonly name: string; readonly bytesPerS: number; readonly cpuUsPerS: number; readonly memoryBytes: number; readonly basis: string};

/** Adds up the measured slopes at the design size, for one node and for the store; requires the sections of all roles. */
export function sumAtDesignSize(sections: readonly Section[]): Section {
	const slopes = new Map(sections.flatMap(section => section.slopes.map(slope => [`${section.role}/${slope.name}`, slope])));
	const costAt = (name: string, count: number): number => evaluateSlope(slopes, name, count);
	const items = nodeItems(costAt);
	const sumOf = (value: (item: CostItem) => number) => items.reduce((sum, item) => sum + value(item), 0);
	const rows = [...items, {
		name: 'sum', bytesPerS: sumOf(item => item.bytesPerS), cpuUsPerS: sumOf(item => item.cpuUsPerS), memoryBytes: sumOf(item => item.memoryBytes), basis: '',
	}, {
		name: 'budget', bytesPerS: designSize.networkBytesPerS, cpuUsPerS: designSize.coreFraction * 1e6, memoryBytes: designSize.memoryBytes, basis: 'design page, 1.6',
	}];
	return {
		role: 'Sums at the design size, worked out from the slopes above',
		tables: [{
			title: `An ordinary node; ${assumptions.links} links, ${assumptions.workspaces} workspaces with a key each, `
				+ `${assumptions.activeWorkspacesPerNode} of them active at the node, ${assumptions.services} services`,
			columns: ['work', 'network bytes/s sent', 'CPU µs/s', 'memory, bytes', 'basis'],
			rows: rows.map(({name, bytesPerS, cpuUsPerS, memoryBytes, basis}) => [name, roundTo4Digits(bytesPerS), roundTo4Digits(cpuUsPerS), roundTo4Digits(memoryBytes), basis]),
		}, {
			title: 'Allocator of one bucket in a failure domain, in addition',
			columns: ['figure', 'value'],
			rows: allocatorRows(costAt),
		}, {
			title: 'Calls to the store by the whole fleet',
			columns: ['source', 'reads and watches/s', 'writes/s'],
			rows: storeRows(),
		}],
		slopes: [],
	};
}

function evaluateSlope(slopes: ReadonlyMap<string, Slope>, name: string, count: number): number {
	const slope = slopes.get(name);
	if (slope === undefined) {
		throw new Error(`no slope ${name} was measured`);
	}

	return Math.max(0, slope.base + (slope.perUnit * count));
}

function nodeItems(costAt: (name: string, count: number) => number): CostItem[] {
	const {links, loadLinks, loadSumOverheadBytes, loadSumRefreshS, workspaces, services, activeWorkspacesPerNode, changesPerReplacement} = assumptions;
	const {nodes, domains, memberChangesPerDay, changesPerDay, blocks} = designSize;
	const memberChangesPerS = memberChangesPerDay / secondsPerDay;
	const changesPerS = changesPerDay / secondsPerDay;
	const reportBytes = (entries: number) => costAt('Entry daemon, control work/bytes of a load report', entries);
	const reportUs = (entries: number) => costAt('Entry daemon, control work/processor time for load reports', entries);
	const loadSumsPerS = domains / loadSumRefreshS;
	const perFrameUs = costAt('Heartbeats/processor time of a node by links', links) / links / 2;
	const publishMembersUs = costAt('Snapshots inside a VM/publish processor time by members', nodes);
	const publishWorkspacesUs = costAt('Snapshots inside a VM/publish processor time by workspaces with a key', workspaces);
	return [{
		name: 'heartbeats',
		bytesPerS: costAt('Heartbeats/bytes sent by a node by links', links),
		cpuUsPerS: costAt('Heartbeats/processor time of a node by links', links),
		memoryBytes: 0,
		basis: 'slopes by links',
	}, {
		name: 'load reports',
		bytesPerS: reportBytes(services) + (loadSumsPerS * (reportBytes(services) + loadSumOverheadBytes)) + (loadLinks * costAt('Heartbeats/bytes sent by a node by links', links) / links),
		cpuUsPerS: reportUs(services) + (loadSumsPerS * reportUs(services)) + ((loadLinks + 3) * 2 * perFrameUs),
		memoryBytes: 0,
		basis: 'bytes and processor time by entries, messages by code; with the heartbeats of its links',
	}, {
		name: 'member table',
		bytesPerS: 0,
		cpuUsPerS: (4 * costAt('Members/judging all members, each 250 ms', nodes)) + (0.2 * costAt('Members/summary of the view', nodes)),
		memoryBytes: costAt('Members/memory of the table', nodes),
		basis: 'slopes by members; 4 judgements and 0.2 summaries a second',
	}, {
		name: 'member changes',
		bytesPerS: costAt('Members/bytes of a replacement by links of the sender', links) * memberChangesPerS,
		cpuUsPerS: memberChangesPerS * changesPerReplacement * (costAt('Members/choice of standing links', nodes) + costAt('Members/list of members', nodes)),
		memoryBytes: 0,
		basis: 'slope by links; choice of links and one list for each change',
	}, {
		name: 'configuration changes',
		bytesPerS: costAt('Configuration relay/bytes per change and node', workspaces) * changesPerS,
		cpuUsPerS: costAt('Configuration relay/processor time per change and node', workspaces) * 1000 * changesPerS,
		memoryBytes: 0,
		basis: 'slopes by workspaces, measured to 1,000',
	}, {
		name: 'snapshots to the daemons of the VM',
		bytesPerS: 0,
		cpuUsPerS: ((publishMembersUs + publishWorkspacesUs) * changesPerS) + (publishMembersUs * memberChangesPerS * changesPerReplacement),
		memoryBytes: 0,
		basis: 'slopes by members, and by workspaces for changes of the configuration; both ends of two links',
	}, {
		name: 'shares, holder',
		bytesPerS: costAt('Shares, message encoding only/request bytes', activeWorkspacesPerNode),
		cpuUsPerS: (costAt('Shares, message encoding only/processor time of both ends, encoding only', activeWorkspacesPerNode) / 2)
			+ costAt('Entry daemon, control work/processor time for shares', activeWorkspacesPerNode),
		memoryBytes: 0,
		basis: 'encoding slopes; one renewal a second',
	}, {
		name: 'client-block table',
		bytesPerS: 0,
		cpuUsPerS: 0,
		memoryBytes: costAt('Client-block table/memory of the table', blocks),
		basis: 'slope by entries',
	}, {
		name: 'tickets of 100,000 orders',
		bytesPerS: 0,
		cpuUsPerS: 0,
		memoryBytes: costAt('Order claims/memory of tickets', 100_000),
		basis: 'slope by tickets',
	}];
}

function allocatorRows(costAt: (name: string, count: number) => number): Array<[string, number]> {
	const {activeWorkspacesPerNode, buckets} = assumptions;
	const renewals = designSize.nodesPerDomain * activeWorkspacesPerNode / buckets;
	const perHolder = activeWorkspacesPerNode / buckets;
	return [
		['holders', designSize.nodesPerDomain],
		['workspace renewals/s', roundTo4Digits(renewals)],
		['bytes/s received', roundTo4Digits(designSize.nodesPerDomain * costAt('Shares, message encoding only/request bytes', perHolder))],
		['bytes/s sent', roundTo4Digits(designSize.nodesPerDomain * costAt('Shares, message encoding only/grants bytes', perHolder))],
		['CPU µs/s, encoding', roundTo4Digits(costAt('Shares, message encoding only/processor time of both ends, encoding only', renewals) / 2)],
		['CPU µs/s, allocation, a sixteenth of all buckets', roundTo4Digits(costAt('Share allocator/processor time of all renewals by holders', designSize.nodesPerDomain) / buckets)],
		['memory, bytes', roundTo4Digits(costAt('Share allocator/memory by leases', renewals))],
	];
}

function storeRows(): Array<[string, number, number | string]> {
	const {domains, nodes, changesPerDay, storeReadsPerS, storeWritesPerS} = designSize;
	const readers = 2 * domains;
	const changesPerS = changesPerDay / secondsPerDay;
	const replacementsPerS = 720 / secondsPerDay;
	const rows: Array<[string, number, number]> = [
		['readers: head watched each second, three lists each 2 s', readers * 2.5, 0],
		['readers: the watch that shows a change and the changed part', readers * 2 * changesPerS, 0],
		['operators: head, parts as cached, changed part and head written', 2 * changesPerS, 2 * changesPerS],
		['journal of orders at its limit, 4 partitions each 25 ms', 0, 160],
		['720 starts a day: head, 3 lists, 12 parts, all chunks of the block table', replacementsPerS * (16 + assumptions.blockChunks), 0],
	];
	const reads = rows.reduce((sum, row) => sum + row[1], 0);
	const writes = rows.reduce((sum, row) => sum + row[2], 0);
	return [
		...rows.map(([name, readsPerS, writesPerS]): [string, number, number] => [name, roundTo4Digits(readsPerS), roundTo4Digits(writesPerS)]),
		['sum without shares', roundTo4Digits(reads), roundTo4Digits(writes)],
		['budget', storeReadsPerS, storeWritesPerS],
		['one changed chunk of the block table, read by each reader, calls in all', readers, 0],
		['a failure domain that returns, whose readers alone read the block table, calls in all', (designSize.nodesPerDomain * 16) + (2 * assumptions.blockChunks), 0],
		['end of a store outage, every node each 6 to 7.5 s', roundTo4Digits(nodes / 6.75), 0],
		['all nodes stale at once, each 2 s', nodes / 2, 0],
	];
}
