import {type Buffer} from 'node:buffer';
import {type TimerService} from '@fescuewick/core';
import {Attempt, ByteBuffer} from '@fescuewick/entry/http';
import {type Backend} from '../placement/backend.js';
import {type ServerStart} from '../placement/server-statements.js';
import {type AdmittedRequest} from './admitted-request.js';
import {type ForwardingContext} from './forwarding-context.js';
import {outgoingHeaders} from './outgoing-headers.js';

/** Longest time since a connection was known to be alive, for a request that may not be repeated, in milliseconds; some servers drop connections that were idle for 300 ms without closing them. */
const maxLivenessAgeMs = 200;

/** One attempt to send a request to a backend server, with the answer received so far. */
export type BackendAttempt = {
	readonly exchange: Attempt;
	readonly backend: Backend;
	/** Start of the server to which it was sent; the server may have been restarted when the answer arrives. */
	readonly serverStart: ServerStart;
	readonly sentAtMs: number;
	/** When the head of the response arrived; undefined before. */
	headAtMs: number | undefined;
	/** Buffered part of the answer; empty once it is streamed. */
	readonly buffered: ByteBuffer;
	sizeBytes: number;
	/** Whether the answer is being streamed to the caller. */
	isStreaming: boolean;
};

/** Receives the events of an attempt; `onEnd` or `onFail` is the last one. */
export type AttemptListener = {
	/** Returns false to pause the exchange until `resume` is called on it. */
	onData(attempt: BackendAttempt, chunk: Buffer): boolean;
	onEnd(attempt: BackendAttempt): void;
	onFail(attempt: BackendAttempt, error: Error): void;
};

/** Whether a request can be sent again after its body was sent, because the whole body is buffered. */
export function isReplayable({body}: AdmittedRequest): boolean {
	return body.stream === undefined;
}

/** Acquires a connection to a server for an attempt without sending anything; returns undefined if no connection is available. */
export function createAttempt(admitted: AdmittedRequest, backend: Backend, timers: TimerService, listener: AttemptListener): BackendAttempt | undefined {
	const mayRepeat = admitted.route.isRepeatable && isReplayable(admitted);
	const connection = backend.connections.acquire(mayRepeat ? undefined : maxLivenessAgeMs);
	if (connection === undefined) {
		return undefined;
	}

	const exchange = new Attempt(connection, {
		onHead() {
			attempt.headAtMs = timers.nowMs();
		},
		onData: (_attempt, chunk) => listener.onData(attempt, chunk),
		onEnd() {
			listener.onEnd(attempt);
		},
		onFail(_attempt, error) {
			listener.onFail(attempt, error);
		},
	});
	const attempt: BackendAttempt = {
		exchange, backend, serverStart: backend.start, sentAtMs: timers.nowMs(), headAtMs: undefined, buffered: new ByteBuffer(), sizeBytes: 0, isStreaming: false,
	};
	return attempt;
}

/** Sends the request; the listener may receive a failure before this returns. */
export function transmit({exchange, backend}: BackendAttempt, {request, fields, id, workspace, body}: AdmittedRequest, {dialect}: Pick<ForwardingContext, 'dialect'>, timeLeftMs: number): void {
	exchange.send({
		method: request.method!,
		path: request.url!,
		headers: [
			...outgoingHeaders(request, fields.key, dialect, {
				id, timeLeftMs: Math.max(1, Math.floor(timeLeftMs)), workspace: workspace?.name, server: backend.id,
			}),
			// The HTTP client derives the length of a buffered body itself.
			...(body.stream === undefined || body.lengthBytes === undefined ? [] : ['content-length', String(body.lengthBytes)]),
		],
		body: body.stream ?? (body.buffered.length > 0 ? body.buffered : undefined),
	});
}
