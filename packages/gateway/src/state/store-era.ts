import Emittery from 'emittery';
import {comparePositions, type StorePosition} from '@fescuewick/store';

/** A rise of the era: the latest positions known before and after it, and who told of it (`store`, or the address of a peer). */
export type EraRise = {readonly from: Required<StorePosition>; readonly to: Required<StorePosition>; readonly source: string};

/** The highest era of the store that this VM knows of, from answers of the store and from peers. A VM that has just started takes the first one. */
export class StoreEra {
	readonly events = new Emittery<{raised: EraRise}>();
	#latest: Required<StorePosition> | undefined;
	#answersWithoutEra = 0;

	/** 0 while none is known, and with a store that does not say its era. */
	get value(): number {
		return this.#latest?.era ?? 0;
	}

	/** Number of answers of the store without a readable era. */
	get answersWithoutEra(): number {
		return this.#answersWithoutEra;
	}

	/** Whether a position is from before a restore that this VM knows of. */
	isOver({era = 0}: StorePosition): boolean {
		return era < this.value;
	}

	/** Takes note of the position of an answer of the store. */
	observeAnswer(position: StorePosition): void {
		if (position.era === undefined) {
			this.#answersWithoutEra++;
		}

		this.#observe(position, 'store');
	}

	/** Takes note of what a peer knows of the store; a peer may know none yet. */
	observePeer(position: StorePosition, address: string): void {
		if (!this.isOver(position) && position.era !== 0) {
			this.#observe(position, address);
		}
	}

	#observe({revision, era = 0}: StorePosition, source: string): void {
		const from = this.#latest;
		const to = {revision, era};
		if (from !== undefined && comparePositions(to, from) <= 0) {
			return;
		}

		this.#latest = to;
		if (from !== undefined && era > from.era) {
			void this.events.emit('raised', {from, to, source});
		}
	}
}
