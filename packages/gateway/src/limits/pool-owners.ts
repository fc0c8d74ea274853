import {rendezvousOrder} from '@fescuewick/core';
import {propagationMs} from './shared-token-bucket.js';

/** Live VMs of the own failure domain, this VM included. */
export type PoolMembers = {
	readonly alive: readonly string[];
	/** Those that may own pools. */
	readonly ready: readonly string[];
	/** Those of each other failure domain that may own pools. */
	readonly readyElsewhere: ReadonlyArray<readonly string[]>;
};

/** Members of a VM without a pool. */
export const noPoolMembers: PoolMembers = {alive: [], ready: [], readyElsewhere: []};

/** Which VM of the failure domain owns the pool of each workspace. */
export class PoolOwners {
	#members: PoolMembers = noPoolMembers;
	#others: readonly string[] = [];
	#key = '';
	/** Owner of each workspace's pool, and since when it is the owner in this VM's view. */
	readonly #owners = new Map<string, {readonly vm: string | undefined; readonly sinceMs: number}>();
	/** Owners of the pools of other failure domains by workspace, computed when they are needed. */
	readonly #ownersElsewhere = new Map<string, readonly string[]>();
	/** Until when owners that did not reply are not asked. */
	readonly #suspended = new Map<string, number>();

	constructor(private readonly vm: string) {}

	/** Other VMs whose shares are pooled with this VM's. */
	get others(): readonly string[] {
		return this.#others;
	}

	/** Applies the present members; owners are recomputed only after a change. */
	update(members: PoolMembers, workspaces: Iterable<string>, nowMs: number): void {
		const key = [members.alive, members.ready, ...members.readyElsewhere].map(vms => vms.join(' ')).join(',');
		const isChanged = key !== this.#key;
		if (isChanged) {
			this.#key = key;
			this.#members = members;
			this.#ownersElsewhere.clear();
			this.#others = members.alive.filter(vm => vm !== this.vm);
		}

		for (const workspace of workspaces) {
			const known = this.#owners.get(workspace);
			if (isChanged || known === undefined) {
				const [owner] = rendezvousOrder(workspace, this.#members.ready);
				if (known?.vm !== owner || known === undefined) {
					this.#owners.set(workspace, {vm: owner, sinceMs: nowMs});
				}
			}
		}
	}

	/** The VM that owns the pool of a workspace; undefined if no VM of the failure domain is ready. */
	ownerOf(workspace: string): string | undefined {
		return this.#owners.get(workspace)?.vm;
	}

	/** The VMs that own the pools of a workspace in the other failure domains. */
	ownersElsewhere(workspace: string): readonly string[] {
		let owners = this.#ownersElsewhere.get(workspace);
		if (owners === undefined) {
			owners = this.#members.readyElsewhere.filter(vms => vms.length > 0).map(vms => rendezvousOrder(workspace, vms)[0]);
			this.#ownersElsewhere.set(workspace, owners);
		}

		return owners;
	}

	/** Whether this VM grants tokens of a workspace's pool. */
	mayGrant(workspace: string, nowMs: number): boolean {
		return this.ownerOf(workspace) === this.vm && this.#isSettled(workspace, nowMs);
	}

	/** Sends an owner no requests until `untilMs`. */
	suspend(owner: string, untilMs: number): void {
		this.#suspended.set(owner, untilMs);
	}

	/** Whether the pool of a workspace has an owner that grants tokens and is not suspended; without one, VMs use their whole shares. */
	isUsable(workspace: string, nowMs: number): boolean {
		const owner = this.ownerOf(workspace);
		return owner !== undefined && this.#isSettled(workspace, nowMs) && nowMs >= (this.#suspended.get(owner) ?? Number.NEGATIVE_INFINITY);
	}

	/** A new owner grants nothing until the longest propagation time has passed, because it does not know the last grants of the former owner. */
	#isSettled(workspace: string, nowMs: number): boolean {
		return nowMs - this.#owners.get(workspace)!.sinceMs >= propagationMs;
	}
}
