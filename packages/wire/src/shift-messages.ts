/** Requests that a failure domain admit traffic shifted from its home region. */
export type ShiftRequestBody = {
	readonly service: string;
	/** Failure domain of the requester; the traffic may be that of another region, if that region failed. */
	readonly fromDomain: string;
	/** Home region of the traffic to be shifted. */
	readonly fromRegion: string;
	/** Failure domain that would receive the traffic; the control daemon forwards the request there. */
	readonly toDomain: string;
	readonly wantedPerS: number;
	/** Additional rate for clients that fail over when their home region fails; granted from the capacity that remains after the wanted rates. */
	readonly reservePerS: number;
	/** Lower bound of the shifted traffic that already arrives under the current grant, in requests per second. */
	readonly movedPerS: number;
	/** Fraction of the home region's client blocks that the requester sends to the failure domain. */
	readonly movedFraction: number;
	/** The requester's estimate of the home region's demand. */
	readonly demandPerS: number;
};
/** Grant of shifted traffic, in answer to a shift request. */
export type ShiftGrantBody = {
	readonly service: string;
	/** Admitted traffic, in requests per second. */
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
