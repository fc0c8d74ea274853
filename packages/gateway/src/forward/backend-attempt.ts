import {type Buffer} from 'node:buffer';
import {Attempt} from '@fescuewick/entry/http';
import {type Backend} from '../placement/backend.js';
import {type AdmittedRequest} from './admitted-request.js';
import {type ForwardingContext} from './forwarding-context.js';
import {outgoingHeaders} from './outgoing-headers.js';

/** A connection for a request that may not be repeated must have proved alive within this time, in milliseconds; some servers forget connections that rested for 300 ms, without a word. */
const maxLivenessAgeMs = 200;

/** One sending of a request and what came back so far. */
export type BackendAttempt = {
	readonly exchange: Attempt;
	readonly backend: Backend;
	readonly sentAtMs: number;
	chunks: Buffer[];
	sizeBytes: number;
	/** The answer is passed on as it comes. */
	isStreaming: boolean;
};

/** Receives what comes back for a sending; after `onEnd` or `onFail` nothing more comes. */
export type AttemptListener = {
	/** Returns false to pause the answer until the attempt is resumed. */
	onData(attempt: BackendAttempt, chunk: Buffer): boolean;
	onEnd(attempt: BackendAttempt): void;
	onFail(attempt: BackendAttempt, error: Error): void;
};

/** Whether a request can be sent again after its body has been sent: all of it is held. */
export function isReplayable({body}: AdmittedRequest): boolean {
	return body.rest === undefined;
}

/** Takes a connection to a server for a request; undefined if none is left. Nothing is sent yet. */
export function createAttempt(admitted: AdmittedRequest, backend: Backend, nowMs: number, listener: AttemptListener): BackendAttempt | undefined {
	const mayRepeat = admitted.route.isRepeatable && isReplayable(admitted);
	const connection = backend.connections.acquire(mayRepeat ? undefined : maxLivenessAgeMs);
	if (connection === undefined) {
		return undefined;
	}

	const exchange = new Attempt(connection, {
		onHead: () => undefined,
		onData: (_attempt, chunk) => listener.onData(attempt, chunk),
		onEnd() {
			listener.onEnd(attempt);
		},
		onFail(_attempt, error) {
			listener.onFail(attempt, error);
		},
	});
	const attempt: BackendAttempt = {
		exchange, backend, sentAtMs: nowMs, chunks: [], sizeBytes: 0, isStreaming: false,
	};
	return attempt;
}

/** Sends the request; a failure may be reported to the listener before this returns. */
export function transmit({exchange, backend}: BackendAttempt, {request, fields, id, workspace, body}: AdmittedRequest, {dialect}: Pick<ForwardingContext, 'dialect'>, timeLeftMs: number): void {
	exchange.send({
		method: request.method!,
		path: request.url!,
		headers: outgoingHeaders(request, fields.key, dialect, {
			id, timeLeftMs: Math.max(1, Math.floor(timeLeftMs)), workspace: workspace?.name, server: backend.id,
		}),
		body: body.rest ?? (body.held.length > 0 ? body.held : undefined),
	});
}
