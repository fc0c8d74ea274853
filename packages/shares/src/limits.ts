/** Lifetime of a grant, measured by the holder from the moment it sent its request. */
export const grantMs = 4000;
/** Time after `grantMs` at which the allocator counts a grant as expired; covers clock drift and rounding. */
export const grantMarginMs = 500;
/** Time after which every grant of an earlier allocator has expired. */
export const takeoverWaitMs = grantMs + grantMarginMs;
/** Lifetime of a loan between failure domains, measured by the borrower from the moment it sent its request. */
export const loanMs = 4000;
/** Time after its answer for which a lender counts a loan: its lifetime, then that of the grants made from it, which no successor of the borrower prolongs; the margins cover clock drift of both steps. */
export const loanDebitMs = loanMs + grantMs + (2 * grantMarginMs);
/** Interval at which holders renew their shares. */
export const renewIntervalMs = 1000;
/** Number of buckets that workspaces and servers are hashed into. */
export const bucketCount = 16;
