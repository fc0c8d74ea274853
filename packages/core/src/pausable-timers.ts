import {TimerService, type Cancel} from './timer-service.js';

/** Timers that a test can suspend while the clock keeps running; callbacks that fall due during a pause run at `resume`, those of an interval once. */
export class PausableTimers extends TimerService {
	#paused = false;
	readonly #deferred = new Set<() => void>();

	constructor(readonly timers: TimerService) {
		super();
	}

	nowMs(): number {
		return this.timers.nowMs();
	}

	wallClockMs(): number {
		return this.timers.wallClockMs();
	}

	after(delayMs: number, callback: () => void): Cancel {
		return this.#subscribe(callback, run => this.timers.after(delayMs, run));
	}

	repeat(intervalMs: number, callback: () => void): Cancel {
		return this.#subscribe(callback, run => this.timers.repeat(intervalMs, run));
	}

	/** Defers all callbacks until `resume`. */
	pause(): void {
		this.#paused = true;
	}

	resume(): void {
		this.#paused = false;
		for (const run of this.#deferred) {
			this.#deferred.delete(run);
			run();
		}
	}

	#subscribe(callback: () => void, subscribe: (run: () => void) => Cancel): Cancel {
		const run = () => {
			if (this.#paused) {
				this.#deferred.add(run);
			} else {
				callback();
			}
		};

		const cancel = subscribe(run);
		return () => {
			this.#deferred.delete(run);
			cancel();
		};
	}
}
