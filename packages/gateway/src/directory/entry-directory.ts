import {type VmRecord} from '../model/records.js';

/** A VM that callers may be sent to. */
export type ReadyVm = Pick<VmRecord, 'failureDomain' | 'region' | 'entryAddress'>;

/** Most addresses in one answer. */
const maxAddresses = 64;

/**
Names the entry VMs for a caller: those of its failure domain, else of its region, else all.

Keeping callers in their failure domain saves bytes between domains; entry VMs are far from full at the rates of the platform, so evening out their load brings nothing.
*/
export function entryAddressesFor(caller: {readonly failureDomain: string; readonly region: string}, ready: readonly ReadyVm[]): string[] {
	const inDomain = ready.filter(vm => vm.failureDomain === caller.failureDomain);
	const inRegion = ready.filter(vm => vm.region === caller.region);
	const chosen = inDomain.length > 0 ? inDomain : (inRegion.length > 0 ? inRegion : ready);
	return chosen.slice(0, maxAddresses).map(vm => vm.entryAddress);
}
