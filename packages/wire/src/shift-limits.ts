/** Fraction of a region's capacity up to which routing decisions load it. */
export const targetUtilization = 0.8;
/** Fraction by which the load must be above or below the target before shifts and grants change. */
export const hysteresis = 0.1;
/**
Fraction of a grant that requesters use; the remainder absorbs errors in the measured demand.

Since requesters use no more, a grant is at least the traffic shifted under it divided by this fraction. A grantor that has just started renews the grants of its predecessor up to that rate.
*/
export const maxGrantUtilization = 0.9;
/** Measurements older than this allow no increase of shifts and grants. */
export const maxFreshAgeMs = 5000;
/** Measurements older than this make shifts and grants decay. */
export const decayAfterMs = 30_000;
