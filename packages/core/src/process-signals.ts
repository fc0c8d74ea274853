import process from 'node:process';

/** Signals that ask a daemon to stop. */
const stopSignals = ['SIGTERM', 'SIGINT'] as const;

/** The signals that a process has received since `listenForSignals`. */
export class ProcessSignals {
	/** Resolves at the first signal to stop; later ones are ignored, so that they do not interrupt a graceful stop. */
	readonly stopRequested: Promise<void>;
	/** Called for each SIGHUP; while it is not set, SIGHUPs are only counted. */
	onHangup: (() => void) | undefined;
	#hangups = 0;

	constructor() {
		this.stopRequested = new Promise(resolve => {
			for (const signal of stopSignals) {
				process.on(signal, () => {
					resolve();
				});
			}
		});
		process.on('SIGHUP', () => {
			this.#hangups++;
			this.onHangup?.();
		});
	}

	/** Number of SIGHUPs so far. */
	get hangups(): number {
		return this.#hangups;
	}
}

let signals: ProcessSignals | undefined;

/** Handles signals from now on; returns the same object at each call. A program calls it before it loads its other modules, because a signal without a listener ends the process. */
export function listenForSignals(): ProcessSignals {
	signals ??= new ProcessSignals();
	return signals;
}
