import {
	ClaimState, type ClaimReplyBody, type OrderResult, type StoredAnswer,
} from '@fescuewick/wire';
import {type ClaimEntry, EntryState} from './claim-table/claim-table.js';
import {isSameClaimant, type ClaimantDigest, type OrderId} from './order-key/order-id.js';
import {type OrderKey} from './order-key/order-key.js';

/** One attempt to run an order, with its identifiers parsed and hashed. */
export type Attempt = {
	readonly key: OrderKey;
	readonly id: OrderId;
	readonly claimant: ClaimantDigest;
	/** Hash of the request's content; 0 if it is not compared. */
	readonly contentHash: number;
};

/** Decides claims for one form of order key: tickets or caller keys. */
export abstract class ClaimAuthority {
	/** Grants the order to at most one claimant, except after a release. */
	abstract claim(attempt: Attempt, repeatWindowMs: number): Promise<ClaimReplyBody>;
	/** Records how the order ended; resolves with whether that was accepted. */
	abstract complete(attempt: Attempt, result: OrderResult, answer: StoredAnswer | undefined): Promise<boolean>;
	/** Gives the claim back; resolves with whether it took effect. */
	abstract release(attempt: Attempt): Promise<boolean>;
}

/** Claims older than this whose end was not reported are answered as unknown instead of in progress; longer than any class deadline in use. */
export const maxOpenClaimAgeMs = 60_000;

/** Returns a reply without a stored answer. */
export function replyWithoutAnswer(state: ClaimState): ClaimReplyBody {
	return {state, answer: undefined};
}

/** Returns the reply to a claimant for an order that has an entry; undefined if the order may be granted to it. */
export function replyForEntry(entry: ClaimEntry, {claimant, contentHash}: Pick<Attempt, 'claimant' | 'contentHash'>, ageMs: number): ClaimReplyBody | undefined {
	const isSame = isSameClaimant(entry.claimant, claimant);
	// A released order was never sent, so its key may be reused with different content.
	if (entry.state !== EntryState.released && contentHashesDiffer(entry.contentHash, contentHash)) {
		return replyWithoutAnswer(ClaimState.contentDiffers);
	}

	switch (entry.state) {
		case EntryState.done: {
			return replyWithoutAnswer(ClaimState.done);
		}

		case EntryState.unknown: {
			return replyWithoutAnswer(ClaimState.unknown);
		}

		case EntryState.released: {
			// A claimant that has released must not run the order, so a delayed copy of its claim is not granted.
			return isSame ? replyWithoutAnswer(ClaimState.unknown) : undefined;
		}

		default: {
			if (isSame) {
				return replyWithoutAnswer(ClaimState.granted);
			}

			return replyWithoutAnswer(ageMs > maxOpenClaimAgeMs ? ClaimState.unknown : ClaimState.inProgress);
		}
	}
}

/** Whether two content hashes are known and differ. */
export function contentHashesDiffer(first: number, second: number): boolean {
	return first !== 0 && second !== 0 && first !== second;
}

/** Whether the end of an attempt changes its entry: it ends an open claim, and a complete answer also replaces an unknown result. */
export function canRecordEnd(entry: ClaimEntry | undefined, claimant: ClaimantDigest, next: EntryState): boolean {
	if (entry === undefined || !isSameClaimant(entry.claimant, claimant)) {
		return false;
	}

	return entry.state === EntryState.open || (entry.state === EntryState.unknown && next === EntryState.done);
}
