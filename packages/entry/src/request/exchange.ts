import {Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {
	errorBody, resultCodeTable, ResultCode, type FescuewickError,
} from '@fescuewick/core';
import {type StoredAnswer} from '@fescuewick/wire';
import {type AnswerHead} from '../forward/attempt.js';
import {type RouteMatch} from '../view/route-table.js';
import {answerHeaders} from './headers.js';

/** Whether the claim of an order was decided before the request ended. */
export enum OrderState {
	none = 'none',
	unchecked = 'unchecked',
	decided = 'decided',
}

/** One request of a caller and its answer. */
export class Exchange {
	match: RouteMatch | undefined;
	workspace: string | undefined;
	order = OrderState.none;
	/** Code of the answer; undefined while there is none. */
	code: ResultCode | undefined;
	server: string | undefined;
	attempts = 0;
	queuedMs = 0;
	/** Bytes of the answer's body so far. */
	sizeBytes = 0;
	/** Whether sending to a backend server may have begun. */
	sending = false;
	/** The caller closed its connection before the answer was complete. */
	callerLeft = false;
	#callerLeftAction: (() => void) | undefined;

	constructor(readonly request: IncomingMessage, readonly response: ServerResponse, private readonly origin: {readonly id: string; readonly arrivedAtMs: number; readonly closing: () => boolean}) {
		response.once('close', () => {
			if (!response.writableFinished) {
				this.callerLeft = true;
				this.#callerLeftAction?.();
			}
		});
	}

	get id(): string {
		return this.origin.id;
	}

	get arrivedAtMs(): number {
		return this.origin.arrivedAtMs;
	}

	/** Replaces the action taken when the caller leaves; runs it at once if it has left. */
	onCallerLeft(action: (() => void) | undefined): void {
		this.#callerLeftAction = action;
		if (this.callerLeft) {
			action?.();
		}
	}

	/** Starts the answer of a backend server. */
	begin(head: AnswerHead): void {
		this.code = ResultCode.ok;
		const headers = answerHeaders(head.headers);
		if (head.headers['transfer-encoding'] !== undefined) {
			delete headers['content-length'];
		}

		this.#writeHead(head.status, headers);
	}

	/** Writes a piece of the answer; returns false if the caller reads more slowly. */
	write(chunk: Uint8Array): boolean {
		this.sizeBytes += chunk.length;
		return this.callerLeft || this.response.write(chunk);
	}

	/** Ends a complete answer. */
	end(): void {
		this.response.end();
	}

	/** Ends an answer that was cut: the caller sees a reset, never an end. */
	reset(error: FescuewickError): void {
		this.code = error.code;
		this.request.socket.resetAndDestroy();
	}

	/** Sends the first answer of a repeated order. */
	replay({status, headers, body}: StoredAnswer): void {
		this.code = ResultCode.replayed;
		this.#writeHead(status, {...headers, 'idempotent-replay': 'true', 'content-length': String(body.length)});
		this.response.end(body);
	}

	/** Answers with a numbered error. */
	refuse(error: FescuewickError): void {
		this.code = error.code;
		if (this.callerLeft || this.response.headersSent) {
			return;
		}

		const body = {
			...errorBody(error.code, error.message, error.retryAfterMs),
			requestId: this.id,
			// An order that was refused before its claim was looked at may have run in an earlier attempt.
			...(this.order === OrderState.unchecked ? {order: 'unchecked'} : {}),
		};
		const content = Buffer.from(JSON.stringify(body));
		this.#writeHead(resultCodeTable[error.code].httpStatus, {
			'content-type': 'application/json',
			'content-length': String(content.length),
			...(error.retryAfterMs === undefined ? {} : {'retry-after': String(Math.ceil(error.retryAfterMs / 1000))}),
			// What is left of an unread body must not be read as the next request.
			...(this.request.complete && error.code !== ResultCode.keyWithdrawn ? {} : {connection: 'close'}),
		});
		this.response.end(content);
	}

	#writeHead(status: number, headers: Record<string, string | string[]>): void {
		if (this.callerLeft) {
			return;
		}

		headers['x-fescuewick-code'] = String(this.code);
		headers['x-fescuewick-request-id'] = this.id;
		if (this.origin.closing()) {
			headers.connection = 'close';
		}

		this.response.writeHead(status, headers);
	}
}
