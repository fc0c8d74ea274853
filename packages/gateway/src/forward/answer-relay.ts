import {Buffer} from 'node:buffer';
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
	/** Called when an answer that is too large to buffer is invalid; none of it has reached the caller. */
	readonly onInvalidAnswer: (attempt: BackendAttempt, reason: string) => void;
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
		if (attempt.isStreaming) {
			return this.#forward(attempt, chunk);
		}

		attempt.chunks.push(Buffer.from(chunk));
		attempt.sizeBytes += chunk.length;
		return attempt.sizeBytes <= maxBufferedBytes || this.#startStreaming(attempt);
	}

	/** Writes a buffered answer. */
	writeBuffered({chunks, exchange}: BackendAttempt): void {
		this.#writer.writeComplete(exchange.head!, Buffer.concat(chunks));
	}

	/** Ends a streamed answer. */
	end(): void {
		this.#writer.end();
	}

	/** Starts streaming a large answer and cancels the other attempts. */
	#startStreaming(attempt: BackendAttempt): boolean {
		const {admitted, context, openAttempts, onInvalidAnswer} = this.options;
		const problem = validateAttemptAnswer(attempt, admitted, context);
		if (problem !== undefined) {
			attempt.exchange.cancel();
			onInvalidAnswer(attempt, problem);
			return false;
		}

		attempt.isStreaming = true;
		openAttempts.cancelOthers(attempt);
		this.#writer.writeHead(attempt.exchange.head!);
		const {chunks} = attempt;
		attempt.chunks = [];
		return this.#forward(attempt, Buffer.concat(chunks));
	}

	#forward(attempt: BackendAttempt, chunk: Buffer): boolean {
		return this.#writer.write(chunk, () => {
			attempt.exchange.resume();
		});
	}
}
