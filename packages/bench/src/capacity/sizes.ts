/** Design size, and the budgets for the control work of a node and for the store (design page, section 1.6). */
export const designSize = {
	nodes: 7600,
	regions: 12,
	domains: 26,
	nodesPerDomain: 292,
	blocks: 770_000,
	sites: 1900,
	lookupsPerS: 3_400_000,
	changesPerDay: 28_000,
	/** Includes VMs that fail and VMs that are restarted or replaced. */
	memberChangesPerDay: 731,
	coreFraction: 0.021,
	memoryBytes: 32e6,
	networkBytesPerS: 2000,
	storeReadsPerS: 2000,
	storeWritesPerS: 300,
} as const;

export const secondsPerDay = 86_400;
