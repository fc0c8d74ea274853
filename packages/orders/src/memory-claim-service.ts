import {
	ClaimState, OrderResult, type ClaimCompleteBody, type ClaimReleaseBody, type ClaimReplyBody, type ClaimRequestBody, type StoredAnswer,
} from '@fescuewick/wire';
import {contentHashesDiffer} from './claim-authority.js';
import {ClaimService} from './claim-service.js';

type Claim = {claimant: string; contentHash: number; result: OrderResult | undefined; answer: StoredAnswer | undefined};

/** Baseline that keeps claims in the memory of this process: not shared with other VMs and lost at a restart. */
export class MemoryClaimService extends ClaimService {
	readonly #claims = new Map<string, Claim>();

	async claim({workspace, orderKey, claimant, contentHash = 0}: ClaimRequestBody): Promise<ClaimReplyBody> {
		const id = `${workspace}\u0000${orderKey}`;
		const existing = this.#claims.get(id);
		if (existing === undefined) {
			this.#claims.set(id, {
				claimant, contentHash, result: undefined, answer: undefined,
			});
			return {state: ClaimState.granted, answer: undefined};
		}

		if (contentHashesDiffer(existing.contentHash, contentHash)) {
			return {state: ClaimState.contentDiffers, answer: undefined};
		}

		if (existing.claimant === claimant && existing.result === undefined) {
			return {state: ClaimState.granted, answer: undefined};
		}

		return {state: stateOf(existing.result), answer: existing.answer};
	}

	async complete({workspace, orderKey, claimant, result, answer}: ClaimCompleteBody): Promise<void> {
		const claim = this.#claims.get(`${workspace}\u0000${orderKey}`);
		if (claim?.claimant === claimant) {
			claim.result = result;
			claim.answer = answer;
		}
	}

	async release({workspace, orderKey, claimant}: ClaimReleaseBody): Promise<void> {
		const id = `${workspace}\u0000${orderKey}`;
		if (this.#claims.get(id)?.claimant === claimant) {
			this.#claims.delete(id);
		}
	}
}

function stateOf(result: OrderResult | undefined): ClaimState {
	if (result === undefined) {
		return ClaimState.inProgress;
	}

	return result === OrderResult.unknown ? ClaimState.unknown : ClaimState.done;
}
