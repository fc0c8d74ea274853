import {type Logger, type TimerService} from '@fescuewick/core';
import {ConditionEvent, type Backend} from './backend.js';
import {ServerStatements, type ServerStart} from './server-statements.js';

/** Longest pause that a server gets from one answer, in milliseconds; protects the service from servers that ask for more by mistake. */
const maxPauseMs = 300_000;

/** Where a server said that it is leaving. */
export enum LeavingSource {
	/** In its answer to a request of this VM. */
	answer = 'answer',
	/** In its answer to a probe of this VM. */
	probe = 'probe',
	/** In its answer to a peer. */
	peer = 'peer',
}

type BackendStatementsOptions = {
	readonly timers: TimerService;
	readonly logger: Logger;
	readonly backendOf: (id: string) => Backend | undefined;
	/** Called when a server may have capacity again. */
	readonly onSlotAvailable: () => void;
	/** Called when an answer to this VM said that a server is leaving. */
	readonly onLeaving: (start: ServerStart) => void;
};

/** Applies to the backend servers what they say about themselves: that they are leaving, or want no requests for some time. */
export class BackendStatements {
	readonly #statements = new ServerStatements();

	constructor(private readonly options: BackendStatementsOptions) {}

	/** Stops sending to a server that said that it is leaving, until it starts again. */
	markLeaving(start: ServerStart, source: LeavingSource, peerAddress?: string): void {
		if (!this.#statements.addLeaving(start)) {
			return;
		}

		const backend = this.options.backendOf(start.id);
		this.options.logger.info({
			event: 'backend-leaving', server: start.id, startedAtMs: start.startedAtMs, service: backend?.record.service, source, peerAddress,
		}, 'backend server says that it is leaving');
		if (source !== LeavingSource.peer) {
			this.options.onLeaving(start);
		}

		if (backend !== undefined) {
			this.apply(backend);
		}
	}

	/** Sends nothing to a server for the pause that it asked for, at most `maxPauseMs`. */
	markPausing(start: ServerStart, pauseMs: number): void {
		const {timers, logger} = this.options;
		const nowMs = timers.nowMs();
		const appliedMs = Math.min(pauseMs, maxPauseMs);
		const untilMs = nowMs + appliedMs;
		if (appliedMs <= 0 || untilMs <= this.#statements.pausedUntilMs(start)) {
			return;
		}

		this.#statements.addPause(start, untilMs);
		const backend = this.options.backendOf(start.id);
		logger.info({
			event: 'backend-pausing', server: start.id, service: backend?.record.service, pauseMs, appliedMs,
		}, 'backend server asks for a pause');
		if (backend !== undefined) {
			this.apply(backend);
		}
	}

	/** Applies what a server said about its present start to its condition. */
	apply(backend: Backend): void {
		const {timers, onSlotAvailable} = this.options;
		if (this.#statements.isLeaving(backend.start) && backend.apply(ConditionEvent.saidLeaving)) {
			backend.connections.closeIdle();
		}

		const pausedUntilMs = this.#statements.pausedUntilMs(backend.start);
		const nowMs = timers.nowMs();
		if (pausedUntilMs > nowMs && pausedUntilMs > backend.pausedUntilMs) {
			backend.pause(pausedUntilMs);
			timers.after(pausedUntilMs - nowMs, () => {
				backend.endPause(pausedUntilMs);
				onSlotAvailable();
			});
		}
	}
}
