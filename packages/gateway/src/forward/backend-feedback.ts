import {type Backend} from '../placement/backend.js';
import {StatementSource} from '../placement/backend-statements.js';
import {type Placer} from '../placement/placer.js';
import {type BackendAttempt} from './backend-attempt.js';
import {type AnswerFields} from './header-dialect.js';

/** Records the load and the remaining cold time that a server reports with an answer. */
export function recordAnswerFeedback(backend: Backend, {load, coldForMs}: AnswerFields, nowMs: number): void {
	if (load !== undefined) {
		backend.recordLoad(load, nowMs);
	}

	if (coldForMs !== undefined) {
		backend.markCold(coldForMs, nowMs);
	}
}

/**
Records that a server says in an answer that it is leaving, asks for a pause, or names a limit on its requests.

Only an answer to the request itself counts: a copy of an earlier answer, or the answer of another server at the same address, says nothing about this start of the server.
*/
export function recordStatements({backend, serverStart, sentAtMs}: Pick<BackendAttempt, 'backend' | 'serverStart' | 'sentAtMs'>, answer: AnswerFields, {requestId, placer}: {readonly requestId: string; readonly placer: Placer}): void {
	if (answer.id !== requestId || answer.isMisdirected || (answer.server !== undefined && answer.server !== backend.id)) {
		return;
	}

	if (answer.isLeaving) {
		placer.statements.markLeaving(serverStart, StatementSource.answer);
	}

	if (answer.pauseMs !== undefined) {
		placer.statements.markPausing(serverStart, answer.pauseMs);
	}

	if (answer.limit?.perS !== undefined) {
		placer.statements.markLimited(serverStart, answer.limit.perS, StatementSource.answer);
	} else if (answer.limit === undefined && answer.isProven) {
		placer.statements.markUnlimited(serverStart, StatementSource.answer, sentAtMs);
	}
}

/** Records that a server did not run a request; returns the reason for the request's log line. */
export function recordRejection(backend: Backend, {isMisdirected, load}: AnswerFields, placer: Placer, nowMs: number): string {
	if (isMisdirected) {
		placer.markReplaced(backend);
		return 'another server has taken over the address';
	}

	// A server that rejects requests while it has free slots is faulty and not overloaded, so it is not treated as shedding load.
	if (load === undefined || load.running >= backend.slots) {
		backend.recordShed(nowMs);
	}

	backend.recordOutcome(true, undefined, nowMs);
	return 'the server rejected the request';
}
