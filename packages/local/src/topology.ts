/** Failure domains, VMs and backend servers of a local deployment. */
export type Topology = {
	readonly domains: ReadonlyArray<{readonly name: string; readonly region: string; readonly vms: number}>;
	readonly services: ReadonlyArray<{
		readonly name: string;
		readonly servers: number;
		readonly slots: number;
		readonly connections: number;
		readonly serviceMs: number;
	}>;
};

/** Deployment of the rental agency: 3 regions with 2 failure domains each, 8 entry VMs, 26 backend servers. */
export const rentalTopology: Topology = {
	domains: [
		{name: 'addis-a', region: 'addis', vms: 2},
		{name: 'addis-b', region: 'addis', vms: 2},
		{name: 'tigray-a', region: 'tigray', vms: 1},
		{name: 'tigray-b', region: 'tigray', vms: 1},
		{name: 'oromia-a', region: 'oromia', vms: 1},
		{name: 'oromia-b', region: 'oromia', vms: 1},
	],
	services: [
		{
			name: 'booking', servers: 12, slots: 8, connections: 330, serviceMs: 5,
		},
		{
			name: 'catalogue', servers: 14, slots: 9, connections: 330, serviceMs: 8,
		},
	],
};

/** Deployment of the notice group: 3 regions with 2 failure domains each, 8 entry VMs, 34 backend servers. */
export const noticeTopology: Topology = {
	domains: [
		{name: 'cairo-a', region: 'cairo', vms: 2},
		{name: 'cairo-b', region: 'cairo', vms: 2},
		{name: 'alex-a', region: 'alex', vms: 1},
		{name: 'alex-b', region: 'alex', vms: 1},
		{name: 'aswan-a', region: 'aswan', vms: 1},
		{name: 'aswan-b', region: 'aswan', vms: 1},
	],
	services: [
		{
			name: 'crier-desk', servers: 16, slots: 6, connections: 390, serviceMs: 5,
		},
		{
			name: 'notice-archive', servers: 18, slots: 6, connections: 390, serviceMs: 8,
		},
	],
};

/** Assigns `count` servers to the failure domains, round robin. */
export function * assignServers(topology: Topology, count: number): Generator<{index: number; domain: Topology['domains'][number]}> {
	for (let index = 0; index < count; index++) {
		yield {index, domain: topology.domains[index % topology.domains.length]};
	}
}
