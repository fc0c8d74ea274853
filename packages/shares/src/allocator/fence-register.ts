import {type ShareFence} from '@fescuewick/wire';

type SeenClaim = {epoch: number; claimant: string};

/** The highest allocator epoch that a VM has seen of each bucket of its failure domain, and who claimed it. */
export class FenceRegister {
	readonly #seen = new Map<number, SeenClaim>();

	epochOf(bucket: number): number {
		return this.#seen.get(bucket)?.epoch ?? 0;
	}

	/** Notes an epoch; without a claimant if it is not known. */
	record(bucket: number, epoch: number, claimant = ''): void {
		if (epoch > this.epochOf(bucket)) {
			this.#seen.set(bucket, {epoch, claimant});
		}
	}

	/** Judges a claim; an equal epoch of another claimant is refused, so that only one of two can win. */
	accept(fence: ShareFence, claimant: string): {accepted: boolean; previousEpoch: number} {
		const known = this.#seen.get(fence.bucket);
		const previousEpoch = known?.epoch ?? 0;
		if (known !== undefined && (fence.epoch < known.epoch || (fence.epoch === known.epoch && claimant !== known.claimant))) {
			return {accepted: false, previousEpoch};
		}

		this.#seen.set(fence.bucket, {epoch: fence.epoch, claimant});
		return {accepted: true, previousEpoch: known?.claimant === claimant && known.epoch === fence.epoch ? 0 : previousEpoch};
	}
}
