import {type ShareFence} from '@fescuewick/wire';

type RecordedClaim = {epoch: number; claimant: string};

/** Highest allocator epoch that this VM has seen for each bucket of its failure domain, with its claimant. */
export class FenceRegister {
	readonly #claims = new Map<number, RecordedClaim>();

	epochOf(bucket: number): number {
		return this.#claims.get(bucket)?.epoch ?? 0;
	}

	/** Records an epoch if it is the highest so far; the claimant stays empty if it is unknown. */
	record(bucket: number, epoch: number, claimant = ''): void {
		if (epoch > this.epochOf(bucket)) {
			this.#claims.set(bucket, {epoch, claimant});
		}
	}

	/** Accepts or refuses a claim; an equal epoch of another claimant is refused, so that only one of two concurrent claims can succeed. `previousEpoch` is the epoch recorded before, or 0 if this claim itself was recorded. */
	accept(fence: ShareFence, claimant: string): {accepted: boolean; previousEpoch: number} {
		const known = this.#claims.get(fence.bucket);
		const previousEpoch = known?.epoch ?? 0;
		if (known !== undefined && (fence.epoch < known.epoch || (fence.epoch === known.epoch && claimant !== known.claimant))) {
			return {accepted: false, previousEpoch};
		}

		this.#claims.set(fence.bucket, {epoch: fence.epoch, claimant});
		return {accepted: true, previousEpoch: known?.claimant === claimant && known.epoch === fence.epoch ? 0 : previousEpoch};
	}
}
