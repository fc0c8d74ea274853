import {type Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {type TimerService} from '@fescuewick/core';
import {dropUnusedBody} from '@fescuewick/entry/http';
import {ClientLimit, type ClientLimits, type ClientTotals} from './client-limits.js';
import {
	ConnectionEvent, ConnectionState, initialConnectionState, nextConnectionState,
} from './connection-state.js';
import {ParserInput} from './parser-input.js';
import {ReaderProgress} from './reader-progress.js';
import {UnparsedData} from './unparsed-data.js';

/** Bytes handed to the HTTP parser at once; it emits all requests in them, the shortest of which have 18 bytes. */
const pieceBytes = 2048;
/** The same while all connections together have more than `crowdedFraction` of the requests that they may have. */
const crowdedPieceBytes = 128;
const crowdedFraction = 1 / 8;
/** Requests of a connection that run at once before the length of its responses is known. */
const firstWindow = 4;
/** Fraction of the unsent bytes of all connections beyond which a new connection runs one request at a time until it has read a response. */
const shortFraction = 1 / 4;
/** Assumed length of a response before a longer one was sent on the connection, in bytes. */
const minResponseBytes = 4096;
/** Pause after each read of a body whose request is answered already, in milliseconds. Without it, such bodies come faster than their memory is freed; with it, 6 MB/s are read, more than callers send. */
const unusedBodyPauseMs = 10;

/** Dependencies of a client's connection. */
export type ClientConnectionOptions = {
	readonly socket: Socket;
	readonly limits: ClientLimits;
	readonly totals: ClientTotals;
	readonly timers: TimerService;
	/** Called when the connection is paused or closed at a limit that it checks itself. */
	readonly onLimit: (limit: ClientLimit) => void;
};

/**
Bounds what one connection of a client holds.

Node.js parses everything that was read from a socket in one call and emits all requests in it, and pausing the socket in between does not stop that. Therefore the data goes to the parser in pieces, and only while the connection is below its limits.
*/
export class ClientConnection {
	/** When the last request came or the last response was sent. */
	activeAtMs: number;
	/** Responses that were sent. */
	answeredCount = 0;
	readonly #socket: Socket;
	/** Responses that are not complete or not yet handed to the system, in the order of their requests. */
	readonly #unanswered = new Set<ServerResponse>();
	/** Requests that were parsed and are handled only when responses before them are sent. */
	readonly #waiting: Array<{readonly response: ServerResponse; readonly start: () => void}> = [];
	readonly #unparsed: UnparsedData;
	readonly #input: ParserInput;
	#unsentBytes = 0;
	/** Bytes of the last request's body that are certainly still to come. */
	#bodyBytesLeft = 0;
	#lastRequest: IncomingMessage | undefined;
	#lastResponse: ServerResponse | undefined;
	/** Whether the connection ends behind `#lastResponse`, so that no further request is read. */
	#endsAfterLastResponse = false;
	#isResting = false;
	#responseBytes = minResponseBytes;
	#writtenBytes = 0;
	#state = initialConnectionState;
	/** Sent after the responses to all requests when the connection ends because of what the client sent. */
	#closingResponse: string | undefined;
	#isParsing = false;
	#isReleaseScheduled = false;
	readonly #progress: ReaderProgress;

	constructor(private readonly options: ClientConnectionOptions) {
		const {socket, timers} = options;
		this.#socket = socket;
		this.activeAtMs = timers.nowMs();
		this.#progress = new ReaderProgress(socket, timers);
		this.#unparsed = new UnparsedData(options.totals);
		this.#input = new ParserInput(socket, {
			onData: data => {
				this.#receive(data);
			},
			onResume: () => {
				this.#scheduleRelease();
				return this.#unparsed.isEmpty && !this.#isResting;
			},
		});
		// The HTTP server calls this behind a response that closes the connection, and would close it while the client may still send.
		socket.destroySoon = () => {
			this.#end();
			socket.end();
		};

		socket.once('close', () => {
			this.#drop();
		});
	}

	get state(): ConnectionState {
		return this.#state;
	}

	get isClosed(): boolean {
		return this.#socket.destroyed;
	}

	/** Whether no request of the client is being read, handled or answered. */
	get isIdle(): boolean {
		return this.#unanswered.size === 0 && this.#unparsed.isEmpty;
	}

	get unansweredCount(): number {
		return this.#unanswered.size;
	}

	/** Requests that were parsed and whose handling has not begun. */
	get waitingCount(): number {
		return this.#waiting.length;
	}

	get unsentBytes(): number {
		return this.#unsentBytes;
	}

	get unparsedBytes(): number {
		return this.#unparsed.sizeBytes;
	}

	/** Time for which the client has taken nothing of the responses that wait for it, in milliseconds. */
	get stalledMs(): number {
		return this.#progress.stalledMs;
	}

	/** Counts a request that was parsed, unless it came behind the last one; called before it is handled. */
	recordRequest(request: IncomingMessage, response: ServerResponse): void {
		if (this.#endsAfterLastResponse) {
			return;
		}

		this.#lastRequest = request;
		this.#lastResponse = response;
		this.#bodyBytesLeft = Number(request.headers['content-length'] ?? 0) || 0;
		this.activeAtMs = this.options.timers.nowMs();
		this.#unanswered.add(response);
		this.options.totals.unanswered++;
		response.once('prefinish', () => {
			this.#measureUnsent();
			dropUnusedBody(request, this.options.timers, () => {
				this.options.onLimit(ClientLimit.unusedBody);
				this.close();
			});
		});
		response.once('finish', () => {
			this.#recordSent(response);
		});
	}

	/** Handles a request now, or when enough of the responses before it are sent; one behind the last request is not handled. */
	handle(response: ServerResponse, start: () => void): void {
		if (!this.#unanswered.has(response)) {
			return;
		}

		if (this.#waiting.length === 0 && this.#mayStart(this.#unanswered.size - 1)) {
			start();
		} else {
			this.#waiting.push({response, start});
		}
	}

	/** Updates what the client has taken of its responses; to be called regularly. */
	check(): void {
		this.#progress.check();
		this.#measureUnsent();
		this.#scheduleRelease();
	}

	/** Drops what the client still sends, and ends the connection after the responses to the requests before, with a last response in their order. */
	endWith(closingResponse: string): void {
		this.#end();
		if (!this.#endsAfterLastResponse) {
			this.#closingResponse = closingResponse;
			this.#endIfAnswered();
		}
	}

	/** Ends the connection behind a response whose head is about to be written, if no request was read behind its own; returns whether it does. Requests that come later are not read. */
	endAfter(response: ServerResponse): boolean {
		if (response !== this.#lastResponse) {
			return false;
		}

		this.#endsAfterLastResponse = true;
		this.#scheduleRelease();
		return true;
	}

	/** Closes the connection at once. */
	close(): void {
		this.#socket.destroy();
		this.#drop();
	}

	#end(): void {
		if (!this.#send(ConnectionEvent.ended)) {
			return;
		}

		this.activeAtMs = this.options.timers.nowMs();
		this.#unparsed.drop();
		for (const response of this.#waiting.splice(0).map(({response}) => response)) {
			this.#unanswered.delete(response);
			this.options.totals.unanswered--;
		}

		// A connection that is closed with unread data loses its last response.
		this.#input.setFlowing(true);
	}

	#endIfAnswered(): void {
		if (this.#closingResponse !== undefined && this.#unanswered.size === 0) {
			this.#socket.end(this.#closingResponse);
		}
	}

	#receive(data: Buffer): void {
		if (this.#state === ConnectionState.closing || this.#socket.writableEnded) {
			return;
		}

		this.#unparsed.append(data);
		this.#parseOn();
		if (this.#lastRequest?.complete === false && this.#lastResponse!.writableEnded) {
			this.#rest();
		}
	}

	/** Reads nothing for a short time. */
	#rest(): void {
		this.#isResting = true;
		this.#input.setFlowing(false);
		this.options.timers.after(unusedBodyPauseMs, () => {
			this.#isResting = false;
			this.#parseOn();
		});
	}

	/** Parses what was received as far as the limits allow, and pauses the socket if something is left. */
	#parseOn(): void {
		if (this.#isParsing) {
			return;
		}

		this.#isParsing = true;
		let limit: ClientLimit | undefined;
		while (!this.#unparsed.isEmpty && this.#hasInput && !this.#input.isPausedByServer) {
			limit = this.#reachedLimit();
			if (limit !== undefined && this.#lastRequest?.complete !== false) {
				break;
			}

			const piece = this.#unparsed.take(Math.max(this.#isCrowded ? crowdedPieceBytes : pieceBytes, this.#bodyBytesLeft));
			this.#bodyBytesLeft = Math.max(0, this.#bodyBytesLeft - piece.length);
			this.#input.parse(piece);
		}

		this.#isParsing = false;
		if (!this.#hasInput) {
			// Requests behind a response that closes the connection count as not read.
			this.#end();
			return;
		}

		if (this.#unparsed.isEmpty) {
			this.#send(ConnectionEvent.belowLimits);
			if (!this.#input.isPausedByServer && !this.#isResting && this.#socket.isPaused()) {
				this.#input.setFlowing(true);
			}
		} else {
			this.#input.setFlowing(false);
			if (limit !== undefined && this.#send(ConnectionEvent.limitReached)) {
				this.options.onLimit(limit);
			}
		}
	}

	/** Whether the connection may still read requests. */
	get #hasInput(): boolean {
		const isRequestRead = this.#endsAfterLastResponse && this.#lastRequest!.complete;
		return !isRequestRead && this.#state !== ConnectionState.closing && !this.#socket.destroyed && !this.#socket.writableEnded;
	}

	/** Whether all connections together have so many requests that few of one may be parsed at once. */
	get #isCrowded(): boolean {
		const {totals, limits} = this.options;
		return totals.unanswered > limits.maxUnansweredTotal * crowdedFraction;
	}

	/** The limit that the connection has reached; one without a request may always send one. */
	#reachedLimit(): ClientLimit | undefined {
		const {limits, totals} = this.options;
		if (this.#unanswered.size === 0) {
			return undefined;
		}

		if (this.#unanswered.size >= limits.maxUnanswered) {
			return ClientLimit.unanswered;
		}

		if (this.#unsentBytes >= limits.maxUnsentBytes) {
			return ClientLimit.unsent;
		}

		if (totals.unanswered >= limits.maxUnansweredTotal) {
			return ClientLimit.unansweredTotal;
		}

		return totals.unsentBytes >= limits.maxUnsentBytesTotal ? ClientLimit.unsentTotal : undefined;
	}

	/** Whether a request may be handled besides `others`, whose responses may all be as long as the longest so far. */
	#mayStart(others: number): boolean {
		const {limits, totals} = this.options;
		return others === 0
			|| (others < (this.answeredCount === 0 ? firstWindow : limits.maxUnanswered)
				&& (this.answeredCount > 0 || totals.unsentBytes < limits.maxUnsentBytesTotal * shortFraction)
				&& others * this.#responseBytes < limits.maxUnsentBytes
				&& this.#unsentBytes < limits.maxUnsentBytes
				&& totals.unsentBytes < limits.maxUnsentBytesTotal);
	}

	#recordSent(response: ServerResponse): void {
		if (this.#unanswered.delete(response)) {
			this.options.totals.unanswered--;
		}

		// The next response is not written to the socket before this listener has run.
		this.#responseBytes = Math.max(this.#responseBytes, this.#socket.bytesWritten - this.#writtenBytes);
		this.#writtenBytes = this.#socket.bytesWritten;
		this.answeredCount++;
		this.activeAtMs = this.options.timers.nowMs();
		this.#measureUnsent();
		this.#endIfAnswered();
		this.#scheduleRelease();
	}

	#measureUnsent(): void {
		if (this.#socket.destroyed) {
			return;
		}

		let unsentBytes = this.#socket.writableLength;
		for (const response of this.#unanswered) {
			// That of the response which is being written includes the socket's.
			unsentBytes += response.socket === null ? response.writableLength : 0;
		}

		this.options.totals.unsentBytes += unsentBytes - this.#unsentBytes;
		this.#unsentBytes = unsentBytes;
	}

	/** Goes on with waiting requests and unparsed data in a later turn of the event loop, so that other connections are read in between. */
	#scheduleRelease(): void {
		if (this.#isReleaseScheduled || (this.#waiting.length === 0 && this.#unparsed.isEmpty)) {
			return;
		}

		this.#isReleaseScheduled = true;
		setImmediate(() => {
			this.#isReleaseScheduled = false;
			while (this.#hasInput && this.#waiting.length > 0 && this.#mayStart(this.#unanswered.size - this.#waiting.length)) {
				this.#waiting.shift()!.start();
			}

			this.#parseOn();
		});
	}

	#send(event: ConnectionEvent): boolean {
		const next = nextConnectionState(this.#state, event);
		this.#state = next ?? this.#state;
		return next !== undefined;
	}

	#drop(): void {
		const {totals} = this.options;
		this.#end();
		totals.unanswered -= this.#unanswered.size;
		this.#unanswered.clear();
		totals.unsentBytes -= this.#unsentBytes;
		this.#unsentBytes = 0;
	}
}
