/** Number of requests of each VM's share that is pooled; smaller shares are pooled whole. With 2, random demand of 0.9 of the rate lost more than 1 % at 11 VMs. */
const pooledCount = 4;
/** Shares of this many requests or more are not pooled: random demand below the rate seldom uses them up. */
const minUnpooledCount = 32;

/** Fraction of each VM's share that is pooled among the VMs of its failure domain; `shareCount` is the number of requests in an equal share of a full bucket. It depends only on the limits and the number of VMs, so that all VMs agree on it. */
export function pooledFraction(shareCount: number): number {
	return shareCount >= minUnpooledCount ? 0 : Math.min(1, pooledCount / shareCount);
}
