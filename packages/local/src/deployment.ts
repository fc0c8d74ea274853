import {
	freePorts, type Logger, type TimerService,
} from '@fescuewick/core';
import {applyConfiguration, loadConfiguration, type ConfigurationDocument} from '@fescuewick/config';
import {
	startBackendServer, startStoreServer, type BackendServer, type StoreServer,
} from '@fescuewick/emulator';
import {MemoryObjectStore, type ObjectStore} from '@fescuewick/store';
import {
	backendListKey, vmListKey, type BackendRecord, type VmRecord,
} from '@fescuewick/wire';
import {loopbackHost} from './loopback-host.js';
import {DirectRoutes, type Routes} from './routes.js';
import {assignServers, type Topology} from './topology.js';
import {DeployedVm, type VmPlan} from './vm.js';

/** A complete deployment on loopback, used by the local binary, tests and experiments. */
export type Deployment = {
	readonly store: MemoryObjectStore;
	readonly storeServer: StoreServer;
	readonly storeUrl: string;
	readonly vms: DeployedVm[];
	readonly backends: Map<string, BackendServer>;
	readonly backendRecords: BackendRecord[];
	/** Starts another VM and adds it to `vms`, but not to the platform's list; resolves when its daemons listen, which is before it is ready. */
	addVm(name: string, domain: {readonly name: string; readonly region: string}): Promise<DeployedVm>;
	/** Removes a stopped or killed VM from `vms`. */
	removeVm(vm: DeployedVm): void;
	stop(): Promise<void>;
};

export type DeploymentOptions = {
	readonly topology: Topology;
	readonly configuration: ConfigurationDocument;
	readonly timers: TimerService;
	readonly logger: Logger;
	/** Port of the first VM's look-up daemon; 0 picks a free one. */
	readonly lookupPort?: number;
	readonly storePort?: number;
	/** Default 5,000 ms. */
	readonly lookupTtlMs?: number;
	/** Time for which a draining entry daemon still accepts requests; default: the time to live of look-up answers plus 2 s. */
	readonly drainAcceptMs?: number;
	/** Clock and timers for the daemons of the named VM, so that tests can pause one VM; default: `timers`. */
	readonly timersOf?: (vm: string) => TimerService;
	/** How processes connect to each other; default: directly. */
	readonly routes?: Routes;
};

const drainMarginMs = 2000;
const maxSeeds = 3;

/** Starts the store, the backend servers and the entry VMs in this process; resolves when all VMs are ready or 15 s after their start. */
export async function startDeployment(options: DeploymentOptions): Promise<Deployment> {
	const {topology, timers, logger, lookupTtlMs = 5000, drainAcceptMs = lookupTtlMs + drainMarginMs, routes = new DirectRoutes()} = options;
	const store = new MemoryObjectStore(timers);
	const storeServer = await startStoreServer(store, {host: loopbackHost, port: options.storePort ?? 0});
	const {backends, records: backendRecords} = await startBackends(topology, timers);
	const plans = await planVms(topology, options.lookupPort ?? 0);
	await writePlatformLists(store, backendRecords, plans.map(plan => plan.record));
	if (await loadConfiguration(store) === undefined) {
		await applyConfiguration(store, undefined, options.configuration, {author: 'local', summary: 'first configuration'});
	}

	const startVm = async (plan: VmPlan): Promise<DeployedVm> => {
		const vmRoutes = await routes.addVm(plan.record, plan.localAddress, storeServer.url);
		return DeployedVm.start(plan, routes, vmRoutes, {
			timers: options.timersOf?.(plan.record.vm) ?? timers, logger, lookupTtlMs, drainAcceptMs,
		});
	};

	const vms = await Promise.all(plans.map(async plan => startVm(plan)));
	await Promise.all(vms.map(async vm => vm.waitUntilReady()));
	return {
		store,
		storeServer,
		storeUrl: storeServer.url,
		vms,
		backends,
		backendRecords,
		async addVm(name, domain) {
			const plan = await planVm(name, domain, 0);
			const vm = await startVm({...plan, seeds: seedsOf(plan, vms)});
			vms.push(vm);
			return vm;
		},
		removeVm(vm) {
			vms.splice(vms.indexOf(vm), 1);
		},
		async stop() {
			await Promise.all(vms.map(async vm => vm.stop()));
			await routes.close();
			await Promise.all([...backends.values()].map(async backend => backend.close()));
			await storeServer.close();
		},
	};
}

/** Writes the platform's lists of VMs and backend servers, one object per failure domain. */
export async function writePlatformLists(store: ObjectStore, backends: readonly BackendRecord[], vms: readonly VmRecord[]): Promise<void> {
	for (const failureDomain of new Set([...backends, ...vms].map(record => record.failureDomain))) {
		await store.write(backendListKey(failureDomain), backends.filter(record => record.failureDomain === failureDomain), undefined);
		await store.write(vmListKey(failureDomain), vms.filter(record => record.failureDomain === failureDomain), undefined);
	}
}

async function startBackends(topology: Topology, timers: TimerService): Promise<{backends: Map<string, BackendServer>; records: BackendRecord[]}> {
	const backends = new Map<string, BackendServer>();
	const records: BackendRecord[] = [];
	for (const {name, servers, slots, connections, serviceMs} of topology.services) {
		for (const {index, domain} of assignServers(topology, servers)) {
			const server = `${name}-${index + 1}`;
			const backend = await startBackendServer(server, timers, {slots, connections, serviceMs});
			backends.set(server, backend);
			records.push({
				server, service: name, failureDomain: domain.name, region: domain.region, address: backend.address, slots, connections, leaving: false,
			});
		}
	}

	return {backends, records};
}

async function planVms(topology: Topology, lookupPort: number): Promise<VmPlan[]> {
	const plans: VmPlan[] = [];
	for (const domain of topology.domains) {
		for (let index = 1; index <= domain.vms; index++) {
			plans.push(await planVm(`${domain.name}-${index}`, domain, plans.length === 0 ? lookupPort : 0));
		}
	}

	return plans.map(plan => ({...plan, seeds: seedsOf(plan, plans)}));
}

async function planVm(vm: string, domain: {readonly name: string; readonly region: string}, lookupPort: number): Promise<VmPlan> {
	const [control, local, entry, lookup, admin] = await freePorts(5);
	return {
		localAddress: `${loopbackHost}:${local}`,
		seeds: [],
		record: {
			vm,
			failureDomain: domain.name,
			region: domain.region,
			controlAddress: `${loopbackHost}:${control}`,
			entryUrl: `http://${loopbackHost}:${entry}`,
			lookupUrl: `http://${loopbackHost}:${lookupPort === 0 ? lookup : lookupPort}`,
			adminUrl: `http://${loopbackHost}:${admin}`,
			leaving: false,
		},
	};
}

function seedsOf({record}: VmPlan, others: ReadonlyArray<{readonly record: VmRecord}>): string[] {
	return others.map(other => other.record.controlAddress).filter(address => address !== record.controlAddress).slice(0, maxSeeds);
}
