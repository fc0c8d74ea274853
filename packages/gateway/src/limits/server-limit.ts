import {rendezvousOrder} from '@fescuewick/core';

/** A VM's part of the limit that a server named. */
export type LimitShare = {
	readonly ratePerS: number;
	/** Requests that may be sent at once after a time without any. */
	readonly burst: number;
};

/** VMs that divide a limit, for each request a second that it allows, and besides. The platform counts one and a half times the limit and five requests in 4 s as its bound: bursts of this many VMs and 4 s of the limit stay below it. */
const sharersPerRequestPerS = 1.5;
const minSharers = 3;

const noShare: LimitShare = {ratePerS: 0, burst: 0};

/**
This VM's part of the requests a second that a backend server takes from all VMs together.

Load it answers: a server in need, whose region has many VMs. The limit is divided evenly among a number of VMs that grows with it, others for each server; the rest of the VMs send to other servers. Each of them may send a request at once after a time without any, so with all VMs, bursts would be many times the limit. With too few, they would not have enough requests for the server's objects, and the limit would go unused.
*/
export function serverLimitShare({limitPerS, rank, sharers}: {
	readonly limitPerS: number;
	/** Place of this VM among those that may send to the server; undefined if it is none of them. */
	readonly rank: number | undefined;
	/** Number of VMs that may send to the server. */
	readonly sharers: number;
}): LimitShare {
	const count = Math.min(sharers, Math.floor((limitPerS * sharersPerRequestPerS) + minSharers));
	const hasShare = limitPerS > 0 && rank !== undefined && rank < count;
	return hasShare ? {ratePerS: limitPerS / count, burst: Math.max(1, limitPerS / count)} : noShare;
}

/** Places of a VM among the VMs that may send to each server, other ones for each server. */
export class SharerRanks {
	readonly #ranks = new Map<string, {readonly sharers: readonly string[]; readonly rank: number | undefined}>();

	constructor(private readonly vm: string) {}

	/** Place of the VM for a server; undefined if it is none of the sharers. Computed again only if the sharers changed, since a placement may ask for each of hundreds of servers. */
	rankOf(server: string, sharers: readonly string[]): number | undefined {
		const known = this.#ranks.get(server);
		if (known !== undefined && isShallowEqual(known.sharers, sharers)) {
			return known.rank;
		}

		const index = rendezvousOrder(server, sharers).indexOf(this.vm);
		const rank = index === -1 ? undefined : index;
		this.#ranks.set(server, {sharers, rank});
		return rank;
	}

	/** Forgets a server. */
	delete(server: string): void {
		this.#ranks.delete(server);
	}
}

function isShallowEqual(a: readonly string[], b: readonly string[]): boolean {
	return a === b || (a.length === b.length && a.every((value, index) => value === b[index]));
}

/** Requests that a VM may send now to a server that named a limit; empty when the VM learns of the limit. */
export class LimitAllowance {
	#tokens = 0;

	constructor(private updatedAtMs: number) {}

	/** Time until a request may be sent, in milliseconds; 0 if it may be now, infinite without a share. */
	waitMs(nowMs: number, {ratePerS, burst}: LimitShare): number {
		this.#tokens = Math.min(burst, this.#tokens + ((nowMs - this.updatedAtMs) * ratePerS / 1000));
		this.updatedAtMs = nowMs;
		return this.#tokens >= 1 ? 0 : (1 - this.#tokens) * 1000 / ratePerS;
	}

	/** Counts a sent request. */
	take(): void {
		this.#tokens--;
	}
}
