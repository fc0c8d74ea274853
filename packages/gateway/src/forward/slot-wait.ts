import {type Cancel, type TimerService} from '@fescuewick/core';
import {type WaitingLine} from '../admission/waiting-line.js';
import {type ActiveRequest} from '../admission/waiting-lines.js';

/** A request's time in the waiting line of its service. */
export class SlotWait {
	/** Time spent in the line so far, in milliseconds. */
	waitedMs = 0;
	#end: Cancel | undefined;

	constructor(private readonly run: ActiveRequest, private readonly line: WaitingLine<ActiveRequest>, private readonly timers: TimerService) {}

	get isWaiting(): boolean {
		return this.#end !== undefined;
	}

	/** Enters the line for at most `waitMs`. */
	begin(waitMs: number, onTimeout: () => void): void {
		const startedAtMs = this.timers.nowMs();
		this.line.add(this.run);
		const cancel = this.timers.after(waitMs, () => {
			this.end();
			onTimeout();
		});
		this.#end = () => {
			cancel();
			this.line.remove(this.run);
			this.waitedMs += this.timers.nowMs() - startedAtMs;
		};
	}

	/** Leaves the line; has no effect outside of it. */
	end(): void {
		const end = this.#end;
		this.#end = undefined;
		end?.();
	}
}
