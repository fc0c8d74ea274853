import {Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {
	errorBody, resultCodeTable, ResultCode, type FescuewickError,
} from '@fescuewick/core';
import {type StoredAnswer} from '@fescuewick/wire';
import {type AnswerHead} from '../forward/attempt.js';
import {type RouteMatch} from '../view/route-table.js';
import {answerHeaders} from './headers.js';

/** State of an order's claim when the request ends; `none` for requests without an order key. */
export enum OrderState {
	none = 'none',
	unchecked = 'unchecked',
	decided = 'decided',
}

/** How a request came, and how its connection goes on. */
export type ExchangeOrigin = {
	readonly id: string;
	readonly arrivedAtMs: number;
	/** Whether connections are to be closed, because the daemon stops. */
	readonly closing: () => boolean;
	/** Ends the connection behind the answer if no request was read behind this one; returns whether it does. */
	readonly endConnection: () => boolean;
};

/** A request of a caller and its answer. */
export class Exchange {
	match: RouteMatch | undefined;
	workspace: string | undefined;
	order = OrderState.none;
	/** Result code of the answer; undefined until it starts. */
	code: ResultCode | undefined;
	server: string | undefined;
	attempts = 0;
	queuedMs = 0;
	/** Bytes of the answer's body that were written so far. */
	sizeBytes = 0;
	/** Whether the request may have been sent to a backend server. */
	sending = false;
	/** Whether the caller closed its connection before the answer was complete. */
	callerLeft = false;
	#callerLeftAction: (() => void) | undefined;
	readonly #onClose = () => {
		if (!this.response.writableFinished) {
			this.callerLeft = true;
			this.#callerLeftAction?.();
		}
	};

	constructor(readonly request: IncomingMessage, readonly response: ServerResponse, private readonly origin: ExchangeOrigin) {
		// The response of a request that waits behind another one on its connection has no event for the end of the connection.
		request.socket.once('close', this.#onClose);
	}

	/** To be called when the request has ended. */
	dispose(): void {
		this.request.socket.off('close', this.#onClose);
	}

	get id(): string {
		return this.origin.id;
	}

	get arrivedAtMs(): number {
		return this.origin.arrivedAtMs;
	}

	/** Replaces the action for a disconnect of the caller; runs it at once if the caller has already disconnected. */
	onCallerLeft(action: (() => void) | undefined): void {
		this.#callerLeftAction = action;
		if (this.callerLeft) {
			action?.();
		}
	}

	/** Writes the head of a backend server's answer. */
	begin(head: AnswerHead): void {
		this.code = ResultCode.ok;
		const headers = answerHeaders(head.headers);
		if (head.headers['transfer-encoding'] !== undefined) {
			delete headers['content-length'];
		}

		this.#writeHead(head.status, headers);
	}

	/** Writes a chunk of the answer; returns false if the caller's buffer is full. */
	write(chunk: Uint8Array): boolean {
		this.sizeBytes += chunk.length;
		return this.callerLeft || this.response.write(chunk);
	}

	/** Ends a complete answer. */
	end(): void {
		this.response.end();
	}

	/** Resets the connection after a truncated answer, so that the caller does not take it for complete. */
	reset(error: FescuewickError): void {
		this.code = error.code;
		this.request.socket.resetAndDestroy();
	}

	/** Answers a repeated order with the stored answer of its first attempt. */
	replay({status, headers, body}: StoredAnswer): void {
		this.code = ResultCode.replayed;
		this.#writeHead(status, {...headers, 'idempotent-replay': 'true', 'content-length': String(body.length)});
		this.response.end(body);
	}

	/** Answers with an error and its result code. */
	refuse(error: FescuewickError): void {
		this.code = error.code;
		if (this.callerLeft || this.response.headersSent) {
			return;
		}

		const body = {
			...errorBody(error.code, error.message, error.retryAfterMs),
			requestId: this.id,
			// If the claim of an order was not checked, an earlier attempt may have run.
			...(this.order === OrderState.unchecked ? {order: 'unchecked'} : {}),
		};
		const content = Buffer.from(JSON.stringify(body));
		this.#writeHead(resultCodeTable[error.code].httpStatus, {
			'content-type': 'application/json',
			'content-length': String(content.length),
			...(error.retryAfterMs === undefined ? {} : {'retry-after': String(Math.ceil(error.retryAfterMs / 1000))}),
		}, !this.request.complete || error.code === ResultCode.keyWithdrawn);
		this.response.end(content);
	}

	/** Writes the head of an answer; `mustClose` says that the connection is to be closed although the daemon goes on, as with the rest of an unread body on it. */
	#writeHead(status: number, headers: Record<string, string | string[]>, mustClose = false): void {
		if (this.callerLeft) {
			return;
		}

		headers['x-fescuewick-code'] = String(this.code);
		headers['x-fescuewick-request-id'] = this.id;
		if ((mustClose || this.origin.closing()) && this.origin.endConnection()) {
			headers.connection = 'close';
		}

		this.response.writeHead(status, headers);
	}
}
