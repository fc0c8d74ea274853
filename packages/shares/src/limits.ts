/** Lifetime of a grant, counted by the holder from the time it sent its request. */
export const grantLifetimeMs = 4000;
/** Time beyond `grantLifetimeMs` after which the allocator treats a grant as expired; covers clock drift and rounding. */
export const grantMarginMs = 500;
/** Time after which every grant of an earlier allocator has expired. */
export const takeoverWaitMs = grantLifetimeMs + grantMarginMs;
/** Lifetime of a loan between failure domains, counted by the borrower from the time it sent its request. */
export const loanLifetimeMs = 4000;
/** Time after its answer for which a lender debits a loan: the lifetime of the loan, then that of the grants made from it, which no successor of the borrower extends. The margins cover clock drift in both steps. */
export const loanDebitMs = loanLifetimeMs + grantLifetimeMs + (2 * grantMarginMs);
/** Interval at which holders renew their shares. */
export const renewIntervalMs = 1000;
/** Number of buckets that workspaces and servers are hashed into. */
export const bucketCount = 16;
