import {type Backend} from '../placement/backend.js';
import {type Placer} from '../placement/placer.js';
import {type AnswerFields} from './header-dialect.js';

/** Takes in the load and the cold time that a server states with an answer. */
export function recordAnswerFeedback(backend: Backend, {load, coldForMs}: AnswerFields, nowMs: number): void {
	if (load !== undefined) {
		backend.report(load, nowMs);
	}

	if (coldForMs !== undefined) {
		backend.coldFor(coldForMs, nowMs);
	}
}

/** Takes in that a server did not run a request; returns why, for the decision line. */
export function recordRejection(backend: Backend, {isMisdirected, load}: AnswerFields, placer: Placer, nowMs: number): string {
	if (isMisdirected) {
		placer.misdirected(backend);
		return 'another server has the address';
	}

	// A server that rejects requests with slots free is faulty rather than full.
	if (load === undefined || load.running >= backend.slots) {
		backend.shed(nowMs);
	}

	backend.outcome(true, undefined, nowMs);
	return 'the server rejected the request';
}
