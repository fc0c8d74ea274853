import {Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {errorBody, resultCodeTable, type ResultCode} from '@fescuewick/core';
import {endConnectionAfter} from '../server/client-connections.js';

/** Answers whose callers were told to send the body. */
const continued = new WeakSet<ServerResponse>();

/** An error answer of the system itself. */
export type ErrorAnswer = {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly code: ResultCode;
	/** Id of the request, sent in the header `idHeader`. */
	readonly id: string | undefined;
	readonly idHeader: string;
	/** Time after which the caller should retry, in milliseconds. */
	readonly retryMs?: number;
	/** Whether the process stops. */
	readonly isDraining: boolean;
	readonly message?: string;
};

/**
Sends an error answer with its result code. The connection ends behind it if the process stops, or if the caller waits for a request to send the body.
*/
export function sendError({request, response, code, id, idHeader, retryMs, isDraining, message}: ErrorAnswer): void {
	const isClosing = (isDraining || awaitsContinue(request, response)) && endConnectionAfter(response);
	const content = Buffer.from(JSON.stringify(errorBody(code, message, retryMs)));
	response.writeHead(resultCodeTable[code].httpStatus, {
		'content-type': 'application/json',
		'content-length': String(content.length),
		'x-fescuewick-code': String(code),
		...(id === undefined ? {} : {[idHeader]: id}),
		...(retryMs === undefined ? {} : {'retry-after': (retryMs / 1000).toFixed(2)}),
		...(isClosing ? {connection: 'close'} : {}),
	});
	response.end(content);
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
