import {type AdmittedRequest} from './admitted-request.js';
import {problemOf} from './answer-check.js';
import {learnFromAnswer, learnFromRejection} from './backend-feedback.js';
import {type ForwardingContext} from './forwarding-context.js';
import {type Sending} from './sending.js';

/** Latencies under this say nothing about a server's speed, in milliseconds. */
const minMeasuredMs = 20;

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
export type AnswerVerdict = {readonly kind: AnswerKind; readonly reason: string};

/** What keeps the answer of a sending from being passed on; undefined if nothing does. */
export function answerProblem({attempt}: Sending, {id}: AdmittedRequest, {dialect}: ForwardingContext): string | undefined {
	const head = attempt.head!;
	return problemOf({
		head, fields: dialect.readAnswer(head.status, head.headers), end: attempt.connection.end, requestId: id,
	});
}

/** Judges a complete answer, gives its connection back and takes in what it says about its server. */
export function judgeAnswer(sending: Sending, admitted: AdmittedRequest, context: ForwardingContext, expectedMs: number): AnswerVerdict {
	const {backend, attempt, sentAtMs} = sending;
	const {route, service} = admitted;
	const {status, headers} = attempt.head!;
	const nowMs = context.timers.nowMs();
	const problem = answerProblem(sending, admitted, context);
	if (problem !== undefined) {
		backend.connections.discard(attempt.connection);
		backend.outcome(true, undefined, nowMs);
		return {kind: AnswerKind.broken, reason: problem};
	}

	const answer = context.dialect.readAnswer(status, headers);
	backend.connections.release(attempt.connection);
	learnFromAnswer(backend, answer, nowMs);
	if (answer.isNotRun || answer.isMisdirected) {
		return {kind: AnswerKind.rejected, reason: learnFromRejection(backend, answer, context.placer, nowMs)};
	}

	const durationMs = nowMs - sentAtMs;
	if (status >= 500) {
		backend.outcome(true, undefined, nowMs);
		return {kind: AnswerKind.serverError, reason: `the server answered ${status}`};
	}

	if (durationMs > minMeasuredMs) {
		context.latency.add({
			route: route.name, service, durationMs, initialMs: route.targetMs / 2,
		});
		backend.outcome(false, durationMs / expectedMs, nowMs);
	} else {
		backend.outcome(false, undefined, nowMs);
	}

	return {kind: AnswerKind.done, reason: ''};
}
