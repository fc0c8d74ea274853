import {hashFraction} from '@fescuewick/core';
import {groupBy} from 'es-toolkit';
import {type VmRecord} from '../model/records.js';

/** A VM's access to the store. */
export enum StoreAccess {
	/** It takes changes from its peers and does not call the store. */
	idle = 0,
	/** It watches the store. */
	reading = 1,
	/** Its calls to the store fail. */
	refused = 2,
}

/** Number of VMs of a region that watch the store. If two fail or are refused before their peers notice, one is left. */
export const readersPerRegion = 3;

/** A VM that may read the store for its region. */
export type ReaderCandidate = {readonly record: VmRecord; readonly isReady: boolean; readonly access: StoreAccess};

/** Whether `vm` is one of the VMs that watch the store for their region; the other VMs of the region take the changes from these. */
export function isStoreReader(vm: string, candidates: readonly ReaderCandidate[]): boolean {
	return readerRank(vm, candidates) < readersPerRegion;
}

/**
Position of `vm` in the order in which the VMs of its region watch the store; infinite if there are others and it is not usable.

All VMs compute the same ranking from heartbeats, without coordination. VMs that are not ready or that the store refuses are left out while there are others. Therefore the number of store calls grows with the regions and not with the VMs.
*/
export function readerRank(vm: string, candidates: readonly ReaderCandidate[]): number {
	const ready = candidates.filter(({isReady}) => isReady);
	const served = ready.filter(({access}) => access !== StoreAccess.refused);
	const usable = [served, ready, candidates].find(({length}) => length > 0) ?? [];
	const rank = interleaveFailureDomains(usable.map(({record}) => record)).findIndex(record => record.vm === vm);
	return rank === -1 ? Number.POSITIVE_INFINITY : rank;
}

/** Orders VMs round-robin over the failure domains, so that readers are left if one domain is lost. */
function interleaveFailureDomains(records: readonly VmRecord[]): VmRecord[] {
	const domains = groupBy(records.toSorted((one, other) => hashRank(one.vm) - hashRank(other.vm)), ({failureDomain}) => failureDomain);
	const ranked = Object.values(domains).flatMap(members => members.map((record, rank) => ({record, rank})));
	return ranked.toSorted((one, other) => (one.rank - other.rank) || (hashRank(one.record.failureDomain) - hashRank(other.record.failureDomain))).map(({record}) => record);
}

function hashRank(name: string): number {
	return hashFraction(`store-reader/${name}`);
}
