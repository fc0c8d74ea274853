/** Demand of a failure domain, sent between the allocators of a bucket before it is published in the store. */
export type SliceDemandBody = {
	readonly bucket: number;
	readonly domain: string;
	/** Version of the bucket's object in the store that the sender knows; a receiver that knows a lower version reads the object. */
	readonly version: number;
	/** Requests per second wanted in the domain, for workspaces whose published demand is outdated. */
	readonly wanted: ReadonlyArray<{readonly workspace: string; readonly wantedPerS: number; readonly publishedPerS: number}>;
};

/** Bound of grants that are made from loans; no allocator may extend them beyond it. */
export type LoanBound = {
	/** Rate and burst that the failure domain owns itself, without loans. */
	readonly ratePerS: number;
	readonly burst: number;
	/** Time from the grant, or from the report, until every grant made from the loans must have ended. */
	readonly endsInMs: number;
};

/** Loan that a borrower wants for one workspace, and the one it has. */
export type LoanRequest = {
	readonly workspace: string;
	readonly ratePerS: number;
	readonly burst: number;
	/** The loan in force, or more while holders still have grants from a larger one. */
	readonly held?: {readonly sequence: number; readonly ratePerS: number; readonly burst: number};
};

/** Requests loans from the allocator of another failure domain, renews them and confirms reductions. */
export type SliceLoanBody = {
	readonly bucket: number;
	/** Identifies one term of the borrowing allocator. */
	readonly borrower: string;
	readonly loans: readonly LoanRequest[];
};

/** Part of a failure domain's slice that another may use until the loan expires; it transfers no tokens. */
export type SliceLoan = {
	readonly workspace: string;
	readonly ratePerS: number;
	readonly burst: number;
	/** Increases with each loan of a lender. */
	readonly sequence: number;
	/** Time to expiry, counted by the borrower from the sending of its request. */
	readonly expiresInMs: number;
};

/** Answer to a request for loans; `lender` identifies one term of the lending allocator. */
export type SliceLoansBody = {readonly lender: string; readonly loans: readonly SliceLoan[]};
