import {rendezvousOrder} from '@fescuewick/core';
import {MemberState, type PeerNetwork} from '@fescuewick/membership';

/** Live nodes ranked as owners of a partition by rendezvous hashing; nodes in the store's region come first, because each claim waits for a store write. Nodes may have differing membership views; the cost is write conflicts, never a second grant. */
export function ownerCandidates(peers: PeerNetwork, partition: number, storeRegion: string | undefined): string[] {
	const records = peers.members()
		.filter(({state, record}) => state === MemberState.alive && (!record.leaving || record.vm === peers.self.vm))
		.map(({record}) => record);
	const rankedVms = (isInStoreRegion: boolean) => rendezvousOrder(
		`orders/${partition}`,
		records.filter(({region}) => (region === storeRegion) === isInStoreRegion).map(({vm}) => vm),
	);
	const inStoreRegion = rankedVms(true);
	// Hashing the other regions, most of a large fleet, is needed only when fewer than two nodes in the store's region are left.
	return inStoreRegion.length >= 2 ? inStoreRegion : [...inStoreRegion, ...rankedVms(false)];
}

/** The first owner candidate and a second one, preferably in another failure domain, for when the first does not answer. */
export function preferredOwners(peers: PeerNetwork, partition: number, storeRegion: string | undefined): string[] {
	const [first, ...others] = ownerCandidates(peers, partition, storeRegion);
	if (first === undefined) {
		return [];
	}

	const domains = new Map(peers.members().map(({record}) => [record.vm, record.failureDomain]));
	const second = others.find(vm => domains.get(vm) !== domains.get(first)) ?? others[0];
	return second === undefined ? [first] : [first, second];
}

/** Caches the owners of each partition until the member list changes; with 7,600 nodes the hashing takes milliseconds. */
export class PartitionOwners {
	readonly #peers: PeerNetwork;
	readonly #storeRegion: string | undefined;
	readonly #owners = new Map<number, string[]>();

	constructor(peers: PeerNetwork, storeRegion: string | undefined) {
		this.#peers = peers;
		this.#storeRegion = storeRegion;
	}

	/** Must be called after each change of the member list. */
	clear(): void {
		this.#owners.clear();
	}

	/** Returns the cached result of the function `preferredOwners`. */
	preferredOwners(partition: number): string[] {
		let owners = this.#owners.get(partition);
		if (owners === undefined) {
			owners = preferredOwners(this.#peers, partition, this.#storeRegion);
			this.#owners.set(partition, owners);
		}

		return owners;
	}
}
