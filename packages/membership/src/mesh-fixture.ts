import {
	createIncarnation, createSilentLogger, hashFraction, type TimerService,
} from '@fescuewick/core';
import {type MemoryNetwork, type Transport, type VmRecord} from '@fescuewick/wire';
import {PeerMesh} from './peer-mesh.js';
import {type Random} from './random.js';

/** Seeded random numbers for tests and measurements. */
export function seededRandom(seed: string): Random {
	let count = 0;
	return () => hashFraction(`${seed}/${count++}`);
}

/** Record of a test VM that listens on memory links at `<vm>:1`. */
export function memoryRecord(vm: string, failureDomain: string): VmRecord {
	return {
		vm, failureDomain, region: failureDomain.slice(0, -1), controlAddress: `${vm}:1`, entryUrl: `http://${vm}`, lookupUrl: `http://${vm}`, adminUrl: `http://${vm}`, leaving: false,
	};
}

export type MeshOverrides = {readonly transport?: Transport; readonly listenAddress?: string; readonly seeds?: readonly string[]; readonly run?: number};

/** Creates a mesh, not started yet, over the network's transport. */
export function createMesh(network: {readonly timers: TimerService; transport: (host: string) => Transport}, record: VmRecord, overrides: MeshOverrides = {}): PeerMesh {
	return new PeerMesh({
		self: record,
		incarnation: createIncarnation(record.vm, network.timers),
		timers: network.timers,
		transport: overrides.transport ?? network.transport(record.vm),
		logger: createSilentLogger(),
		seeds: overrides.seeds ?? [],
		listenAddress: overrides.listenAddress ?? record.controlAddress,
		random: seededRandom(`${record.vm}/${overrides.run ?? 0}`),
	});
}

/** Starts meshes that discover each other through the first one, which is the seed. */
export async function startMeshes(network: MemoryNetwork, records: readonly VmRecord[]): Promise<PeerMesh[]> {
	const meshes = records.map(record => createMesh(network, record, {seeds: [records[0].controlAddress]}));
	for (const mesh of meshes) {
		await mesh.start();
	}

	return meshes;
}
