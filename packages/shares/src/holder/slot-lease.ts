import {ShareKind, type ShareDemand, type ShareGrant} from '@fescuewick/wire';
import {HeldGrant, type GrantId} from './held-grant.js';

/** Smoothing weight of an interval with less demand; a server's share follows falling demand within a few seconds. */
const fallWeight = 0.3;

/** Slots and connections of one backend server; all of them come from grants. */
export class SlotLease {
	readonly grant = new HeldGrant();
	#slots = 0;
	#connections = 0;
	#slotsInUse = 0;
	#connectionsOpen = 0;
	#peak = 0;
	#refused = 0;
	#queued = 0;
	#wanted = 0;

	constructor(readonly server: string) {}

	get slotsInUse(): number {
		return this.#slotsInUse;
	}

	get isInUse(): boolean {
		return this.#slotsInUse > 0 || this.#connectionsOpen > 0;
	}

	/** Granted slots; 0 after expiry. */
	slots(nowMs: number): number {
		return nowMs < this.grant.expiresAtMs ? this.#slots : 0;
	}

	/** Granted connections; 0 after expiry. */
	connections(nowMs: number): number {
		return nowMs < this.grant.expiresAtMs ? this.#connections : 0;
	}

	/** Takes a slot for one request; false if none is free. */
	acquire(nowMs: number): boolean {
		if (this.#slotsInUse >= this.slots(nowMs)) {
			this.#refused++;
			return false;
		}

		this.#slotsInUse++;
		this.#peak = Math.max(this.#peak, this.#slotsInUse);
		return true;
	}

	release(): void {
		this.#slotsInUse = Math.max(0, this.#slotsInUse - 1);
	}

	/** Takes a connection; false if none is free. */
	openConnection(nowMs: number): boolean {
		if (this.#connectionsOpen >= this.connections(nowMs)) {
			return false;
		}

		this.#connectionsOpen++;
		return true;
	}

	closeConnection(): void {
		this.#connectionsOpen = Math.max(0, this.#connectionsOpen - 1);
	}

	/** Sets the use of the server as counted by the caller. */
	setUse(slotsInUse: number, connectionsOpen: number, queued: number): void {
		this.#slotsInUse = slotsInUse;
		this.#connectionsOpen = connectionsOpen;
		this.#peak = Math.max(this.#peak, slotsInUse);
		this.#queued = queued;
	}

	/** Sets the number of requests queued for this server. */
	setQueued(count: number): void {
		this.#queued = Math.max(0, count);
	}

	/** Ends a measurement interval. */
	sample(): void {
		const measured = this.#peak + Math.max(this.#queued, Math.min(this.#refused, this.#peak + 1));
		this.#wanted = measured > this.#wanted ? measured : this.#wanted + ((measured - this.#wanted) * fallWeight);
		this.#peak = this.#slotsInUse;
		this.#refused = 0;
	}

	apply(grant: ShareGrant, expiresAtMs: number, nowMs: number, reported: GrantId | undefined): boolean {
		if (nowMs >= this.grant.expiresAtMs) {
			this.expire();
		}

		if (!this.grant.adopt(grant, expiresAtMs, nowMs, reported)) {
			return false;
		}

		this.#slots = Math.max(0, Math.floor(grant.slots));
		this.#connections = Math.max(0, Math.floor(grant.connections));
		return true;
	}

	/** Ends the share; in-flight requests are counted until they are released. */
	expire(): void {
		this.grant.expire();
		this.#slots = 0;
		this.#connections = 0;
	}

	/** Entry of a share request for this server. */
	report(nowMs: number): ShareDemand {
		if (nowMs >= this.grant.expiresAtMs) {
			this.expire();
		}

		const id = this.grant.id ?? {epoch: 0, sequence: 0};
		const slots = Math.max(this.#slots, this.#slotsInUse);
		const connections = Math.max(this.#connections, this.#connectionsOpen);
		return {
			kind: ShareKind.slots,
			resource: this.server,
			wanted: Math.round(this.#wanted * 10) / 10,
			tokens: 0,
			seenEpoch: this.grant.seenEpoch,
			...(slots === 0 && connections === 0 && !this.grant.valid
				? {}
				: {
					held: {
						...id, ratePerS: 0, burst: 0, slots, connections, surrenderedTokens: 0,
					},
				}),
		};
	}
}
