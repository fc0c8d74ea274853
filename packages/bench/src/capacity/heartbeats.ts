import process from 'node:process';
import {SystemTimerService} from '@fescuewick/core';
import {createMesh, type PeerMesh} from '@fescuewick/membership';
import {
	MemoryNetwork, TcpTransport, type HeartbeatBody, type Transport,
} from '@fescuewick/wire';
import {cpuSinceUs, fitSlope, type Section} from './measure.js';
import {vmRecord} from './records.js';

/** Numbers of nodes in one failure domain; up to 32 nodes form a full mesh, so each node has one link fewer than there are nodes. */
const sizes = [32, 17, 9, 5] as const;
const warmUpMs = 1000;
/** Nodes compare their member views each second for 10 s after a start; bytes are counted after that. */
const settleMs = 12_000;
const windowMs = 2500;
const heartbeatsPerLinkPerS = 2;

const body: HeartbeatBody = {
	revision: 1_234_567, freshnessAgeMs: 812, storeReachable: true, keySummary: 3_123_456_789,
};

/** Measures the heartbeats of real meshes: CPU time over loopback TCP, bytes over in-memory links. */
export async function measureHeartbeats(): Promise<Section> {
	const timers = new SystemTimerService();
	// The first run warms up the JIT compiler and is not counted.
	await measureCpu(timers, sizes[0]);
	const rows: number[][] = [];
	for (const nodes of sizes) {
		rows.push(await measureCpu(timers, nodes));
	}

	const bytes = await Promise.all(sizes.map(async nodes => measureBytes(timers, nodes)));
	for (const [index, row] of rows.entries()) {
		row.push(...bytes[index]);
	}

	return {
		role: 'Heartbeats',
		tables: [{
			title: 'A node with this many links, heartbeats and regular digests',
			columns: ['links', 'CPU µs/s of a node', 'CPU µs per frame, sent and received', 'frames/s sent', 'bytes/s sent'],
			rows,
		}],
		slopes: [
			fitSlope('processor time of a node by links', 'µs/s per link', rows.map(row => [row[0], row[1]])),
			fitSlope('bytes sent by a node by links', 'B/s per link', rows.map(row => [row[0], row[4]])),
		],
	};
}

async function measureCpu(timers: SystemTimerService, nodes: number): Promise<number[]> {
	const meshes = await startMeshes(timers, nodes, () => new TcpTransport());
	await timers.sleep(warmUpMs);
	const cpu = process.cpuUsage();
	await timers.sleep(windowMs);
	const cpuUsPerS = cpuSinceUs(cpu) / (nodes * windowMs / 1000);
	const links = meshes.reduce((sum, mesh) => sum + mesh.linkCount, 0) / nodes;
	await stopMeshes(meshes);
	return [links, cpuUsPerS, cpuUsPerS / (links * heartbeatsPerLinkPerS)];
}

async function measureBytes(timers: SystemTimerService, nodes: number): Promise<number[]> {
	const network = new MemoryNetwork(timers);
	const meshes = await startMeshes(timers, nodes, host => network.transport(host));
	await timers.sleep(settleMs);
	const {framesSent, bytesSent} = network;
	await timers.sleep(windowMs);
	const nodeSeconds = nodes * windowMs / 1000;
	const result = [(network.framesSent - framesSent) / nodeSeconds, (network.bytesSent - bytesSent) / nodeSeconds];
	await stopMeshes(meshes);
	return result;
}

async function startMeshes(timers: SystemTimerService, nodes: number, transport: (host: string) => Transport): Promise<PeerMesh[]> {
	const meshes: PeerMesh[] = [];
	let seeds: string[] = [];
	for (let index = 0; index < nodes; index++) {
		const mesh = createMesh({timers, transport}, vmRecord(index, 1, '127.0.0.1:0'), {seeds, listenAddress: '127.0.0.1:0'});
		mesh.setHeartbeatSource(() => body);
		const address = await mesh.start();
		seeds = seeds.length === 0 ? [address] : seeds;
		meshes.push(mesh);
	}

	return meshes;
}

async function stopMeshes(meshes: readonly PeerMesh[]): Promise<void> {
	for (const mesh of meshes) {
		await mesh.stop();
	}
}
