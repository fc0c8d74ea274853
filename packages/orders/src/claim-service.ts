import {
	type ClaimCompleteBody, type ClaimReleaseBody, type ClaimReplyBody, type ClaimRequestBody,
} from '@fescuewick/wire';

/** Decides which attempt of an order may run. */
export abstract class ClaimService {
	/** Requests the right to run an order; grants it to at most one claimant, except after a release. Throws `orderKeyInvalid`. If the reply has `mayBeRecorded` set, the claim may be recorded although it was not granted: claim again or release, or the order stays blocked for later attempts. */
	abstract claim(body: ClaimRequestBody): Promise<ClaimReplyBody>;
	/** Reports that a claimed order has ended, with its answer if known. Resolves once that is recorded or all attempts have failed, which may take seconds; the response to the caller need not wait for it. */
	abstract complete(body: ClaimCompleteBody): Promise<void>;
	/** Gives back a claim whose order was not sent and never will be; the claimant must not claim it again. Resolves as `complete` does; has no effect if the request is lost. */
	abstract release(body: ClaimReleaseBody): Promise<void>;
}
