import {type Buffer} from 'node:buffer';
import {type Readable} from 'node:stream';
import {type Dispatcher} from 'undici';
import {type BackendConnection} from '../backends/connections.js';
import {invalidStatusError} from '../backends/status-check.js';

/** A request in the form in which it is sent to a backend server. */
export type OutgoingRequest = {
	readonly method: string;
	readonly path: string;
	readonly headers: string[];
	readonly body: Buffer | Readable | undefined;
};

/** Head of a backend server's answer; header names are in lower case. */
export type AnswerHead = {readonly status: number; readonly headers: Record<string, string | string[]>};

/** Receives the events of an attempt; no event follows `onEnd` or `onFail`. */
export type AttemptListener = {
	onHead(attempt: Attempt, head: AnswerHead): void;
	/** Returns false to pause the answer until `resume`. */
	onData(attempt: Attempt, chunk: Buffer): boolean;
	onEnd(attempt: Attempt): void;
	onFail(attempt: Attempt, error: Error): void;
};

/** Informational answers that a server may send before the final one. */
const maxInformationalAnswers = 16;

/** Sends a request once over one connection. */
export class Attempt {
	/** Whether the request was passed to a connected socket; it may have run from then on. */
	written = false;
	head: AnswerHead | undefined;
	ended = false;
	#informationalAnswers = 0;
	#controller: Dispatcher.DispatchController | undefined;

	constructor(readonly connection: BackendConnection, private readonly listener: AttemptListener) {}

	/** Sends the request; must be called only once. */
	send(request: OutgoingRequest): void {
		this.connection.allowance.reset();
		try {
			this.connection.client.dispatch({
				method: request.method, path: request.path, headers: request.headers, body: request.body ?? null,
			}, this.#handler());
		} catch (error) {
			this.#finishWithError(error as Error);
		}
	}

	/** Cancels the attempt without calling the listener: an unsent request is not sent, a late answer is discarded. */
	cancel(): void {
		if (!this.ended) {
			this.ended = true;
			this.#controller?.abort(new Error('attempt cancelled'));
			void this.connection.client.destroy();
		}
	}

	/** Resumes an answer that `onData` paused. */
	resume(): void {
		if (!this.ended) {
			this.#controller?.resume();
		}
	}

	#handler(): Dispatcher.DispatchHandler {
		return {
			onRequestStart: controller => {
				// The client would resend the request after losing its connection; an attempt sends it only once.
				if (this.written || this.ended) {
					controller.abort(new Error('attempt was already sent or has ended'));
					return;
				}

				this.#controller = controller;
				this.written = true;
			},
			onResponseStart: (controller, status, headers) => {
				if (this.ended) {
					return;
				}

				const statusError = invalidStatusError(status);
				if (statusError !== undefined) {
					controller.abort(statusError);
					return;
				}

				// Informational (1xx) answers precede the final one.
				if (status >= 200) {
					this.head = {status, headers: headers as AnswerHead['headers']};
					this.listener.onHead(this, this.head);
				} else if (++this.#informationalAnswers > maxInformationalAnswers) {
					controller.abort(new Error(`the server sent more than ${maxInformationalAnswers} informational answers`));
				}
			},
			onResponseData: (controller, chunk) => {
				this.connection.allowance.recordBody(chunk.length);
				if (!this.ended && !this.listener.onData(this, chunk)) {
					controller.pause();
				}
			},
			onResponseEnd: () => {
				if (!this.ended) {
					this.ended = true;
					this.listener.onEnd(this);
				}
			},
			onResponseError: (_controller, error) => {
				this.#finishWithError(error);
			},
		};
	}

	#finishWithError(error: Error): void {
		if (!this.ended) {
			this.ended = true;
			this.listener.onFail(this, error);
		}
	}
}
