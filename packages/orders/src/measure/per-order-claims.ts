import {FescuewickError, ResultCode} from '@fescuewick/core';
import {absentVersion, type ObjectStore} from '@fescuewick/store';
import {ClaimState, type ClaimReplyBody, type ClaimRequestBody} from '@fescuewick/wire';
import {replyWithoutAnswer} from '../claim-authority.js';
import {ClaimService} from '../claim-service.js';
import {orderId} from '../order-key/order-id.js';

/** Baseline: one conditional create in the store per order, by the VM that received the request; completions are not stored. */
export class PerOrderClaimService extends ClaimService {
	readonly #store: ObjectStore;

	constructor(store: ObjectStore) {
		super();
		this.#store = store;
	}

	async claim({workspace, orderKey, claimant}: ClaimRequestBody): Promise<ClaimReplyBody> {
		const key = `orders/by-id/${orderId(workspace, orderKey).hex}`;
		try {
			await this.#store.write(key, {claimant}, absentVersion);
			return replyWithoutAnswer(ClaimState.granted);
		} catch (error) {
			if (!(error instanceof FescuewickError) || error.code !== ResultCode.storeConflict) {
				return replyWithoutAnswer(ClaimState.unavailable);
			}

			const existing = await this.#store.read(key);
			const holder = (existing?.value as {claimant?: string} | undefined)?.claimant;
			return replyWithoutAnswer(holder === claimant ? ClaimState.granted : ClaimState.unknown);
		}
	}

	async complete(): Promise<void> {
		// Not stored: a completion would be a second write per order.
	}

	async release(): Promise<void> {
		// Not needed for the measurement.
	}
}
