import {ConnectionEnd, type AnswerHead} from '@fescuewick/entry/http';
import {type AnswerFields} from './header-dialect.js';

/** Statuses by which callers conclude that a request has not run. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** An answer to be checked, and how its connection ended; undefined if it is open. */
export type ReceivedAnswer = {
	readonly head: AnswerHead;
	readonly fields: AnswerFields;
	readonly end: ConnectionEnd | undefined;
	/** Id of the request that it should answer. */
	readonly requestId: string;
};

/** What is wrong with an answer; undefined if it may be passed on. */
export function validateAnswer({head: {status, headers}, fields, end, requestId}: ReceivedAnswer): string | undefined {
	if (isTruncated(end, headers)) {
		return 'the connection ended within the answer';
	}

	if (fields.id !== undefined && fields.id !== requestId) {
		return 'the answer belongs to another request';
	}

	if (notRunStatuses.has(status) && !fields.isNotRun && !fields.isMisdirected) {
		return `the server answered ${status} without saying that it did not run the request`;
	}

	if (status < 300 && !fields.isProven) {
		return 'the answer does not come from the server itself';
	}

	return headers['content-encoding'] === undefined ? undefined : 'the answer is encoded';
}

/** Whether the end of its connection left an answer incomplete; one with a stated length is checked by the client. */
function isTruncated(end: ConnectionEnd | undefined, headers: AnswerHead['headers']): boolean {
	return end === ConnectionEnd.reset || (end === ConnectionEnd.orderly && headers['transfer-encoding'] !== undefined);
}
