import {type Logger, type TimerService} from '@fescuewick/core';
import {type VmRecord} from '../model/records.js';
import {type Heartbeat} from './heartbeat.js';
import {isLargeRegion} from './heartbeat-recipients.js';
import {StoreAccess} from './store-readers.js';

/** A VM that was silent for longer is not named to callers, in milliseconds; two heartbeats of the slower interval and a half. */
const aliveTimeoutMs = 2500;
/** The same for VMs of a large region or heard in one, in milliseconds: two heartbeats in a row may go through VMs that have just ended. */
const relayedAliveTimeoutMs = 3500;
/**
A silent VM keeps its part of shared limits for this time, in milliseconds, because it may be cut off and still serving.
Cuts of the platform's network so far end within 10 s; the time is three times that.
*/
const shareReservationMs = 30_000;

type Peer = {
	record: VmRecord;
	heartbeat: Heartbeat | undefined;
	heardAtMs: number;
	/** When it last told that the store refuses it, or minus infinity. */
	refusedAtMs: number;
	isAlive: boolean;
};

/** The other VMs as this VM knows them. */
export class PeerTable {
	readonly #peers = new Map<string, Peer>();
	/** What `sharing` and `sharersIn` return, until a peer is learned or regained or the next `expire`; placing asks for each server and request. */
	#limitSharers: readonly VmRecord[] | undefined;
	readonly #limitSharersByRegion = new Map<string, readonly string[]>();

	constructor(private readonly options: {readonly self: VmRecord; readonly timers: TimerService; readonly logger: Logger}) {}

	get self(): VmRecord {
		return this.options.self;
	}

	/** Learns of a VM from the store or a peer's list; what its heartbeats say takes precedence. */
	addDiscovered(record: VmRecord): void {
		const known = this.#peers.get(record.vm);
		if (record.vm === this.self.vm || known?.heartbeat !== undefined) {
			return;
		}

		this.#invalidateLimitSharers();
		// Silent ones count from now, so that their part of shared limits is reserved at first.
		this.#peers.set(record.vm, {
			record, heartbeat: undefined, heardAtMs: this.options.timers.nowMs(), refusedAtMs: Number.NEGATIVE_INFINITY, isAlive: false,
		});
	}

	/** Takes in a heartbeat; returns false if it is older than one already heard. */
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
			record, heartbeat, heardAtMs: nowMs, refusedAtMs, isAlive: true,
		});
		return true;
	}

	/** Marks silent peers; to be called regularly. */
	expire(): void {
		this.#invalidateLimitSharers();
		const nowMs = this.options.timers.nowMs();
		const records = [...this.records()];
		const largeRegions = new Set([...new Set(records.map(({region}) => region))].filter(region => isLargeRegion(region, records)));
		for (const [vm, peer] of this.#peers) {
			const limitMs = largeRegions.has(this.self.region) || largeRegions.has(peer.record.region) ? relayedAliveTimeoutMs : aliveTimeoutMs;
			if (peer.isAlive && nowMs - peer.heardAtMs > limitMs) {
				peer.isAlive = false;
				this.options.logger.warn({event: 'peer-lost', vm, silentMs: Math.round(nowMs - peer.heardAtMs)}, 'peer is silent');
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

	/** Whether most of the live peers that call the store were refused in the last `windowMs`, so that its entries may have expired; a store that turns some VMs away serves the others. */
	isMostlyRefused(windowMs: number): boolean {
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

	/** VMs that hold a part of shared limits: this one, live peers, and peers that may be cut off and still serving. */
	limitSharers(): readonly VmRecord[] {
		this.#limitSharers ??= [...this.#findLimitSharers()];
		return this.#limitSharers;
	}

	/** Names of the VMs of a region that hold a part of shared limits. */
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
		// Without any live peer, this VM itself is likely to be the one that is cut off.
		const isCutOff = [...this.alive()].length === 0;
		for (const {record, heardAtMs} of this.#peers.values()) {
			if (isCutOff || nowMs - heardAtMs <= shareReservationMs) {
				yield record;
			}
		}
	}

	#invalidateLimitSharers(): void {
		this.#limitSharers = undefined;
		this.#limitSharersByRegion.clear();
	}
}
