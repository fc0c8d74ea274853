import {Buffer} from 'node:buffer';
import {type AdmittedRequest} from './admitted-request.js';
import {answerProblem} from './answer-verdict.js';
import {AnswerWriter} from './answer-writer.js';
import {type ForwardingContext} from './forwarding-context.js';
import {type Sending} from './sending.js';
import {type Sendings} from './sendings.js';

/** Answers up to this size are held until they are complete, so that a broken one can be replaced; longer ones are passed on as they come. */
const maxHeldBytes = 262_144;

/** What the answer of a request needs. */
type AnswerRelayOptions = {
	readonly admitted: AdmittedRequest;
	readonly context: ForwardingContext;
	readonly sendings: Sendings;
	/** Called when a long answer is not usable; nothing of it has been passed on. */
	readonly onBroken: (sending: Sending, reason: string) => void;
};

/** Brings a backend server's answer to the caller: short answers whole, long ones as they come. */
export class AnswerRelay {
	readonly #writer: AnswerWriter;

	constructor(private readonly options: AnswerRelayOptions) {
		const {admitted, context} = options;
		this.#writer = new AnswerWriter(admitted.response, admitted.request.method!, context.isDraining);
	}

	/** Takes a piece of an answer; returns false to pause the answer until its attempt is resumed. */
	take(sending: Sending, chunk: Buffer): boolean {
		if (sending.isStreaming) {
			return this.#pass(sending, chunk);
		}

		sending.chunks.push(Buffer.from(chunk));
		sending.sizeBytes += chunk.length;
		return sending.sizeBytes <= maxHeldBytes || this.#begin(sending);
	}

	/** Writes an answer that was held until it was whole. */
	writeHeld({chunks, attempt}: Sending): void {
		this.#writer.whole(attempt.head!, Buffer.concat(chunks));
	}

	/** Ends an answer that was passed on as it came. */
	end(): void {
		this.#writer.end();
	}

	/** Starts to pass on a long answer; the other attempts end. */
	#begin(sending: Sending): boolean {
		const {admitted, context, sendings, onBroken} = this.options;
		const problem = answerProblem(sending, admitted, context);
		if (problem !== undefined) {
			sending.attempt.cancel();
			onBroken(sending, problem);
			return false;
		}

		sending.isStreaming = true;
		sendings.cancelOthers(sending);
		this.#writer.begin(sending.attempt.head!);
		const {chunks} = sending;
		sending.chunks = [];
		return this.#pass(sending, Buffer.concat(chunks));
	}

	#pass(sending: Sending, chunk: Buffer): boolean {
		return this.#writer.write(chunk, () => {
			sending.attempt.resume();
		});
	}
}
