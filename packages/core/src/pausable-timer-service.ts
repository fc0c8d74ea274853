import {TimerService, type Cancel} from './timer-service.js';

/** Timer service that a test can pause while the clock keeps running; a callback that falls due during a pause runs at `resume`, and only once if its interval elapsed several times. */
export class PausableTimerService extends TimerService {
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
		return this.#schedule(callback, run => this.timers.after(delayMs, run));
	}

	repeat(intervalMs: number, callback: () => void): Cancel {
		return this.#schedule(callback, run => this.timers.repeat(intervalMs, run));
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

	#schedule(callback: () => void, startTimer: (run: () => void) => Cancel): Cancel {
		const run = () => {
			if (this.#paused) {
				this.#deferred.add(run);
			} else {
				callback();
			}
		};

		const cancel = startTimer(run);
		return () => {
			this.#deferred.delete(run);
			cancel();
		};
	}
}
