/** State of an order's claim, as reported to a claimant. */
export enum ClaimState {
	granted = 'granted',
	inProgress = 'in-progress',
	done = 'done',
	unknown = 'unknown',
	expired = 'expired',
	/** An earlier attempt of the order had another method, path or body. */
	contentDiffers = 'content-differs',
	unavailable = 'unavailable',
}

/** Outcome of a claimed order that may have been sent. */
export enum OrderResult {
	done = 'done',
	/** At least one byte may have been written, and no complete answer arrived. */
	unknown = 'unknown',
}

/** First answer of an order, stored to be replayed to repeats. */
export type StoredAnswer = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: Uint8Array;
};

/** Requests the exclusive right to run an order. */
export type ClaimRequestBody = {
	readonly workspace: string;
	readonly orderKey: string;
	/** Unique for each attempt; the same claimant may repeat its request after a lost answer. */
	readonly claimant: string;
	/** Unsigned 32-bit hash of method, path and body; 0 or undefined if they are not compared. */
	readonly contentHash?: number;
	readonly repeatWindowMs: number;
};

/** Answer to a claim request. */
export type ClaimReplyBody = {
	readonly state: ClaimState;
	readonly answer: StoredAnswer | undefined;
	/** Set if the claim was not granted but may have been recorded; the claimant then releases it. */
	readonly mayBeRecorded?: boolean;
};

/** Reports the outcome of a claimed order; `answer` is undefined if it is too long to be stored or the result is unknown. */
export type ClaimCompleteBody = {
	readonly workspace: string;
	readonly orderKey: string;
	readonly claimant: string;
	readonly result: OrderResult;
	readonly answer: StoredAnswer | undefined;
};

/** Releases the claim of an order that was not sent. */
export type ClaimReleaseBody = {readonly workspace: string; readonly orderKey: string; readonly claimant: string};

/** Transfers stored answers to the current owner of a journal partition. */
export type ClaimAnswersBody = {readonly partition: number; readonly answers: ReadonlyArray<{readonly orderId: string; readonly answer: StoredAnswer}>};
