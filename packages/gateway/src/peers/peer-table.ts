import {type Logger, type TimerService} from '@fescuewick/core';
import {isVmRecord, type VmRecord} from '../model/records.js';
import {type Heartbeat} from './heartbeat.js';
import {isLargeRegion} from './heartbeat-recipients.js';
import {StoreAccess} from './store-readers.js';

/** A VM without a heartbeat for longer than this is not named to callers, in milliseconds; two and a half intervals of the slower heartbeats. */
const aliveTimeoutMs = 2500;
/** The same timeout where this VM or the peer is in a large region, in milliseconds; two heartbeats in a row may be lost with relays that have just stopped. */
const relayedAliveTimeoutMs = 3500;
/**
A silent VM keeps its share of rate and cold limits for this time, in milliseconds, because it may be partitioned and still serving.
Partitions of the platform's network have ended within 10 s so far; the time is three times that.
*/
const shareReservationMs = 30_000;

/** Length to which a malformed record is shown. */
const maxShownCharacters = 200;

type Peer = {
	record: VmRecord;
	heartbeat: Heartbeat | undefined;
	/** Time of its last heartbeat; before the first, the time of its discovery. */
	lastHeartbeatAtMs: number;
	/** Time of its last heartbeat with `StoreAccess.refused`; minus infinity if there was none. */
	refusedAtMs: number;
	isAlive: boolean;
};

/** Other VMs that this VM knows, with their last heartbeats and liveness. */
export class PeerTable {
	readonly #peers = new Map<string, Peer>();
	/** Cached results of `limitSharers` and `limitSharersIn`, because placement calls them for each server and request; valid until a peer is added or returns, or until the next `expire`. */
	#limitSharers: readonly VmRecord[] | undefined;
	readonly #limitSharersByRegion = new Map<string, readonly string[]>();

	constructor(private readonly options: {readonly self: VmRecord; readonly timers: TimerService; readonly logger: Logger}) {}

	get self(): VmRecord {
		return this.options.self;
	}

	/** Adds a VM named by the store or by a peer's list; a record from its own heartbeats takes precedence. */
	addDiscovered(record: unknown): void {
		if (!isVmRecord(record)) {
			this.options.logger.warn({event: 'peer-ignored', record: String(JSON.stringify(record)).slice(0, maxShownCharacters)}, 'a record of a VM is not complete and is ignored');
			return;
		}

		const known = this.#peers.get(record.vm);
		if (record.vm === this.self.vm || known?.heartbeat !== undefined) {
			return;
		}

		this.#invalidateLimitSharers();
		// The silence of the VM counts from now, so that its share of limits is reserved at first.
		this.#peers.set(record.vm, {
			record, heartbeat: undefined, lastHeartbeatAtMs: this.options.timers.nowMs(), refusedAtMs: Number.NEGATIVE_INFINITY, isAlive: false,
		});
	}

	/** Records a heartbeat; returns false if it is not newer than the last one of its VM or comes from this VM. */
	recordHeartbeat(heartbeat: Heartbeat): boolean {
		const {record} = heartbeat;
		if (record.vm === this.self.vm) {
			return false;
		}

		const known = this.#peers.get(record.vm);
		const last = known?.heartbeat;
		if (last?.incarnation === heartbeat.incarnation && heartbeat.sequence <= last.sequence) {
			return false;
		}

		if (known?.isAlive !== true) {
			this.#invalidateLimitSharers();
			this.options.logger.info({event: 'peer-regained', vm: record.vm, incarnation: heartbeat.incarnation}, 'peer is alive');
		}

		const nowMs = this.options.timers.nowMs();
		const refusedAtMs = heartbeat.storeAccess === StoreAccess.refused ? nowMs : (known?.refusedAtMs ?? Number.NEGATIVE_INFINITY);
		this.#peers.set(record.vm, {
			record, heartbeat, lastHeartbeatAtMs: nowMs, refusedAtMs, isAlive: true,
		});
		return true;
	}

	/** Marks peers as lost that were silent for too long; to be called regularly. */
	expire(): void {
		this.#invalidateLimitSharers();
		const nowMs = this.options.timers.nowMs();
		const records = [...this.records()];
		const largeRegions = new Set([...new Set(records.map(({region}) => region))].filter(region => isLargeRegion(region, records)));
		for (const [vm, peer] of this.#peers) {
			const limitMs = largeRegions.has(this.self.region) || largeRegions.has(peer.record.region) ? relayedAliveTimeoutMs : aliveTimeoutMs;
			if (peer.isAlive && nowMs - peer.lastHeartbeatAtMs > limitMs) {
				peer.isAlive = false;
				this.options.logger.warn({event: 'peer-lost', vm, silentMs: Math.round(nowMs - peer.lastHeartbeatAtMs)}, 'no heartbeat from peer');
			}
		}
	}

	/** Number of known VMs except this one. */
	get size(): number {
		return this.#peers.size;
	}

	/** All known VMs except this one. */
	* records(): Generator<VmRecord> {
		for (const {record} of this.#peers.values()) {
			yield record;
		}
	}

	/** Whether the store refused most of the live peers that call it in the last `windowMs`, so that entries may have expired. If it refuses only a few VMs, it still serves the others. */
	areMostReadersRefused(windowMs: number): boolean {
		const sinceMs = this.options.timers.nowMs() - windowMs;
		let refused = 0;
		let served = 0;
		for (const {isAlive, heartbeat, refusedAtMs} of this.#peers.values()) {
			if (isAlive && refusedAtMs > sinceMs) {
				refused++;
			} else if (isAlive && heartbeat?.storeAccess === StoreAccess.reading) {
				served++;
			}
		}

		return refused > served;
	}

	/** The last heartbeats of live peers. */
	* alive(): Generator<Heartbeat> {
		for (const {isAlive, heartbeat} of this.#peers.values()) {
			if (isAlive && heartbeat !== undefined) {
				yield heartbeat;
			}
		}
	}

	/** VMs that hold a share of the limits: this one, live peers, and silent peers that may be partitioned and still serving. */
	limitSharers(): readonly VmRecord[] {
		this.#limitSharers ??= [...this.#findLimitSharers()];
		return this.#limitSharers;
	}

	/** Names of the VMs of a region that hold a share of the limits. */
	limitSharersIn(region: string): readonly string[] {
		let names = this.#limitSharersByRegion.get(region);
		if (names === undefined) {
			names = this.limitSharers().filter(record => record.region === region).map(({vm}) => vm);
			this.#limitSharersByRegion.set(region, names);
		}

		return names;
	}

	* #findLimitSharers(): Generator<VmRecord> {
		yield this.self;
		const nowMs = this.options.timers.nowMs();
		// Without any live peer, this VM itself is probably partitioned, so the shares of all others stay reserved.
		const isPartitioned = [...this.alive()].length === 0;
		for (const {record, lastHeartbeatAtMs} of this.#peers.values()) {
			if (isPartitioned || nowMs - lastHeartbeatAtMs <= shareReservationMs) {
				yield record;
			}
		}
	}

	#invalidateLimitSharers(): void {
		this.#limitSharers = undefined;
		this.#limitSharersByRegion.clear();
	}
}
