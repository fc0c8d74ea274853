/** Asks a failure domain to admit traffic moved out of its home region. */
export type ShiftRequestBody = {
	readonly service: string;
	/** Failure domain of the requester; it may ask for traffic of another region that failed. */
	readonly fromDomain: string;
	/** Home region of the traffic to be moved. */
	readonly fromRegion: string;
	/** Failure domain that would receive the traffic; the control daemon forwards the request there. */
	readonly toDomain: string;
	readonly wantedPerS: number;
	/** Additional rate for clients that fail over when their home region fails; granted from the capacity that is left. */
	readonly reservePerS: number;
	/** Rate that is certain to arrive already under the current grant. */
	readonly movedPerS: number;
	/** Fraction of the home region's client blocks that the requester sends to the failure domain. */
	readonly movedFraction: number;
	/** The requester's estimate of the home region's demand. */
	readonly demandPerS: number;
};
/** Admitted moved traffic, in requests per second. */
export type ShiftGrantBody = {
	readonly service: string;
	readonly grantedPerS: number;
	readonly expiresInMs: number;
	/** Largest fraction that another requester already sends; a requester that has just started continues from it. */
	readonly movedFraction: number;
	/** Largest demand estimated by another requester. */
	readonly demandPerS: number;
};

/** A shift grant that this failure domain holds; `fromRegion` is the home region of the traffic. */
export type HeldShiftGrant = {
	readonly service: string;
	readonly fromRegion: string;
	readonly toDomain: string;
	readonly toRegion: string;
	readonly grantedPerS: number;
	readonly expiresInMs: number;
};
