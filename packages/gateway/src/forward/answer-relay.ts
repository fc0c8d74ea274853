import {Buffer} from 'node:buffer';
import {type AdmittedRequest} from './admitted-request.js';
import {validateAttemptAnswer} from './answer-classification.js';
import {AnswerWriter} from './answer-writer.js';
import {type ForwardingContext} from './forwarding-context.js';
import {type BackendAttempt} from './backend-attempt.js';
import {type OpenAttempts} from './open-attempts.js';

/** Answers up to this size are held until they are complete, so that a broken one can be replaced; longer ones are passed on as they come. */
const maxHeldBytes = 262_144;

/** What the answer of a request needs. */
type AnswerRelayOptions = {
	readonly admitted: AdmittedRequest;
	readonly context: ForwardingContext;
	readonly openAttempts: OpenAttempts;
	/** Called when a long answer is not usable; nothing of it has been passed on. */
	readonly onInvalidAnswer: (attempt: BackendAttempt, reason: string) => void;
};

/** Brings a backend server's answer to the caller: short answers whole, long ones as they come. */
export class AnswerRelay {
	readonly #writer: AnswerWriter;

	constructor(private readonly options: AnswerRelayOptions) {
		const {admitted, context} = options;
		this.#writer = new AnswerWriter(admitted.response, admitted.request.method!, context.isDraining);
	}

	/** Takes a piece of an answer; returns false to pause the answer until its attempt is resumed. */
	receive(attempt: BackendAttempt, chunk: Buffer): boolean {
		if (attempt.isStreaming) {
			return this.#forward(attempt, chunk);
		}

		attempt.chunks.push(Buffer.from(chunk));
		attempt.sizeBytes += chunk.length;
		return attempt.sizeBytes <= maxHeldBytes || this.#startStreaming(attempt);
	}

	/** Writes an answer that was held until it was whole. */
	writeHeld({chunks, exchange}: BackendAttempt): void {
		this.#writer.writeWhole(exchange.head!, Buffer.concat(chunks));
	}

	/** Ends an answer that was passed on as it came. */
	end(): void {
		this.#writer.end();
	}

	/** Starts to pass on a long answer; the other attempts end. */
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
