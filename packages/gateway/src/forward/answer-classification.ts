import {type AdmittedRequest} from './admitted-request.js';
import {isTruncated, validateAnswer} from './answer-check.js';
import {recordAnswerFeedback, recordRejection, recordStatements} from './backend-feedback.js';
import {type ForwardingContext} from './forwarding-context.js';
import {type BackendAttempt} from './backend-attempt.js';

/** Shorter requests are left out of the latency statistics, because they say nothing about a server's speed, in milliseconds. */
const minLatencySampleMs = 20;

/** Outcome of an attempt, by its answer. */
export enum AnswerKind {
	/** The server ran the request; the answer goes to the caller. */
	done = 'done',
	/** The server answered with a status of 500 or more; the request may have run. */
	serverError = 'server-error',
	/** The server did not run the request. */
	rejected = 'rejected',
	/** The answer is invalid and must not be passed on; the request may have run. */
	invalid = 'broken',
}

/** Kind of an answer, and why it is not `done`; the reason is empty if it is. */
export type AnswerClassification = {readonly kind: AnswerKind; readonly reason: string};

/** Whether the connection of an attempt ended before its answer was complete, although the HTTP client reported it as complete. */
export function isAnswerTruncated({exchange: {head, connection}}: BackendAttempt): boolean {
	return isTruncated(connection.end, head!.headers);
}

/** Returns why the answer of an attempt must not be passed on to the caller; undefined if it may be. */
export function validateAttemptAnswer({exchange}: BackendAttempt, {id}: AdmittedRequest, {dialect}: ForwardingContext): string | undefined {
	const head = exchange.head!;
	return validateAnswer({
		head, fields: dialect.readAnswer(head.status, head.headers), end: exchange.connection.end, requestId: id,
	});
}

/** Records what the head of a streamed answer says of its server. */
export function recordStreamingAnswer(attempt: BackendAttempt, {id}: AdmittedRequest, {dialect, placer}: ForwardingContext): void {
	const {status, headers} = attempt.exchange.head!;
	recordStatements(attempt, dialect.readAnswer(status, headers), {requestId: id, placer});
}

/** Classifies a complete answer, releases or discards its connection and updates the load, health and latency of its server. */
export function classifyAnswer(attempt: BackendAttempt, admitted: AdmittedRequest, context: ForwardingContext, expectedMs: number): AnswerClassification {
	const {backend, exchange, sentAtMs} = attempt;
	const {route, service} = admitted;
	const {status, headers} = exchange.head!;
	const nowMs = context.timers.nowMs();
	const problem = validateAttemptAnswer(attempt, admitted, context);
	if (problem !== undefined) {
		backend.connections.discard(exchange.connection);
		backend.recordOutcome(true, undefined, nowMs);
		return {kind: AnswerKind.invalid, reason: problem};
	}

	const answer = context.dialect.readAnswer(status, headers);
	backend.connections.release(exchange.connection);
	recordAnswerFeedback(backend, answer, nowMs);
	recordStatements(attempt, answer, {requestId: admitted.id, placer: context.placer});
	if (answer.isNotRun || answer.isMisdirected) {
		if (!answer.isMisdirected) {
			context.hedging?.recordRejection(service);
		}

		return {kind: AnswerKind.rejected, reason: recordRejection(backend, answer, context.placer, nowMs)};
	}

	const durationMs = nowMs - sentAtMs;
	if (status >= 500) {
		backend.recordOutcome(true, undefined, nowMs);
		return {kind: AnswerKind.serverError, reason: `the server answered ${status}`};
	}

	if (durationMs > minLatencySampleMs) {
		context.latency.add({
			route: route.name, service, durationMs, initialMs: route.targetMs / 2,
		});
		backend.recordOutcome(false, durationMs / expectedMs, nowMs);
	} else {
		backend.recordOutcome(false, undefined, nowMs);
	}

	return {kind: AnswerKind.done, reason: ''};
}
