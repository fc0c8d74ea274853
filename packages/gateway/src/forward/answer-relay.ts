import {type Buffer} from 'node:buffer';
import {type AdmittedRequest} from './admitted-request.js';
import {validateAttemptAnswer} from './answer-classification.js';
import {AnswerWriter} from './answer-writer.js';
import {type ForwardingContext} from './forwarding-context.js';
import {type BackendAttempt} from './backend-attempt.js';
import {type OpenAttempts} from './open-attempts.js';

/** Answers up to this size are buffered until they are complete, so that the request can be retried if the answer is invalid; larger ones are streamed. */
const maxBufferedBytes = 262_144;

/** Dependencies of an answer relay. */
type AnswerRelayOptions = {
	readonly admitted: AdmittedRequest;
	readonly context: ForwardingContext;
	readonly openAttempts: OpenAttempts;
	/** Called when an answer is found to be invalid before its end; only if it was streamed, some of it has reached the caller. */
	readonly onInvalidAnswer: (attempt: BackendAttempt, reason: string) => void;
	/** Called when the head of a large answer is about to be passed on, before the rest has arrived. */
	readonly onStreaming: (attempt: BackendAttempt) => void;
};

/** Passes a backend server's answer on to the caller: buffers small answers and streams large ones. */
export class AnswerRelay {
	readonly #writer: AnswerWriter;

	constructor(private readonly options: AnswerRelayOptions) {
		const {admitted, context} = options;
		this.#writer = new AnswerWriter(admitted.response, admitted.request.method!, context.isDraining);
	}

	/** Receives a chunk of an answer; returns false to pause the exchange until `resume` is called on it. */
	receive(attempt: BackendAttempt, chunk: Buffer): boolean {
		const {maxAnswerBytes} = this.options.context;
		attempt.sizeBytes += chunk.length;
		if (attempt.sizeBytes > maxAnswerBytes) {
			return this.#reject(attempt, `the answer is longer than ${maxAnswerBytes} bytes`);
		}

		if (attempt.isStreaming) {
			return this.#forward(attempt, chunk);
		}

		attempt.buffered.append(chunk);
		return attempt.sizeBytes <= maxBufferedBytes || this.#startStreaming(attempt);
	}

	/** Writes a buffered answer. */
	writeBuffered({buffered, exchange}: BackendAttempt): void {
		this.#writer.writeComplete(exchange.head!, buffered.take());
	}

	/** Ends a streamed answer. */
	end(): void {
		this.#writer.end();
	}

	/** Starts streaming a large answer and cancels the other attempts. */
	#startStreaming(attempt: BackendAttempt): boolean {
		const {admitted, context, openAttempts, onStreaming} = this.options;
		const problem = validateAttemptAnswer(attempt, admitted, context);
		if (problem !== undefined) {
			return this.#reject(attempt, problem);
		}

		attempt.isStreaming = true;
		onStreaming(attempt);
		openAttempts.cancelOthers(attempt);
		this.#writer.writeHead(attempt.exchange.head!);
		return this.#forward(attempt, attempt.buffered.take());
	}

	/** Ends an attempt whose answer must not be passed on any further. */
	#reject(attempt: BackendAttempt, reason: string): false {
		attempt.exchange.cancel();
		this.options.onInvalidAnswer(attempt, reason);
		return false;
	}

	#forward(attempt: BackendAttempt, chunk: Buffer): boolean {
		return this.#writer.write(chunk, () => {
			attempt.exchange.resume();
		});
	}
}
