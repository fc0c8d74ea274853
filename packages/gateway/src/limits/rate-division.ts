/** What a VM needs to know to take its part of a rate. */
export type RateDivision = {
	readonly ratePerS: number;
	/** Demand of this VM's callers, in requests per second. */
	readonly ownPerS: number;
	/** Demand at the other VMs that share the rate. */
	readonly othersPerS: number;
	/** VMs that share the rate, this one included. */
	readonly members: number;
};

/**
This VM's part of a rate that all VMs share.

Load it answers: one workspace sends several times its rate, at some VMs more than at others. While all demand fits, each VM gets its demand and an equal part of what is left; else parts are proportional to demand. Parts of VMs with the same view add up to the rate.
*/
export function divideRate({ratePerS, ownPerS, othersPerS, members}: RateDivision): number {
	const demandPerS = ownPerS + othersPerS;
	return demandPerS <= ratePerS
		? ownPerS + ((ratePerS - demandPerS) / members)
		: ratePerS * ownPerS / demandPerS;
}
