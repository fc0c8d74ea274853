import {type ShareGrant} from '@fescuewick/wire';

/** Identity of a grant. */
export type GrantId = {readonly epoch: number; readonly sequence: number};

/** Validity of the grant in force for one resource. */
export class HeldGrant {
	expiresAtMs = Number.NEGATIVE_INFINITY;
	epoch = 0;
	sequence = 0;
	/** Highest epoch seen; grants of older epochs are refused. */
	seenEpoch = 0;
	#valid = false;

	/** Whether a grant is in force; the caller must call `expire` after its end. */
	get valid(): boolean {
		return this.#valid;
	}

	/** Identity of the grant in force, or undefined. */
	get id(): GrantId | undefined {
		return this.#valid ? {epoch: this.epoch, sequence: this.sequence} : undefined;
	}

	/**
	Adopts a grant if it may be applied; returns whether it was.

	Within an epoch, sequence numbers only increase. A grant of a new epoch extends the grant that the request reported, so it is refused if another grant was applied since.
	*/
	adopt(grant: ShareGrant, expiresAtMs: number, nowMs: number, reported: GrantId | undefined): boolean {
		const epoch = grant.epoch ?? 0;
		const sequence = grant.sequence ?? this.sequence + 1;
		if (epoch < this.seenEpoch || expiresAtMs <= nowMs) {
			return false;
		}

		const sameEpoch = epoch === this.epoch;
		const unchanged = reported === undefined ? !this.#valid : this.#valid && reported.epoch === this.epoch && reported.sequence === this.sequence;
		if (sameEpoch ? sequence <= this.sequence : !unchanged) {
			return false;
		}

		this.seenEpoch = epoch;
		this.epoch = epoch;
		this.sequence = sequence;
		this.expiresAtMs = expiresAtMs;
		this.#valid = true;
		return true;
	}

	expire(): void {
		this.#valid = false;
		this.expiresAtMs = Number.NEGATIVE_INFINITY;
	}
}
