import {type VmRecord} from '../model/records.js';

/** A VM that the directory may name to callers. */
export type ReadyVm = Pick<VmRecord, 'failureDomain' | 'region' | 'entryAddress'>;

/** Maximum number of addresses in one answer. */
const maxAddresses = 64;

/**
Returns the entry addresses for a caller: those in its failure domain, or else in its region, or else all.

Callers stay in their failure domain to save traffic between domains. Entry VMs are far from saturated at the request rates of the platform, so balancing load between domains would gain nothing.
*/
export function entryAddressesFor(caller: {readonly failureDomain: string; readonly region: string}, ready: readonly ReadyVm[]): string[] {
	const inDomain = ready.filter(vm => vm.failureDomain === caller.failureDomain);
	const inRegion = ready.filter(vm => vm.region === caller.region);
	const chosen = inDomain.length > 0 ? inDomain : (inRegion.length > 0 ? inRegion : ready);
	return chosen.slice(0, maxAddresses).map(vm => vm.entryAddress);
}
