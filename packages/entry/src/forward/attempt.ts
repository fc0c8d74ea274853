import {type Buffer} from 'node:buffer';
import {type Readable} from 'node:stream';
import {type Dispatcher} from 'undici';
import {type BackendConnection} from '../backends/connections.js';

/** A request as sent to a backend server. */
export type OutgoingRequest = {
	readonly method: string;
	readonly path: string;
	readonly headers: string[];
	readonly body: Buffer | Readable | undefined;
};

/** Head of a backend server's answer; header names are in lower case. */
export type AnswerHead = {readonly status: number; readonly headers: Record<string, string | string[]>};

/** Receives what happens to an attempt; after `onEnd` or `onFail` nothing more comes. */
export type AttemptListener = {
	onHead(attempt: Attempt, head: AnswerHead): void;
	/** Returns false to pause the answer until `resume`. */
	onData(attempt: Attempt, chunk: Buffer): boolean;
	onEnd(attempt: Attempt): void;
	onFail(attempt: Attempt, error: Error): void;
};

/** One sending of a request over one connection. */
export class Attempt {
	/** True from the moment the request was handed to a connected socket: it may have run. */
	written = false;
	head: AnswerHead | undefined;
	ended = false;
	#controller: Dispatcher.DispatchController | undefined;

	constructor(readonly connection: BackendConnection, private readonly listener: AttemptListener) {}

	/** Sends the request; to be called once. */
	send(request: OutgoingRequest): void {
		try {
			this.connection.client.dispatch({
				method: request.method, path: request.path, headers: request.headers, body: request.body ?? null,
			}, this.#handler());
		} catch (error) {
			this.#finishWithError(error as Error);
		}
	}

	/** Stops the attempt; an unsent request is not sent any more, a late answer goes nowhere. The listener is not called. */
	cancel(): void {
		if (!this.ended) {
			this.ended = true;
			this.#controller?.abort(new Error('attempt cancelled'));
			void this.connection.client.destroy();
		}
	}

	/** Continues an answer that `onData` paused. */
	resume(): void {
		if (!this.ended) {
			this.#controller?.resume();
		}
	}

	#handler(): Dispatcher.DispatchHandler {
		return {
			onRequestStart: controller => {
				// The client would hand a request over again after losing its connection; one attempt is one sending.
				if (this.written || this.ended) {
					controller.abort(new Error('attempt is over'));
					return;
				}

				this.#controller = controller;
				this.written = true;
			},
			onResponseStart: (_controller, status, headers) => {
				// Informational answers precede the real one.
				if (!this.ended && status >= 200) {
					this.head = {status, headers: headers as AnswerHead['headers']};
					this.listener.onHead(this, this.head);
				}
			},
			onResponseData: (controller, chunk) => {
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
