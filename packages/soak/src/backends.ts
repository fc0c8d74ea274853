import {type TimerService} from '@fescuewick/core';
import {startTcpRelay, type TcpRelay} from '@fescuewick/emulator';
import {
	FakePlatformServer, serverObject, StoreKind, type ServerRequestEvent, type FakePlatformStore,
} from '@fescuewick/platform/stand-ins';

const slots = 8;
/** Working time of a request, in milliseconds. */
const workMs = 40;
/** Time from marking a server as draining in the store to closing it, in milliseconds; longer than the time in which VMs may still send to it. */
const drainMs = 5000;
/** Time for which every other server that is replaced says that it is leaving only in its answers, in milliseconds; longer than VMs may still send to it after that. */
const leavingByAnswersMs = 4500;

type RunningServer = {id: string; readonly failureDomain: string; readonly startedAtMs: number; standIn: FakePlatformServer; relay: TcpRelay; isDraining: boolean};

/** Backend servers with a relay in front of each. */
export class Backends {
	readonly runs: ServerRequestEvent[] = [];
	readonly arrivals: ServerRequestEvent[] = [];
	readonly drainingAtMs = new Map<string, number>();
	/** When a server began to say in its answers that it is leaving. */
	readonly saidLeavingAtMs = new Map<string, number>();
	readonly domainOf = new Map<string, string>();
	readonly #running: RunningServer[] = [];
	/** Servers with an object in the store, and whether it says that they are draining. */
	readonly #written = new Map<RunningServer, boolean>();
	#count = 0;

	constructor(private readonly options: {readonly timers: TimerService; readonly store: FakePlatformStore; readonly service: string}) {}

	/** Starts a server and writes its store object. */
	async add(failureDomain: string): Promise<void> {
		this.#running.push(await this.#start(failureDomain));
	}

	/** The relay in front of the server that a fault's `target` chooses. */
	relayOf(target: number): TcpRelay {
		return this.#running[target % this.#running.length].relay;
	}

	/** Drains a server and starts another one in its place; no effect if it is draining already. */
	async replace(target: number): Promise<void> {
		const {timers, store} = this.options;
		const old = this.#running[target % this.#running.length];
		if (old.isDraining) {
			return;
		}

		old.isDraining = true;
		if (target % 2 === 1) {
			old.standIn.isLeaving = true;
			this.saidLeavingAtMs.set(old.id, timers.nowMs());
			await timers.sleep(leavingByAnswersMs);
		}

		this.#writeObject(old, true);
		this.drainingAtMs.set(old.id, timers.nowMs());
		const next = await this.#start(old.failureDomain);
		await timers.sleep(drainMs);
		store.remove(StoreKind.servers, old.id);
		this.#written.delete(old);
		this.#running.splice(this.#running.indexOf(old), 1, next);
		old.standIn.close();
		await old.relay.close();
	}

	/** Writes the objects again after the store was restored from a copy; those of servers that have left expire. */
	rewrite(): void {
		for (const [server, isDraining] of this.#written) {
			this.#writeObject(server, isDraining);
		}

		const ids = new Set([...this.#written.keys()].map(({id}) => id));
		for (const id of this.domainOf.keys()) {
			if (!ids.has(id)) {
				this.options.store.remove(StoreKind.servers, id);
			}
		}
	}

	async end(): Promise<void> {
		for (const {standIn, relay} of this.#running) {
			standIn.close();
			await relay.close();
		}
	}

	async #start(failureDomain: string): Promise<RunningServer> {
		const id = `server-${++this.#count}`;
		const standIn = new FakePlatformServer({
			id, slots, workMs, nowMs: () => this.options.timers.nowMs(), onArrival: run => {
				this.arrivals.push(run);
			}, onRun: run => {
				this.runs.push(run);
			},
		});
		const relay = await startTcpRelay(await standIn.listen());
		this.domainOf.set(id, failureDomain);
		const running = {
			id, failureDomain, startedAtMs: Date.now(), standIn, relay, isDraining: false,
		};
		this.#writeObject(running, false);
		return running;
	}

	#writeObject(server: RunningServer, isDraining: boolean): void {
		const {store, service} = this.options;
		const {id, failureDomain, relay, startedAtMs} = server;
		this.#written.set(server, isDraining);
		store.set(StoreKind.servers, id, serverObject({
			service, address: relay.address, failureDomain, slots, isDraining, startedAtMs,
		}));
	}
}
