import {ConnectionEnd, type AnswerHead} from '@fescuewick/entry/http';
import {type AnswerFields} from './header-dialect.js';

/** Statuses by which callers recognise that their request was not run. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** An answer of a backend server, before it is validated. */
export type ReceivedAnswer = {
	readonly head: AnswerHead;
	readonly fields: AnswerFields;
	/** How the connection ended; undefined while it is open. */
	readonly end: ConnectionEnd | undefined;
	/** Id of the request that was sent. */
	readonly requestId: string;
};

/** Returns why an answer must not be passed on to the caller; undefined if it may be. */
export function validateAnswer({head: {status, headers}, fields, end, requestId}: ReceivedAnswer): string | undefined {
	if (isTruncated(end, headers)) {
		return 'the connection ended before the answer was complete';
	}

	if (fields.id !== undefined && fields.id !== requestId) {
		return 'the answer carries the id of another request';
	}

	if (fields.id === undefined && (fields.isNotRun || fields.isMisdirected)) {
		return 'the answer states that a request was not run, but carries no id of one';
	}

	if (notRunStatuses.has(status) && !fields.isNotRun && !fields.isMisdirected) {
		return `the server answered ${status} without stating that it did not run the request`;
	}

	if (status < 300 && !fields.isProven) {
		return 'the answer lacks the proof that the server made it';
	}

	return headers['content-encoding'] === undefined ? undefined : 'the answer has a content encoding';
}

/** Whether the connection ended before the answer was complete. The HTTP client checks answers with a content length itself. */
export function isTruncated(end: ConnectionEnd | undefined, headers: AnswerHead['headers']): boolean {
	return end === ConnectionEnd.reset || (end === ConnectionEnd.orderly && headers['transfer-encoding'] !== undefined);
}
