import {type Logger, type TimerService} from '@fescuewick/core';
import {startControl, type ControlDaemon} from '@fescuewick/control';
import {startEntry, type EntryDaemon} from '@fescuewick/entry';
import {startLookup, type LookupDaemon} from '@fescuewick/lookup';
import {splitAddress, TcpTransport, type VmRecord} from '@fescuewick/wire';
import {loopbackHost} from './loopback-host.js';
import {DaemonKind, type Routes, type VmRoutes} from './routes.js';

const readyTimeoutMs = 15_000;
const readyCheckIntervalMs = 50;

/** Settings shared by all VMs of a deployment. */
export type VmOptions = {
	readonly timers: TimerService;
	readonly logger: Logger;
	/** Time to live of look-up answers. */
	readonly lookupTtlMs: number;
	/** Time for which a draining entry daemon still accepts requests. */
	readonly drainAcceptMs: number;
};

/** Addresses of a VM that is not started yet. */
export type VmPlan = {
	readonly record: VmRecord;
	readonly localAddress: string;
	readonly seeds: readonly string[];
};

/** An entry VM with its control, entry and look-up daemons, each of which can be stopped, killed and restarted. */
export class DeployedVm {
	readonly record: VmRecord;
	readonly #plan: VmPlan;
	readonly #routes: Routes;
	readonly #vmRoutes: VmRoutes;
	readonly #options: VmOptions;
	readonly #logger: Logger;
	#control: ControlDaemon | undefined;
	#entry: EntryDaemon | undefined;
	#lookup: LookupDaemon | undefined;

	private constructor(plan: VmPlan, routes: Routes, vmRoutes: VmRoutes, options: VmOptions) {
		this.record = plan.record;
		this.#plan = plan;
		this.#routes = routes;
		this.#vmRoutes = vmRoutes;
		this.#options = options;
		this.#logger = options.logger.child({vm: plan.record.vm});
	}

	/** Creates a VM and starts its daemons; resolves when they listen. */
	static async start(plan: VmPlan, routes: Routes, vmRoutes: VmRoutes, options: VmOptions): Promise<DeployedVm> {
		const vm = new DeployedVm(plan, routes, vmRoutes, options);
		await vm.start();
		return vm;
	}

	get isControlRunning(): boolean {
		return this.#control !== undefined;
	}

	/** The control daemon; throws while it is not running. */
	get control(): ControlDaemon {
		return requireRunning(this.#control);
	}

	/** The entry daemon; throws while it is not running. */
	get entry(): EntryDaemon {
		return requireRunning(this.#entry);
	}

	/** The look-up daemon; throws while it is not running. */
	get lookup(): LookupDaemon {
		return requireRunning(this.#lookup);
	}

	/** Starts the daemons that are not running, each with a new incarnation. */
	async start(): Promise<void> {
		await this.startDaemon(DaemonKind.control);
		await this.startDaemon(DaemonKind.entry);
		await this.startDaemon(DaemonKind.lookup);
	}

	/** Starts a daemon with a new incarnation at the VM's addresses; does nothing if it is running. */
	async startDaemon(kind: DaemonKind): Promise<void> {
		const {timers, lookupTtlMs, drainAcceptMs} = this.#options;
		const {vm, failureDomain, region, entryUrl, lookupUrl, adminUrl, controlAddress} = this.record;
		const location = {vm, failureDomain, region};
		const logger = this.#logger;
		if (kind === DaemonKind.control) {
			this.#control ??= await startControl({
				location,
				peerListen: controlAddress,
				localListen: this.#plan.localAddress,
				adminListen: hostPort(adminUrl),
				entryUrl,
				lookupUrl,
				storeUrl: this.#vmRoutes.storeUrl,
				storeTimeoutMs: 1000,
				seeds: [...this.#plan.seeds],
			}, {
				timers, transport: this.#vmRoutes.transport, logger, random: Math.random,
			});
		} else if (kind === DaemonKind.entry) {
			this.#entry ??= await startEntry({
				location, listen: splitAddress(hostPort(entryUrl)), adminListen: {host: loopbackHost, port: 0}, controlAddress: this.#vmRoutes.controlAddressForEntry, limits: {drainAcceptMs},
			}, {
				timers, transport: new TcpTransport(), logger, random: Math.random,
			});
		} else {
			this.#lookup ??= await startLookup({
				location, listen: splitAddress(hostPort(lookupUrl)), controlAddress: this.#vmRoutes.controlAddressForLookup, lookupTtlMs, nearestRegions: {},
			}, {timers, transport: new TcpTransport(), logger});
		}
	}

	/** Ends a daemon as a crash would: its connections break and it sends no goodbye message. */
	async killDaemon(kind: DaemonKind): Promise<void> {
		this.#routes.beforeKill(this.record, kind);
		await this.stopDaemon(kind);
		this.#routes.afterKill(this.record, kind);
	}

	/** Ends all daemons as a crash of the VM would. */
	async kill(): Promise<void> {
		const kinds = Object.values(DaemonKind);
		for (const kind of kinds) {
			this.#routes.beforeKill(this.record, kind);
		}

		await Promise.all(kinds.map(async kind => this.stopDaemon(kind)));
		for (const kind of kinds) {
			this.#routes.afterKill(this.record, kind);
		}
	}

	/** Stops a daemon immediately; an entry daemon aborts its requests. */
	async stopDaemon(kind: DaemonKind): Promise<void> {
		if (kind === DaemonKind.control) {
			await this.#control?.stop();
			this.#control = undefined;
		} else if (kind === DaemonKind.entry) {
			await this.#entry?.stop();
			this.#entry = undefined;
		} else {
			await this.#lookup?.stop();
			this.#lookup = undefined;
		}
	}

	/** Drains and stops the entry daemon, as SIGTERM does; no request is aborted. */
	async drainEntry(): Promise<void> {
		await this.#entry?.drain();
		this.#entry = undefined;
	}

	/** Stops the control daemon as SIGTERM does; if the entry daemon is draining, the control daemon stops after it. */
	async drainControl(): Promise<void> {
		await this.#control?.drain();
		this.#control = undefined;
	}

	/** Drains and stops all daemons, as SIGTERM to each of them does; no request is aborted. */
	async drain(): Promise<void> {
		const draining = [this.drainEntry(), this.drainControl()];
		await this.stopDaemon(DaemonKind.lookup);
		await Promise.all(draining);
	}

	/** Stops the daemons that are still running. */
	async stop(): Promise<void> {
		await this.stopDaemon(DaemonKind.lookup);
		await this.stopDaemon(DaemonKind.entry);
		await this.stopDaemon(DaemonKind.control);
	}

	/** Waits until all daemons report that they are ready; returns false if they do not within the time-out. */
	async waitUntilReady(timeoutMs = readyTimeoutMs): Promise<boolean> {
		const {timers} = this.#options;
		const deadlineMs = timers.nowMs() + timeoutMs;
		while (!await this.#isReady()) {
			if (timers.nowMs() >= deadlineMs) {
				return false;
			}

			await timers.sleep(readyCheckIntervalMs);
		}

		return true;
	}

	async #isReady(): Promise<boolean> {
		for (const url of [this.record.adminUrl, this.#entry?.adminUrl, this.#lookup?.url]) {
			try {
				const response = await fetch(`${url}/readyz`);
				await response.text();
				if (!response.ok) {
					return false;
				}
			} catch {
				return false;
			}
		}

		return true;
	}
}

function requireRunning<Daemon>(daemon: Daemon | undefined): Daemon {
	if (daemon === undefined) {
		throw new Error('daemon is not running');
	}

	return daemon;
}

function hostPort(url: string): string {
	return url.slice('http://'.length);
}
