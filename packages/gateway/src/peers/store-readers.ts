import {hashFraction} from '@fescuewick/core';
import {groupBy} from 'es-toolkit';
import {type VmRecord} from '../model/records.js';

/** What a VM has to do with the store. */
export enum StoreAccess {
	/** It follows its peers and does not call the store. */
	idle = 0,
	/** It watches the store. */
	reading = 1,
	/** Its calls fail. */
	refused = 2,
}

/** VMs of a region that watch the store. Two may fail or be refused within the time in which peers notice, and one is left. */
export const readersPerRegion = 3;

/** A VM that may read the store for its region. */
export type ReaderCandidate = {readonly record: VmRecord; readonly isReady: boolean; readonly access: StoreAccess};

/**
Whether `vm` is one of the VMs that watch the store for their region; the others take its changes from these.

All VMs compute the same order from what heartbeats say, without asking each other. VMs that are not ready or that the store refuses are left out while there are others. Calls to the store grow with the regions and not with the VMs.
*/
export function isStoreReader(vm: string, candidates: readonly ReaderCandidate[]): boolean {
	const ready = candidates.filter(({isReady}) => isReady);
	const served = ready.filter(({access}) => access !== StoreAccess.refused);
	const usable = [served, ready, candidates].find(({length}) => length > 0) ?? [];
	return interleaveFailureDomains(usable.map(({record}) => record)).slice(0, readersPerRegion).some(record => record.vm === vm);
}

/** The first VM of each failure domain, then the second of each, and so on, so that the loss of a domain leaves readers. */
function interleaveFailureDomains(records: readonly VmRecord[]): VmRecord[] {
	const domains = groupBy(records.toSorted((one, other) => hashRank(one.vm) - hashRank(other.vm)), ({failureDomain}) => failureDomain);
	const ranked = Object.values(domains).flatMap(members => members.map((record, rank) => ({record, rank})));
	return ranked.toSorted((one, other) => (one.rank - other.rank) || (hashRank(one.record.failureDomain) - hashRank(other.record.failureDomain))).map(({record}) => record);
}

function hashRank(name: string): number {
	return hashFraction(`store-reader/${name}`);
}
