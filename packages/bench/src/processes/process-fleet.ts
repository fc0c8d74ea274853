import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {applyConfiguration, type ConfigurationDocument} from '@fescuewick/config';
import {freePorts} from '@fescuewick/core';
import {
	demoConfiguration, loopbackHost, writePlatformLists,
} from '@fescuewick/local';
import {HttpObjectStore} from '@fescuewick/store';
import {type BackendRecord, type VmRecord} from '@fescuewick/wire';
import {call, sleep, waitUntil} from './caller.js';
import {ManagedProcess} from './managed-process.js';

/** An entry VM, each of whose daemons runs as a separate process. */
export type ProcessVm = {
	readonly record: VmRecord;
	readonly entryAdminUrl: string;
	readonly control: ManagedProcess;
	readonly entry: ManagedProcess;
	readonly lookup: ManagedProcess;
};

/** Counters and requests that a backend server reports at `/observations`. */
export type Observations = {readonly runs: number; readonly maxInFlight: number; readonly runsByOrder: Record<string, number>; readonly requestsRun: string[]; readonly keyHeadersSeen: string[]};

/** The methods of a test's context that are needed to stop the fleet when the test ends. */
export type TestScope = {timeout(limitMs: number): void; teardown(action: () => Promise<void>): void};

/** Options of a fleet. */
export type FleetOptions = {readonly serviceMs?: number; readonly slots?: number; readonly drainAcceptMs?: number};

/** Rate and burst of the workspace `tailor-bole`, low enough for a test to exceed them. */
export const limitedWorkspace = {key: 'demo-key-tailor-bole', ratePerS: 20, burst: 20};

const failureDomains = ['addis-a', 'addis-b'];
const serversPerDomain = 2;
const defaultSlots = 4;

/** Two failure domains with one entry VM and two backend servers each, and a store, all as separate processes. */
export class ProcessFleet {
	readonly vms: ProcessVm[] = [];
	readonly backends: ManagedProcess[] = [];
	readonly backendRecords: BackendRecord[] = [];
	readonly configuration: ConfigurationDocument;
	storeProcess!: ManagedProcess;
	store!: HttpObjectStore;
	readonly #folder = mkdtempSync(join(tmpdir(), 'fescuewick-processes-'));
	readonly #options: FleetOptions;

	private constructor(options: FleetOptions) {
		this.#options = options;
		const demo = demoConfiguration();
		this.configuration = {
			...demo,
			workspaces: demo.workspaces.map(workspace => workspace.name === 'tailor-bole' ? {...workspace, ratePerS: limitedWorkspace.ratePerS, burst: limitedWorkspace.burst} : workspace),
		};
	}

	/** Starts a fleet, waits until it serves requests, and stops it when the test ends, also after a failure. */
	static async start(t: TestScope, options: FleetOptions = {}): Promise<ProcessFleet> {
		t.timeout(58_000);
		const fleet = new ProcessFleet(options);
		t.teardown(async () => fleet.stop());
		await fleet.#start();
		return fleet;
	}

	/** All processes of the fleet, including those that have not been started yet. */
	processes(): ManagedProcess[] {
		return [this.storeProcess, ...this.backends, ...this.daemons()];
	}

	/** The daemons of all VMs. */
	daemons(): ManagedProcess[] {
		return this.vms.flatMap(({control, entry, lookup}) => [control, entry, lookup]);
	}

	/** Reads the observations of each backend server. */
	async observations(): Promise<Observations[]> {
		return Promise.all(this.backendRecords.map(async ({address}) => getJson<Observations>(`http://${address}/observations`)));
	}

	/** Number of runs of each order over all backend servers. */
	async runsByOrder(): Promise<Map<string, number>> {
		const runs = new Map<string, number>();
		for (const {runsByOrder} of await this.observations()) {
			for (const [order, count] of Object.entries(runsByOrder)) {
				runs.set(order, (runs.get(order) ?? 0) + count);
			}
		}

		return runs;
	}

	/** The values of the query parameter `request` of all requests that ran. */
	async requestsRun(): Promise<Set<string>> {
		const observations = await this.observations();
		return new Set(observations.flatMap(({requestsRun}) => requestsRun));
	}

	/** Waits until all daemons are ready, each VM lists the others as alive, and checks are served. */
	async waitUntilServing(): Promise<void> {
		for (const vm of this.vms) {
			await waitUntil(`daemons of ${vm.record.vm} are ready`, async () => this.isReady(vm));
			await waitUntil(`${vm.record.vm} knows all VMs`, async () => {
				const {members} = await getJson<{members: Array<{state: string}>}>(`${vm.record.adminUrl}/v1/status`);
				return members.filter(({state}) => state === 'alive').length >= this.vms.length - 1;
			});
			await waitUntil(`${vm.record.vm} serves checks`, async () => {
				const {status} = await call(vm.record.entryUrl);
				return status === 200;
			});
		}
	}

	/** Kills every process and deletes the settings files. */
	async stop(): Promise<void> {
		await Promise.all(this.processes().filter(Boolean).map(async managed => managed.kill()));
		await this.store?.close();
		rmSync(this.#folder, {recursive: true, force: true});
	}

	async #start(): Promise<void> {
		const [storePort] = await freePorts(1);
		const storeUrl = `http://${loopbackHost}:${storePort}`;
		this.storeProcess = new ManagedProcess('store', 'emulator', ['store', '--listen', `${loopbackHost}:${storePort}`]);
		this.storeProcess.start();
		this.store = new HttpObjectStore({url: storeUrl, timeoutMs: 2000, connections: 4});
		for (const domain of failureDomains) {
			for (let index = 1; index <= serversPerDomain; index++) {
				await this.#startBackend(domain, `${domain}-booking-${index}`);
			}
		}

		const ports = await Promise.all(failureDomains.map(async () => freePorts(6)));
		for (const [index, domain] of failureDomains.entries()) {
			this.vms.push(this.#createVm(domain, ports[index], [`${loopbackHost}:${ports[1 - index][0]}`], storeUrl));
		}

		await waitUntil('the store answers', async () => succeeds(async () => this.store.read('config/head')));
		await writePlatformLists(this.store, this.backendRecords, this.vms.map(vm => vm.record));
		await applyConfiguration(this.store, undefined, this.configuration, {author: 'test', summary: 'first configuration'});
		for (const daemon of this.daemons()) {
			daemon.start();
		}

		await this.waitUntilServing();
	}

	async #startBackend(failureDomain: string, server: string): Promise<void> {
		const {slots = defaultSlots, serviceMs = 5} = this.#options;
		const [port] = await freePorts(1);
		const address = `${loopbackHost}:${port}`;
		const backend = new ManagedProcess(server, 'emulator', ['backend', '--listen', address, '--name', server, '--slots', String(slots), '--service-ms', String(serviceMs)]);
		backend.start();
		this.backends.push(backend);
		this.backendRecords.push({
			server, service: 'booking', failureDomain, region: 'addis', address, slots, connections: 330, leaving: false,
		});
	}

	#createVm(failureDomain: string, ports: readonly number[], seeds: string[], storeUrl: string): ProcessVm {
		const [peerPort, localPort, adminPort, entryPort, entryAdminPort, lookupPort] = ports;
		const location = {vm: `${failureDomain}-1`, failureDomain, region: 'addis'};
		const controlLocalAddress = `${loopbackHost}:${localPort}`;
		const record: VmRecord = {
			...location,
			controlAddress: `${loopbackHost}:${peerPort}`,
			entryUrl: `http://${loopbackHost}:${entryPort}`,
			lookupUrl: `http://${loopbackHost}:${lookupPort}`,
			adminUrl: `http://${loopbackHost}:${adminPort}`,
			leaving: false,
		};
		const {entryUrl, lookupUrl} = record;
		return {
			record,
			entryAdminUrl: `http://${loopbackHost}:${entryAdminPort}`,
			control: this.#createDaemon('control', location.vm, {
				location, peerListen: record.controlAddress, localListen: controlLocalAddress, adminListen: `${loopbackHost}:${adminPort}`, entryUrl, lookupUrl, storeUrl, storeTimeoutMs: 1000, seeds,
			}),
			entry: this.#createDaemon('entry', location.vm, {
				location, listen: {host: loopbackHost, port: entryPort}, adminListen: {host: loopbackHost, port: entryAdminPort}, controlAddress: controlLocalAddress, limits: {drainAcceptMs: this.#options.drainAcceptMs ?? 3000},
			}),
			lookup: this.#createDaemon('lookup', location.vm, {
				location, listen: {host: loopbackHost, port: lookupPort}, controlAddress: controlLocalAddress, lookupTtlMs: 1000,
			}),
		};
	}

	#createDaemon(packageName: string, vm: string, settings: unknown): ManagedProcess {
		const file = join(this.#folder, `${vm}-${packageName}.yaml`);
		// JSON is valid YAML.
		writeFileSync(file, JSON.stringify(settings, undefined, 2));
		return new ManagedProcess(`${packageName} of ${vm}`, packageName, ['--settings', file]);
	}

	/** Whether all daemons of a VM report ready. */
	async isReady({record, entryAdminUrl}: ProcessVm): Promise<boolean> {
		const answers = await Promise.all([record.adminUrl, entryAdminUrl, record.lookupUrl].map(async url => succeeds(async () => getJson(`${url}/readyz`))));
		return answers.every(Boolean);
	}
}

/** Fetches JSON; throws unless the status is 2xx. */
export async function getJson<Value>(url: string): Promise<Value> {
	const response = await fetch(url, {signal: AbortSignal.timeout(5000)});
	const text = await response.text();
	if (!response.ok) {
		throw new Error(`${url} responded with status ${response.status}, expected 2xx: ${text}`);
	}

	return JSON.parse(text) as Value;
}

async function succeeds(action: () => Promise<unknown>): Promise<boolean> {
	try {
		await action();
		return true;
	} catch {
		await sleep(20);
		return false;
	}
}
