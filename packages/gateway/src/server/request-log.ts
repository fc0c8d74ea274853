import {type Logger, type TimerService} from '@fescuewick/core';
import {type RequestSummary} from '../forward/forwarding-context.js';

/** Lines a second about requests that were refused without an attempt or could not be read; more would let clients write a log of any length. */
const maxRefusalsPerS = 200;
/** Length to which texts of callers are cut, in characters. */
const maxTextChars = 200;

/** Writes a line for each finished request. Of refused and malformed requests, only a limited number a second has one, and the others are counted. */
export class RequestLog {
	#intervalStartMs: number;
	#refusals = 0;
	#suppressed = 0;

	constructor(private readonly logger: Logger, private readonly timers: TimerService) {
		this.#intervalStartMs = timers.nowMs();
	}

	/** Writes the line of a finished request. */
	write(summary: RequestSummary): void {
		if (summary.attempts !== 0 || this.#mayWrite()) {
			this.logger.info({
				event: 'request', ...summary, id: cut(summary.id), ...(summary.path === undefined ? {} : {path: cut(summary.path)}),
			}, 'request');
		}
	}

	/** Writes the line of a request that is not valid HTTP. */
	writeMalformed(reason: string): void {
		if (this.#mayWrite()) {
			this.logger.info({event: 'malformed-request', reason}, 'rejected a request that is not valid HTTP');
		}
	}

	/** Reports suppressed lines; to be called regularly. */
	check(): void {
		const nowMs = this.timers.nowMs();
		if (nowMs - this.#intervalStartMs < 1000) {
			return;
		}

		this.#intervalStartMs = nowMs;
		this.#refusals = 0;
		if (this.#suppressed > 0) {
			this.logger.warn({event: 'request-lines-suppressed', count: this.#suppressed, limitPerS: maxRefusalsPerS}, 'lines of refused requests were not written');
			this.#suppressed = 0;
		}
	}

	#mayWrite(): boolean {
		this.check();
		this.#refusals++;
		if (this.#refusals > maxRefusalsPerS) {
			this.#suppressed++;
			return false;
		}

		return true;
	}
}

function cut(text: string | number | boolean | undefined): string | number | boolean | undefined {
	return typeof text === 'string' && text.length > maxTextChars ? `${text.slice(0, maxTextChars)}…` : text;
}
