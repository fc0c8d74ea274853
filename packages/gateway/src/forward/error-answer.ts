import {Buffer} from 'node:buffer';
import {type ServerResponse} from 'node:http';
import {errorBody, resultCodeTable, type ResultCode} from '@fescuewick/core';

/** An error answer of the system itself. */
export type ErrorAnswer = {
	readonly response: ServerResponse;
	readonly code: ResultCode;
	/** Id of the request, sent in the header `idHeader`. */
	readonly id: string | undefined;
	readonly idHeader: string;
	/** Time after which the caller should retry, in milliseconds. */
	readonly retryMs?: number;
	/** Whether the connection closes after the answer. */
	readonly isClosing: boolean;
	readonly message?: string;
};

/** Sends an error answer with its result code. */
export function sendError({response, code, id, idHeader, retryMs, isClosing, message}: ErrorAnswer): void {
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
