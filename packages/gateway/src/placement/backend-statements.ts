import {type Logger, type TimerService} from '@fescuewick/core';
import {ServerNoticeKind, type ServerNotice} from '../peers/server-notice.js';
import {ConditionEvent, type Backend} from './backend.js';
import {limitTtlMs, ServerStatements, type ServerStart} from './server-statements.js';

/** Longest pause that a server gets from one answer, in milliseconds; protects the service from servers that ask for more by mistake. */
const maxPauseMs = 300_000;

/** Interval at which the VMs of a region tell each other that a server still names its limit, in milliseconds; a third of the time after which it is forgotten. */
const limitRefreshMs = 10_000;
/** Relative change of a limit that peers are told, and that is logged. */
const minLimitChange = 0.2;

/** Where a server said something about itself. */
export enum StatementSource {
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
	/** Called when an answer to this VM named a limit that the VMs of the region may not know, or none any more (undefined). */
	readonly onLimit: (start: ServerStart, limitPerS: number | undefined) => void;
};

/** Applies to the backend servers what they say about themselves: that they are leaving, want no requests for some time, or take only a limited number of them. */
export class BackendStatements {
	readonly #statements = new ServerStatements();

	constructor(private readonly options: BackendStatementsOptions) {}

	/** Stops sending to a server that said that it is leaving, until it starts again. */
	markLeaving(start: ServerStart, source: StatementSource, peerAddress?: string): void {
		if (!this.#statements.addLeaving(start)) {
			return;
		}

		const backend = this.options.backendOf(start.id);
		this.options.logger.info({
			event: 'backend-leaving', server: start.id, startedAtMs: start.startedAtMs, service: backend?.record.service, source, peerAddress,
		}, 'backend server says that it is leaving');
		if (source !== StatementSource.peer) {
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

	/** Takes over the limit that a server named to this VM or to a peer. */
	markLimited(start: ServerStart, perS: number, source: StatementSource): void {
		const {timers, logger, backendOf, onLimit} = this.options;
		const nowMs = timers.nowMs();
		const remembered = this.#statements.limit(start);
		const known = remembered !== undefined && nowMs - remembered.confirmedAtMs < limitTtlMs ? remembered : undefined;
		const isNew = known === undefined || Math.abs(perS - known.announced.perS) > known.announced.perS * minLimitChange;
		const isAnnounced = source === StatementSource.peer || isNew || nowMs - known.announced.atMs >= limitRefreshMs;
		this.#statements.setLimit(start, {
			perS, sinceMs: known?.sinceMs ?? nowMs, confirmedAtMs: nowMs, announced: isAnnounced ? {perS, atMs: nowMs} : known.announced,
		});
		const backend = backendOf(start.id);
		if (isNew) {
			logger.info({
				event: 'backend-limited', server: start.id, service: backend?.record.service, limitPerS: perS, beforePerS: known?.announced.perS, source,
			}, 'backend server names a limit on its requests');
		}

		if (isAnnounced && source !== StatementSource.peer) {
			onLimit(start, perS);
		}

		if (backend !== undefined) {
			this.apply(backend);
		}
	}

	/** Ends the limit of a server that named none in an answer to a request sent at `sentAtMs`; an answer to a request from before the limit was known may be older than the limit. */
	markUnlimited(start: ServerStart, source: StatementSource, sentAtMs = Number.POSITIVE_INFINITY): void {
		const {logger, backendOf, onLimit, onSlotAvailable} = this.options;
		const known = this.#statements.limit(start);
		if (known === undefined || sentAtMs < known.sinceMs) {
			return;
		}

		this.#statements.setLimit(start, undefined);
		const backend = backendOf(start.id);
		logger.info({
			event: 'backend-limit-ended', server: start.id, service: backend?.record.service, beforePerS: known.perS, source,
		}, 'backend server names no limit any more');
		if (source !== StatementSource.peer) {
			onLimit(start, undefined);
		}

		if (backend !== undefined) {
			this.apply(backend);
			onSlotAvailable();
		}
	}

	/** Takes over what a server said to a peer. */
	applyNotice(notice: ServerNotice, peerAddress: string): void {
		if (notice.kind === ServerNoticeKind.leaving) {
			this.markLeaving(notice.start, StatementSource.peer, peerAddress);
		} else if (notice.limitPerS === undefined) {
			this.markUnlimited(notice.start, StatementSource.peer);
		} else {
			this.markLimited(notice.start, notice.limitPerS, StatementSource.peer);
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
		backend.setLimit(this.#statements.limit(backend.start), nowMs);
		if (pausedUntilMs > nowMs && pausedUntilMs > backend.pausedUntilMs) {
			backend.pause(pausedUntilMs);
			timers.after(pausedUntilMs - nowMs, () => {
				backend.endPause(pausedUntilMs);
				onSlotAvailable();
			});
		}
	}
}
