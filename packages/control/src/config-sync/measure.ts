import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import process from 'node:process';
import {createIncarnation, createSilentLogger, SystemTimerService} from '@fescuewick/core';
import {applyConfiguration, loadConfiguration} from '@fescuewick/config';
import {
	createMesh, MemberTable, memoryRecord, seededRandom, type PeerMesh,
} from '@fescuewick/membership';
import {MemoryObjectStore} from '@fescuewick/store';
import {MemoryNetwork, MessageType} from '@fescuewick/wire';
import {KeyState} from '../keys/key-state.js';
import {testDocument} from './cluster-fixture.js';
import {ConfigSync} from './config-sync.js';

const steadyStateMs = 10_000;
const changeCount = 5;
const propagationWindowMs = 1500;
const fleetSizes: ReadonlyArray<{readonly domains: number; readonly nodesPerDomain: number}> = [
	{domains: 4, nodesPerDomain: 2}, {domains: 6, nodesPerDomain: 4}, {domains: 6, nodesPerDomain: 12}, {domains: 6, nodesPerDomain: 36},
];

/** Types of message that relay a configuration change. */
const relayTypes = [MessageType.configHead, MessageType.configHeadDelta, MessageType.configHeadRequest, MessageType.configPartRequest, MessageType.reply, MessageType.errorReply];

type Node = {readonly mesh: PeerMesh; readonly sync: ConfigSync; readonly keys: KeyState};
type Sample = {readonly atMs: number; readonly frames: number; readonly bytes: number; readonly relayBytes: number; readonly digestBytes: number; readonly cpuMs: number; readonly storeCalls: number};

/** Nodes connected by memory links in one process, running in real time. */
class Fleet {
	readonly timers = new SystemTimerService();
	readonly network = new MemoryNetwork(this.timers);
	readonly store = new MemoryObjectStore(this.timers);
	readonly nodes: Node[] = [];

	constructor(readonly domains: number, readonly nodesPerDomain: number) {
		this.network.delayMs = 1;
	}

	async start(): Promise<void> {
		await this.apply(1);
		for (let index = 0; index < this.domains * this.nodesPerDomain; index++) {
			const record = memoryRecord(`vm-${index}`, `domain-${index % this.domains}`);
			const mesh = createMesh(this.network, record, {seeds: ['vm-0:1']});
			const common = {
				peers: mesh, store: this.store, timers: this.timers, logger: createSilentLogger(), random: seededRandom(record.vm),
			};
			const sync = new ConfigSync(common);
			const keys = new KeyState({...common, config: sync});
			mesh.setHeartbeatSource(() => keys.heartbeat());
			await mesh.start();
			keys.start();
			void sync.start();
			this.nodes.push({mesh, sync, keys});
			await this.timers.sleep(10);
		}
	}

	async apply(variant: number): Promise<number> {
		const head = await applyConfiguration(this.store, await loadConfiguration(this.store), testDocument(['k1', 'k2'], variant), {author: 'measure', summary: 'change'});
		return head.revision;
	}

	/** Applies a change and resolves with the time that each node took to adopt it, in milliseconds. */
	async propagate(variant: number): Promise<number[]> {
		const timesMs: number[] = [];
		const startMs = this.timers.nowMs();
		const cancels = this.nodes.map(({sync}) => sync.onChange(() => {
			timesMs.push(this.timers.nowMs() - startMs);
		}));
		await this.apply(variant);
		await this.timers.sleep(propagationWindowMs);
		for (const cancel of cancels) {
			cancel();
		}

		return timesMs;
	}

	sample(): Sample {
		const {user, system} = process.cpuUsage();
		const {reads, watches, writes} = this.store.calls;
		return {
			atMs: this.timers.nowMs(),
			frames: this.network.framesSent,
			bytes: this.network.bytesSent,
			relayBytes: this.#bytesOf(relayTypes),
			digestBytes: this.#bytesOf([MessageType.memberDigest]),
			cpuMs: (user + system) / 1000,
			storeCalls: reads + watches + writes,
		};
	}

	#bytesOf(types: readonly MessageType[]): number {
		return types.reduce((sum, type) => sum + (this.network.bytesByType.get(type) ?? 0), 0);
	}

	async stop(): Promise<void> {
		for (const {mesh, sync, keys} of this.nodes) {
			sync.stop();
			keys.stop();
			await mesh.stop();
		}
	}
}

function percentile(values: readonly number[], fraction: number): number {
	const sorted = [...values].sort((a, b) => a - b);
	return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? Number.NaN;
}

async function measureFleet(domains: number, nodesPerDomain: number): Promise<Record<string, number>> {
	const fleet = new Fleet(domains, nodesPerDomain);
	await fleet.start();
	// For 10 s after its start a node compares its view with peers more often, which would distort the steady state.
	await fleet.timers.sleep(25_000);
	const steadyStart = fleet.sample();
	await fleet.timers.sleep(steadyStateMs);
	const steadyEnd = fleet.sample();
	const seconds = (steadyEnd.atMs - steadyStart.atMs) / 1000;
	const count = fleet.nodes.length;
	const linksPerNode = fleet.nodes.reduce((sum, {mesh}) => sum + mesh.linkCount, 0) / count;
	const timesMs: number[] = [];
	for (let change = 0; change < changeCount; change++) {
		timesMs.push(...await fleet.propagate(change + 2));
	}

	const afterChanges = fleet.sample();
	const perNodeAndSecond = (field: 'frames' | 'bytes' | 'digestBytes') => (steadyEnd[field] - steadyStart[field]) / seconds / count;
	await fleet.stop();
	return {
		nodes: count,
		domains,
		linksPerNode,
		nodeFramesPerS: perNodeAndSecond('frames'),
		nodeBytesPerS: perNodeAndSecond('bytes'),
		linkBytesPerS: perNodeAndSecond('bytes') / linksPerNode,
		cpuUsPerFrame: (steadyEnd.cpuMs - steadyStart.cpuMs) * 1000 / (steadyEnd.frames - steadyStart.frames),
		cpuPercentPerNode: (steadyEnd.cpuMs - steadyStart.cpuMs) / (steadyEnd.atMs - steadyStart.atMs) * 100 / count,
		nodeDigestBytesPerS: perNodeAndSecond('digestBytes'),
		nodeBytesPerChange: (afterChanges.relayBytes - steadyEnd.relayBytes) / changeCount / count,
		propagationP50Ms: percentile(timesMs, 0.5),
		propagationMaxMs: Math.max(...timesMs),
		reached: timesMs.length / changeCount,
		domainStoreCallsPerS: (steadyEnd.storeCalls - steadyStart.storeCalls) / seconds / domains,
	};
}

/** Heap used per member of a node's member table, in bytes. */
function bytesPerMember(count: number): number {
	setFlagsFromString('--expose-gc');
	const collectGarbage = runInNewContext('gc') as () => void;
	const timers = new SystemTimerService();
	const table = new MemberTable('self', timers, () => 0);
	collectGarbage();
	const beforeBytes = process.memoryUsage().heapUsed;
	table.merge({
		members: Array.from({length: count}, (_, index) => {
			const record = memoryRecord(`vm-${index}`, `domain-${index % 26}`);
			return {record, incarnation: createIncarnation(record.vm, timers), heardAgeMs: 0};
		}),
	}, 'other');
	collectGarbage();
	return (process.memoryUsage().heapUsed - beforeBytes) / table.size;
}

process.stdout.write(`${JSON.stringify({memberBytes: Math.round(bytesPerMember(5000))})}\n`);
for (const {domains, nodesPerDomain} of fleetSizes) {
	const row = await measureFleet(domains, nodesPerDomain);
	process.stdout.write(`${JSON.stringify(row, (_key, value: unknown) => (typeof value === 'number' ? Math.round(value * 100) / 100 : value))}\n`);
}

process.exitCode = 0;
