/** Fraction of a region's capacity up to which routing decisions load it. */
export const targetUtilization = 0.8;
/** Fraction by which the load must be above or below the target before shifts and grants change. */
export const hysteresis = 0.1;
/** Fraction of a grant that requesters use; the rest absorbs errors in the measured demand, and shows that a larger grant was given. */
export const maxGrantUtilization = 0.9;
/** Measurements older than this allow no increase of shifts and grants. */
export const maxFreshAgeMs = 5000;
/** Measurements older than this make shifts and grants decay. */
export const decayAfterMs = 30_000;
