import {Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {
	errorBody, resultCodeTable, type ResultCode, type TimerService,
} from '@fescuewick/core';
import {RequestFraming} from '@fescuewick/entry/http';

/** Answers whose callers were told to send the body. */
const continued = new WeakSet<ServerResponse>();

/** Longest time for which the rest of a refused request's body is read, in milliseconds. */
const maxDrainMs = 2000;

/** An error answer of the system itself. */
export type ErrorAnswer = {
	readonly request: IncomingMessage;
	readonly timers: TimerService;
	readonly response: ServerResponse;
	readonly code: ResultCode;
	/** Id of the request, sent in the header `idHeader`. */
	readonly id: string | undefined;
	readonly idHeader: string;
	/** Time after which the caller should retry, in milliseconds. */
	readonly retryMs?: number;
	/** Whether the connection closes after the request. */
	readonly isClosing: boolean;
	readonly message?: string;
};

/**
Sends an error answer with its result code.

Closing a connection whose data has not been read resets it, and the caller may lose the answer. Therefore the rest of the body is read and dropped first, unless the caller waits for a request to send it.
*/
export function sendError({request, response, timers, code, id, idHeader, retryMs, isClosing, message}: ErrorAnswer): void {
	const isBodyMissing = awaitsContinue(request, response);
	const isBodyComing = !request.complete && !isBodyMissing;
	const content = Buffer.from(JSON.stringify(errorBody(code, message, retryMs)));
	response.writeHead(resultCodeTable[code].httpStatus, {
		'content-type': 'application/json',
		'content-length': String(content.length),
		'x-fescuewick-code': String(code),
		...(id === undefined ? {} : {[idHeader]: id}),
		...(retryMs === undefined ? {} : {'retry-after': (retryMs / 1000).toFixed(2)}),
		...((isClosing && !isBodyComing) || isBodyMissing ? {connection: 'close'} : {}),
	});
	response.end(content);
	if (isBodyComing) {
		drainBody(request, timers, isClosing);
	}
}

/** Whether the caller sends the body of its request only after it was told to continue, and was not told so yet. */
export function awaitsContinue({headers}: IncomingMessage, response: ServerResponse): boolean {
	return headers.expect?.toLowerCase() === '100-continue' && !continued.has(response);
}

/** Tells a caller that waits for it to send the body of its request. */
export function sendContinue(request: IncomingMessage, response: ServerResponse): void {
	if (awaitsContinue(request, response)) {
		continued.add(response);
		response.writeContinue();
	}
}

/** Reads and drops the rest of a body for a limited time. */
function drainBody(request: IncomingMessage, timers: TimerService, isClosing: boolean): void {
	const {socket} = request;
	const cancel = timers.after(maxDrainMs, () => {
		socket.destroy();
	});
	request.once('close', () => {
		cancel();
		if (isClosing) {
			socket.end();
		}
	});
	const framing = new RequestFraming(request);
	request.on('readable', () => {
		for (let chunk = request.read() as Buffer | null; chunk !== null; chunk = request.read() as Buffer | null) {
			if (framing.problem !== undefined) {
				// Reading such a body to its end would keep the process busy, so its caller may lose the answer.
				socket.destroy();
				return;
			}
		}
	});
}
