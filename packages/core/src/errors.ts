import VError from 'verror';
import {
	ResultCode, resultCodeName, resultCodeTable, type Outcome,
} from './result-codes.js';

/** An error with a numbered result code; `VError.cause` returns its cause, if any. */
export class FescuewickError extends VError {
	readonly code: ResultCode;
	readonly retryAfterMs: number | undefined;

	constructor(code: ResultCode, message: string, options: {cause?: unknown; retryAfterMs?: number; info?: Record<string, unknown>} = {}) {
		super({
			name: 'FescuewickError',
			cause: options.cause instanceof Error ? options.cause : undefined,
			info: {code, ...options.info},
		}, '%s', message);
		this.code = code;
		this.retryAfterMs = options.retryAfterMs;
	}

	/** What a caller may conclude about the request that failed with this error. */
	get outcome(): Outcome {
		return resultCodeTable[this.code].outcome;
	}
}

/** The body of an error answer, in HTTP responses and in frames. */
export type ErrorBody = {
	readonly code: ResultCode;
	readonly name: string;
	readonly outcome: Outcome;
	readonly message: string;
	readonly retryAfterMs?: number;
};

/** Builds the answer body for a result code; without a message, the table's text is used. */
export function errorBody(code: ResultCode, message?: string, retryAfterMs?: number): ErrorBody {
	const info = resultCodeTable[code];
	return {
		code,
		name: resultCodeName(code),
		outcome: info.outcome,
		message: message ?? info.text,
		...(retryAfterMs === undefined ? {} : {retryAfterMs}),
	};
}

/** Returns a `FescuewickError` unchanged; wraps any other error with `code`. */
export function toFescuewickError(error: unknown, code = ResultCode.internal): FescuewickError {
	if (error instanceof FescuewickError) {
		return error;
	}

	return new FescuewickError(code, error instanceof Error ? error.message : String(error), {cause: error});
}
