import {type Socket} from 'node:net';
import {type TimerService} from '@fescuewick/core';

/** Longest time spent on held work in one turn of the event loop, in milliseconds; a close that arrives meanwhile is read in the next turn. */
const maxTurnMs = 20;
/** Turns for which work is held: the turn in which its request was read ends, and the next one reads all sockets again. */
const heldTurns = 2;

/** Whether the caller of a connection has closed it, as far as the process has read. */
export function hasCallerLeft({destroyed, readableEnded}: Pick<Socket, 'destroyed' | 'readableEnded'>): boolean {
	return destroyed || readableEnded;
}

type CloseBarrierOptions = {
	readonly timers: TimerService;
	/** Runs a callback at the end of the present turn of the event loop, or of the next one if this turn is ending. */
	readonly atEndOfTurn: (callback: () => void) => void;
	/** Called with an error of held work; the process lives on, and the work's request ends at its deadline. */
	readonly onError: (error: unknown) => void;
};

/**
Holds work on requests until the closes of callers that have arrived by now are read.

Load it answers: a VM short of processor time. While it reads nothing, callers give up; their requests and closes wait in its sockets together, and a request is read a turn before the close behind it. Work for callers that have left would take the time that the others need. What can't be done in one turn waits for the next, so closes are read in between.
*/
export class CloseBarrier {
	readonly #held: Array<{readonly work: () => void; readonly turn: number}> = [];
	#turn = 0;
	#isScheduled = false;

	constructor(private readonly options: CloseBarrierOptions) {}

	/** Pieces of work that are held. */
	get size(): number {
		return this.#held.length;
	}

	/** Runs work after all sockets were read once more; `work` checks by then whether it is still wanted. */
	run(work: () => void): void {
		this.#held.push({work, turn: this.#turn});
		this.#schedule();
	}

	#schedule(): void {
		if (!this.#isScheduled) {
			this.#isScheduled = true;
			this.options.atEndOfTurn(() => {
				this.#isScheduled = false;
				this.#endTurn();
			});
		}
	}

	#endTurn(): void {
		const {timers} = this.options;
		this.#turn++;
		const startedAtMs = timers.nowMs();
		while (this.#held.length > 0 && this.#turn - this.#held[0].turn >= heldTurns && timers.nowMs() - startedAtMs < maxTurnMs) {
			this.#runOne(this.#held.shift()!.work);
		}

		if (this.#held.length > 0) {
			this.#schedule();
		}
	}

	#runOne(work: () => void): void {
		try {
			work();
		} catch (error) {
			this.options.onError(error);
		}
	}
}
