import {type TimerService} from '@fescuewick/core';

/** Time at which a node's configuration was last confirmed to be the accepted one, on the monotonic clock of the process. */
export class Freshness {
	readonly #timers: TimerService;
	#confirmedAtMs: number | undefined;

	constructor(timers: TimerService) {
		this.#timers = timers;
	}

	/** Time since the last confirmation; undefined if there has been none. */
	get ageMs(): number | undefined {
		return this.#confirmedAtMs === undefined ? undefined : Math.max(0, this.#timers.nowMs() - this.#confirmedAtMs);
	}

	/** Records that the configuration was the accepted one at `atMs` on the monotonic clock; a time before the last confirmation is ignored. */
	confirm(atMs: number): void {
		this.#confirmedAtMs = Math.max(atMs, this.#confirmedAtMs ?? atMs);
	}
}
