import {
	DecisionKind, logDecision, type Logger, type TimerService,
} from '@fescuewick/core';
import {type BackendRecord} from '@fescuewick/wire';
import {type SlotGrants} from '../limits/slot-grants.js';
import {Backend} from './backend.js';
import {type BackendConnection} from './connections.js';

/** Longest time for which the slot of a cancelled request counts as occupied; the server needs time to notice the closed connection. */
const maxCancelDelayMs = 1000;
/** Shortest latency that the timers resolve; a measured latency of 0 would make the computed capacity infinite. */
const minLatencyMs = 0.1;

/** A slot and a connection of a backend server, held by one attempt. */
export type BackendLease = {readonly backend: Backend; readonly connection: BackendConnection; readonly takenAtMs: number};

/** Which servers and connections `pick` may return. */
export type PickOptions = {
	/** Longest time since the last answer on the connection; a new connection always qualifies. */
	readonly maxIdleMs?: number;
	/** Servers that are not returned, for example because they were tried already. */
	readonly excluded?: ReadonlySet<Backend>;
};

/** Options of a backend pool. */
export type PoolOptions = {
	readonly service: string;
	readonly timers: TimerService;
	readonly logger: Logger;
	readonly slotGrants: SlotGrants;
	readonly random: () => number;
	readonly connectTimeoutMs: number;
	/** Whether a new server gets no requests before its first probe has ended, because it may already be shutting down. */
	readonly awaitProbe?: boolean;
	/** Called when a slot or a connection has become free. */
	readonly onCapacityFreed: () => void;
};

/** The backend servers of one service that this VM may use. */
export class BackendPool {
	readonly #backends = new Map<string, Backend>();
	#backendList: readonly Backend[] = [];
	#hasReceivedList = false;

	constructor(private readonly options: PoolOptions) {}

	get backends(): Iterable<Backend> {
		return this.#backends.values();
	}

	/** Replaces the list of servers by the one that the platform reports. */
	applyRecords(records: readonly BackendRecord[]): void {
		const listed = new Set(records.map(({server}) => server));
		for (const backend of this.#backends.values()) {
			if (!listed.has(backend.name)) {
				backend.connections.closeIdle();
				this.#backends.delete(backend.name);
			}
		}

		for (const record of records) {
			const existing = this.#backends.get(record.server);
			if (existing === undefined) {
				this.#backends.set(record.server, this.#create(record));
			} else if (existing.record.address !== record.address) {
				existing.connections.closeIdle();
				this.#backends.set(record.server, this.#create(record));
			} else if (existing.observeRecord(record)) {
				this.#logLeaving(existing, 'list');
			}
		}

		this.#backendList = [...this.#backends.values()];
		// Servers of the first list are assumed to be warm; servers that appear later get a slow start.
		this.#hasReceivedList ||= records.length > 0;
	}

	/** Granted slots on servers that accept new requests. */
	usableSlots(): number {
		let sum = 0;
		for (const backend of this.#backends.values()) {
			if (!backend.leaving && !backend.ejected) {
				sum += backend.usableSlots(this.options.slotGrants.slots(backend.name));
			}
		}

		return sum;
	}

	/** Mean smoothed latency of the servers that accept new requests; 0 without such servers. */
	latencyMs(): number {
		let sum = 0;
		let count = 0;
		for (const backend of this.#backends.values()) {
			if (!backend.leaving && !backend.ejected) {
				sum += backend.latencyMs;
				count++;
			}
		}

		return count === 0 ? 0 : sum / count;
	}

	/** Requests per second that the granted slots can serve; `assumedLatencyMs` is used for servers without a measured latency. */
	capacityPerS(assumedLatencyMs: number): number {
		let sum = 0;
		for (const backend of this.#backends.values()) {
			if (!backend.leaving && !backend.ejected) {
				sum += backend.usableSlots(this.options.slotGrants.slots(backend.name)) * 1000 / Math.max(minLatencyMs, backend.measuredLatencyMs ?? assumedLatencyMs);
			}
		}

		return sum;
	}

	/** Takes a slot of the better of two random available servers; undefined if none is available. */
	pick(options: PickOptions = {}): BackendLease | undefined {
		const {slotGrants, timers} = this.options;
		const [first, second] = this.#sampleTwoAvailable(options);
		if (first === undefined) {
			return undefined;
		}

		const backend = second === undefined || first.score(slotGrants.slots(first.name)) <= second.score(slotGrants.slots(second.name)) ? first : second;
		const connection = backend.connections.acquire(options.maxIdleMs);
		if (connection === undefined) {
			return undefined;
		}

		backend.inFlight++;
		return {backend, connection, takenAtMs: timers.nowMs()};
	}

	/** Releases a slot; `reusable` keeps the connection open, which requires a complete answer. */
	release({backend, connection}: BackendLease, reusable: boolean): void {
		backend.inFlight--;
		if (reusable && !backend.leaving) {
			backend.connections.release(connection);
		} else {
			backend.connections.discard(connection);
		}

		this.options.onCapacityFreed();
	}

	/**
	Closes the connection of a cancelled attempt at once and releases its slot after a delay.

	The server takes time to notice the cancellation: when slots were released at once, it shed 3 of 1,800 requests of workspaces within their rate.
	*/
	releaseAfterCancel({backend, connection}: BackendLease): void {
		backend.connections.discard(connection);
		this.options.timers.after(Math.min(maxCancelDelayMs, backend.latencyMs), () => {
			backend.inFlight--;
			this.options.onCapacityFreed();
		});
	}

	/** Releases a slot whose connection was not used. */
	releaseUnused({backend, connection}: BackendLease): void {
		backend.inFlight--;
		backend.connections.returnUnused(connection);
		this.options.onCapacityFreed();
	}

	/** Records a failed attempt; ejects the server after several consecutive failures unless half of the pool is already ejected. */
	observeFailure(backend: Backend): void {
		if (!backend.observeFailure()) {
			return;
		}

		const notLeaving = [...this.#backends.values()].filter(({leaving}) => !leaving);
		const ejected = notLeaving.filter(other => other.ejected).length;
		const {logger, service} = this.options;
		const fields = {service, server: backend.name};
		if (backend.ejected || (ejected + 1) * 2 > notLeaving.length) {
			logDecision(logger, DecisionKind.ejection, 'kept: half of the pool is ejected', fields);
			return;
		}

		logDecision(logger, DecisionKind.ejection, 'ejected after consecutive failures', {...fields, durationMs: backend.eject()});
	}

	/** Records whether an answer or a probe announced that the server is shutting down. */
	observeDraining(backend: Backend, draining: boolean): void {
		if (backend.observeDraining(draining)) {
			this.#logLeaving(backend, 'answer');
		}
	}

	/** Records whether a server accepted a probe. */
	observeProbe(backend: Backend, reachable: boolean): void {
		const isFirst = backend.awaitsProbe;
		const hasChanged = backend.observeProbe(reachable);
		if (hasChanged) {
			this.#logLeaving(backend, 'probe');
		}

		if (hasChanged || isFirst) {
			this.options.onCapacityFreed();
		}
	}

	close(): void {
		for (const backend of this.#backends.values()) {
			backend.connections.closeIdle();
		}
	}

	/** Two different random available servers, or fewer if there are fewer. */
	#sampleTwoAvailable(options: PickOptions): readonly Backend[] {
		const list = this.#backendList;
		const [first, second] = this.#sampleTwo(list);
		// While most servers are available, two random draws avoid a scan of the whole pool.
		if (first !== undefined && second !== undefined && this.#isAvailable(first, options) && this.#isAvailable(second, options)) {
			return [first, second];
		}

		return this.#sampleTwo(list.filter(backend => this.#isAvailable(backend, options)));
	}

	#sampleTwo(list: readonly Backend[]): readonly Backend[] {
		if (list.length < 2) {
			return list;
		}

		const {random} = this.options;
		const first = Math.floor(random() * list.length);
		return [list[first], list[(first + 1 + Math.floor(random() * (list.length - 1))) % list.length]];
	}

	#isAvailable(backend: Backend, {maxIdleMs, excluded}: PickOptions): boolean {
		return !backend.leaving && !backend.awaitsProbe && !backend.ejected && excluded?.has(backend) !== true
			&& backend.inFlight < backend.usableSlots(this.options.slotGrants.slots(backend.name))
			&& backend.connections.canAcquire(maxIdleMs);
	}

	#create(record: BackendRecord): Backend {
		const {timers, connectTimeoutMs, slotGrants, onCapacityFreed, awaitProbe = false} = this.options;
		return new Backend(record, timers, {
			cold: this.#hasReceivedList, connectTimeoutMs, limit: server => slotGrants.connections(server), onCapacityFreed, awaitProbe,
		});
	}

	#logLeaving(backend: Backend, signal: string): void {
		if (backend.leaving) {
			backend.connections.closeIdle();
		}

		logDecision(this.options.logger, DecisionKind.backendChoice, backend.leaving ? `server is leaving, by ${signal}` : `server is back, by ${signal}`, {
			service: this.options.service, server: backend.name,
		});
	}
}
