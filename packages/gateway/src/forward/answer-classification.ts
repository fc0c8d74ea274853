import {type AdmittedRequest} from './admitted-request.js';
import {validateAnswer} from './answer-check.js';
import {recordAnswerFeedback, recordRejection} from './backend-feedback.js';
import {type ForwardingContext} from './forwarding-context.js';
import {type BackendAttempt} from './backend-attempt.js';

/** Latencies under this say nothing about a server's speed, in milliseconds. */
const minLatencySampleMs = 20;

/** What a server's answer means for its request. */
export enum AnswerKind {
	/** The server ran the request; the answer is the caller's. */
	done = 'done',
	/** The server answered with an error of its own; the request may have run. */
	serverError = 'server-error',
	/** The server did not run the request. */
	rejected = 'rejected',
	/** The answer may not be passed on; the request may have run. */
	broken = 'broken',
}

/** The meaning of an answer, with the reason if it is not the caller's. */
export type AnswerClassification = {readonly kind: AnswerKind; readonly reason: string};

/** What keeps the answer of a sending from being passed on; undefined if nothing does. */
export function validateAttemptAnswer({exchange}: BackendAttempt, {id}: AdmittedRequest, {dialect}: ForwardingContext): string | undefined {
	const head = exchange.head!;
	return validateAnswer({
		head, fields: dialect.readAnswer(head.status, head.headers), end: exchange.connection.end, requestId: id,
	});
}

/** Judges a complete answer, gives its connection back and takes in what it says about its server. */
export function classifyAnswer(attempt: BackendAttempt, admitted: AdmittedRequest, context: ForwardingContext, expectedMs: number): AnswerClassification {
	const {backend, exchange, sentAtMs} = attempt;
	const {route, service} = admitted;
	const {status, headers} = exchange.head!;
	const nowMs = context.timers.nowMs();
	const problem = validateAttemptAnswer(attempt, admitted, context);
	if (problem !== undefined) {
		backend.connections.discard(exchange.connection);
		backend.outcome(true, undefined, nowMs);
		return {kind: AnswerKind.broken, reason: problem};
	}

	const answer = context.dialect.readAnswer(status, headers);
	backend.connections.release(exchange.connection);
	recordAnswerFeedback(backend, answer, nowMs);
	if (answer.isNotRun || answer.isMisdirected) {
		return {kind: AnswerKind.rejected, reason: recordRejection(backend, answer, context.placer, nowMs)};
	}

	const durationMs = nowMs - sentAtMs;
	if (status >= 500) {
		backend.outcome(true, undefined, nowMs);
		return {kind: AnswerKind.serverError, reason: `the server answered ${status}`};
	}

	if (durationMs > minLatencySampleMs) {
		context.latency.add({
			route: route.name, service, durationMs, initialMs: route.targetMs / 2,
		});
		backend.outcome(false, durationMs / expectedMs, nowMs);
	} else {
		backend.outcome(false, undefined, nowMs);
	}

	return {kind: AnswerKind.done, reason: ''};
}
