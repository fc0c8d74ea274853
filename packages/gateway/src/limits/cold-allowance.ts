import {rendezvousOrder} from '@fescuewick/core';

/** Part of a cold server's tolerance that is handed out; requests that were sent in one second may arrive closer together. */
const usedPart = 0.75;

/**
Requests per second that a VM may send to a cold backend server, so that all VMs together stay within what it tolerates.

What does not divide evenly goes to some VMs, others for each server: among 20 VMs, a tolerance of 12 requests would otherwise leave a cold server without any.
*/
export function coldAllowancePerS({coldRatePerS, overshoot, slack, server, vm, sharers}: {
	/** Tolerance that the service states. */
	readonly coldRatePerS: number;
	/** Factor and count by which the platform lets the stated tolerance be exceeded. */
	readonly overshoot: number;
	readonly slack: number;
	readonly server: string;
	readonly vm: string;
	/** VMs that may send to the server, `vm` included. */
	readonly sharers: readonly string[];
}): number {
	const total = Math.floor(((coldRatePerS * overshoot) + slack) * usedPart);
	const evenPart = Math.floor(total / sharers.length);
	const hasMore = rendezvousOrder(server, sharers).indexOf(vm) < total - (evenPart * sharers.length);
	return evenPart + (hasMore ? 1 : 0);
}

/** Counts events of the last second. */
export class SecondWindow {
	#atMs: number[] = [];

	count(nowMs: number): number {
		this.#atMs = this.#atMs.filter(atMs => atMs > nowMs - 1000);
		return this.#atMs.length;
	}

	add(nowMs: number): void {
		this.#atMs.push(nowMs);
	}
}
