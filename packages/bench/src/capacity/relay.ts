import process from 'node:process';
import {createSilentLogger, SystemTimerService} from '@fescuewick/core';
import {
	applyConfiguration, diffHeads, headKey, joinDocument, loadConfiguration, patchHead, splitDocument, type ChangeRecord, type ConfigurationDocument, type ConfigurationHead,
} from '@fescuewick/config';
import {ConfigSync} from '@fescuewick/control/config-sync';
import {createMesh, seededRandom, type PeerMesh} from '@fescuewick/membership';
import {MemoryObjectStore} from '@fescuewick/store';
import {encodeFrame, MemoryNetwork, MessageType} from '@fescuewick/wire';
import {
	cpuSinceUs, cpuUsPerCall, fitSlope, type Section,
} from './measure.js';
import {documentOf, vmRecord} from './records.js';

const cases = [{nodes: 14, workspaces: 100}, {nodes: 14, workspaces: 400}, {nodes: 14, workspaces: 1000}, {nodes: 42, workspaces: 100}] as const;
const linkDelayMs = 1;
/** Long enough for a cold start, in which no peer has the configuration and each node reads its parts from the store at 4 calls per second. */
const readyTimeoutMs = 20_000;
const steadyMs = 2000;
const changeCount = 4;
const changeTimeoutMs = 4000;
const changeSpacingMs = 150;
/** The head of a configuration in use contains the maximum number of change records. */
const recentChangeCount = 64;

type RelayNode = {readonly mesh: PeerMesh; readonly sync: ConfigSync};

/** Measures the relay of configuration changes within one failure domain, over in-memory links with a delay of 1 ms. */
export async function measureRelay(): Promise<Section> {
	const rows: number[][] = [];
	for (const {nodes, workspaces} of cases) {
		rows.push(await measureDomain(nodes, workspaces));
	}

	const heads = [100, 1000, 4000].map(workspaces => measureHeads(workspaces));
	const smallDomainRows = rows.slice(0, 3);
	return {
		role: 'Configuration relay',
		tables: [{
			title: 'One failure domain; one workspace is changed in each change',
			columns: [
				'nodes',
				'workspaces and keys',
				'bytes per change and node',
				'CPU ms per change and node',
				'all nodes after ms, mean',
				'store reads per change',
				'steady store calls/s',
				'steady bytes/s of a node',
				'cold start of all nodes, s',
			],
			rows,
		}, {
			title: 'Head with 64 change records, and a change of one workspace',
			columns: [
				'workspaces and keys',
				'parts',
				'head, bytes',
				'head delta, bytes',
				'changed part, bytes',
				'head encoded, CPU µs',
				'delta made and applied, CPU µs',
				'document joined and checked, CPU µs',
			],
			rows: heads,
		}],
		slopes: [
			fitSlope('bytes per change and node', 'B per workspace with a key', smallDomainRows.map(row => [row[1], row[2]])),
			fitSlope('processor time per change and node', 'ms per workspace with a key', smallDomainRows.map(row => [row[1], row[3]])),
			fitSlope('bytes of a head', 'B per workspace with a key', heads.map(row => [row[0], row[2]])),
			fitSlope('document joined and checked', 'µs per workspace with a key', heads.map(row => [row[0], row[7]])),
		],
	};
}

async function measureDomain(count: number, workspaces: number): Promise<number[]> {
	const timers = new SystemTimerService();
	const network = new MemoryNetwork(timers);
	network.delayMs = linkDelayMs;
	const store = new MemoryObjectStore(timers);
	let document = documentOf(workspaces);
	const first = await applyConfiguration(store, undefined, document, {author: 'capacity', summary: 'first configuration'});
	await store.write(headKey, {...first, recentChanges: changeRecords(first.revision)}, undefined);
	const nodes = await Promise.all(Array.from({length: count}, async (_, index) => startNode(timers, network, store, index)));
	try {
		const startedAtMs = timers.nowMs();
		await waitUntil(timers, readyTimeoutMs, () => nodes.every(({mesh, sync}) => sync.revision === 1 && mesh.members().length === count));
		const readyMs = timers.nowMs() - startedAtMs;
		await timers.sleep(500);
		const steady = await sample(network, store, async () => timers.sleep(steadyMs));
		const readsBefore = store.calls.reads;
		let propagationMs = 0;
		let operatorCpuUs = 0;
		let operatorReads = 0;
		const busy = await sample(network, store, async () => {
			for (let change = 1; change <= changeCount; change++) {
				document = withRate(document, 10 + change);
				const cpu = process.cpuUsage();
				const {reads} = store.calls;
				const loaded = await loadConfiguration(store);
				operatorReads += store.calls.reads - reads;
				const changeStartedAtMs = timers.nowMs();
				await applyConfiguration(store, loaded, document, {author: 'capacity', summary: `~ workspaces/workspace-0007 ratePerS 10 -> ${10 + change}`});
				operatorCpuUs += cpuSinceUs(cpu);
				await waitUntil(timers, changeTimeoutMs, () => nodes.every(({sync}) => sync.revision === 1 + change));
				propagationMs += timers.nowMs() - changeStartedAtMs;
				await timers.sleep(changeSpacingMs);
			}
		});
		const scale = busy.durationMs / steady.durationMs;
		return [
			count,
			workspaces,
			(busy.bytes - (steady.bytes * scale)) / changeCount / count,
			(busy.cpuUs - operatorCpuUs - (steady.cpuUs * scale)) / 1000 / changeCount / count,
			propagationMs / changeCount,
			(store.calls.reads - readsBefore - operatorReads) / changeCount,
			steady.calls / steady.durationMs * 1000,
			steady.bytes / steady.durationMs * 1000 / count,
			readyMs / 1000,
		];
	} finally {
		for (const {mesh, sync} of nodes) {
			sync.stop();
			await mesh.stop();
		}
	}
}

async function startNode(timers: SystemTimerService, network: MemoryNetwork, store: MemoryObjectStore, index: number): Promise<RelayNode> {
	const record = vmRecord(index, 1, `host-${index}:1`);
	const mesh = createMesh({timers, transport: () => network.transport(`host-${index}`)}, record, {seeds: index === 0 ? [] : ['host-0:1']});
	const sync = new ConfigSync({
		peers: mesh, store, timers, logger: createSilentLogger(), random: seededRandom(record.vm),
	});
	mesh.setHeartbeatSource(() => sync.heartbeat());
	await mesh.start();
	void sync.start();
	return {mesh, sync};
}

type Sample = {readonly bytes: number; readonly calls: number; readonly cpuUs: number; readonly durationMs: number};

async function sample(network: MemoryNetwork, store: MemoryObjectStore, run: () => Promise<void>): Promise<Sample> {
	const bytes = network.bytesSent;
	const calls = store.calls.reads + store.calls.watches;
	const startedAtMs = store.timers.nowMs();
	const cpu = process.cpuUsage();
	await run();
	return {
		bytes: network.bytesSent - bytes,
		calls: store.calls.reads + store.calls.watches - calls,
		cpuUs: cpuSinceUs(cpu),
		durationMs: store.timers.nowMs() - startedAtMs,
	};
}

async function waitUntil(timers: SystemTimerService, timeoutMs: number, condition: () => boolean): Promise<void> {
	const deadlineMs = timers.nowMs() + timeoutMs;
	while (!condition()) {
		if (timers.nowMs() > deadlineMs) {
			throw new Error(`not all nodes had the expected revision within ${timeoutMs} ms`);
		}

		await timers.sleep(2);
	}
}

function changeRecords(revision: number): ChangeRecord[] {
	return Array.from({length: recentChangeCount}, (_, index) => ({
		changeId: `5f0c3c0e-7a54-4d0e-9a51-${String(index).padStart(12, '0')}`,
		revision: revision - index,
		author: 'operator@example.org',
		summary: `~ workspaces/workspace-${index} ratePerS 10 -> 20`,
	}));
}

function withRate(document: ConfigurationDocument, ratePerS: number): ConfigurationDocument {
	return {...document, workspaces: document.workspaces.map((workspace, index) => (index === 7 ? {...workspace, ratePerS} : workspace))};
}

function measureHeads(workspaces: number): number[] {
	const document = documentOf(workspaces);
	const before = splitDocument(document);
	const after = splitDocument(withRate(document, 11));
	const recentChanges = changeRecords(1000);
	const from: ConfigurationHead = {revision: 1000, parts: before.parts, recentChanges};
	const to: ConfigurationHead = {revision: 1001, parts: after.parts, recentChanges: [{...recentChanges[0], revision: 1001}, ...recentChanges].slice(0, recentChangeCount)};
	const encodeHead = () => encodeFrame(MessageType.configHead, 1, {...to, freshnessAgeMs: 12});
	const delta = diffHeads(from, to);
	const [changedHash] = Object.values(delta.parts);
	const contents = Object.fromEntries(Object.entries(after.parts).map(([name, hash]) => [name, after.contents.get(hash)!]));
	return [
		workspaces,
		Object.keys(to.parts).length,
		encodeHead().length,
		// A frame has the same length for all message types below 24 (one byte in CBOR), so the delta is encoded as a `configHead` frame.
		encodeFrame(MessageType.configHead, 1, delta).length,
		after.contents.get(changedHash ?? '')?.length ?? 0,
		cpuUsPerCall(encodeHead),
		cpuUsPerCall(() => patchHead(from, diffHeads(from, to))),
		cpuUsPerCall(() => joinDocument(contents)),
	];
}
