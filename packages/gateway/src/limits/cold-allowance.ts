import {rendezvousOrder} from '@fescuewick/core';

/** Fraction of a cold server's request limit that is allocated; requests sent within one second may arrive in less than a second. */
const allocatedFraction = 0.75;

/**
Requests per second that a VM may send to a cold backend server, so that all VMs together stay within its limit.

The remainder of an even division goes to some VMs, chosen differently for each server: without it, a limit of 12 requests among 20 VMs would leave a cold server without any.
*/
export function coldAllowancePerS({coldRatePerS, overshoot, slack, server, vm, limitSharers}: {
	/** Rate that a cold server of the service tolerates. */
	readonly coldRatePerS: number;
	/** Factor that the platform allows on `coldRatePerS`, and the count of requests allowed on top. */
	readonly overshoot: number;
	readonly slack: number;
	readonly server: string;
	readonly vm: string;
	/** VMs that hold a share of the limit, because they may send to the server; `vm` included. */
	readonly limitSharers: readonly string[];
}): number {
	const total = Math.floor(((coldRatePerS * overshoot) + slack) * allocatedFraction);
	const evenShare = Math.floor(total / limitSharers.length);
	const hasRemainder = rendezvousOrder(server, limitSharers).indexOf(vm) < total - (evenShare * limitSharers.length);
	return evenShare + (hasRemainder ? 1 : 0);
}

/** Sliding-window counter of the events in the last second. */
export class OneSecondCounter {
	#atMs: number[] = [];

	count(nowMs: number): number {
		this.#atMs = this.#atMs.filter(atMs => atMs > nowMs - 1000);
		return this.#atMs.length;
	}

	add(nowMs: number): void {
		this.#atMs.push(nowMs);
	}
}
