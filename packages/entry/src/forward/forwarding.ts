import {
	DecisionKind, FescuewickError, logDecision, ResultCode, type Cancel, type Logger, type TimerService,
} from '@fescuewick/core';
import {type Backend} from '../backends/backend.js';
import {type BackendLease, type BackendPool} from '../backends/backend-pool.js';
import {type RequestBody} from '../request/body-reader.js';
import {Attempt, type AnswerHead, type AttemptListener} from './attempt.js';
import {type LatencyWindow} from './latency-window.js';
import {type RetryBudget} from './retry-budget.js';

const shedRetryAfterMs = 500;
/** A timed-out attempt counts as a failure of its server only if it lasted longer than this multiple of the server's mean latency. */
const timeoutFailureFactor = 3;
/** Shortest hedge delay: with answers in less than 1 ms, every garbage collection pause caused hedges and doubled the cost of a request. */
const minHedgeMs = 10;

/** Receives the selected answer; `write` returns false to pause it until `Forwarding.resume`. */
export type AnswerSink = {
	head(head: AnswerHead): void;
	write(chunk: Uint8Array): boolean;
};

/** The request to forward and its limits. */
export type ForwardRequest = {
	readonly requestId: string;
	readonly method: string;
	readonly path: string;
	/** Builds the headers of an attempt from the time left until the deadline. */
	readonly headers: (remainingMs: number) => string[];
	readonly body: RequestBody;
	readonly repeatable: boolean;
	/** Hedge delay while the p95 latency of the class is not known. */
	readonly latenessTargetMs: number;
	readonly deadlineAtMs: number;
	readonly sink: AnswerSink;
};

/** Dependencies of forwarding that the requests of a service and class share. */
export type ForwardContext = {
	readonly timers: TimerService;
	readonly logger: Logger;
	readonly pool: BackendPool;
	readonly budget: RetryBudget;
	readonly latencies: LatencyWindow;
	readonly onRepeatedAttempt: (kind: 'retry' | 'hedge') => void;
};

/** Result of forwarding; `error` is undefined after a complete answer. */
export type ForwardResult = {
	readonly error: FescuewickError | undefined;
	/** Whether the head of an answer was passed to the sink. */
	readonly headSent: boolean;
	readonly attempts: number;
	readonly server: string;
};

type RunningAttempt = {readonly attempt: Attempt; readonly lease: BackendLease; readonly startedAtMs: number; shed: boolean};

/** Forwards one request to backend servers, with at most one retry or hedge. */
export class Forwarding implements AttemptListener {
	readonly result: Promise<ForwardResult>;
	#resolveResult!: (result: ForwardResult) => void;
	#settled = false;
	readonly #running = new Map<Attempt, RunningAttempt>();
	readonly #tried = new Set<Backend>();
	/** Servers whose idle connection broke; they are retried only if no other server is available. */
	readonly #brokenConnectionBackends = new Set<Backend>();
	#selected: RunningAttempt | undefined;
	#attempts = 0;
	#repeatedAttempts = 0;
	#wasShed = false;
	/** Whether an attempt was written to a socket and was not refused by the server. */
	#mayHaveRun = false;
	#lastError: Error | undefined;
	#lastServer = '';
	#cancelDeadline: Cancel | undefined;
	#cancelHedge: Cancel | undefined;

	constructor(private readonly request: ForwardRequest, private readonly context: ForwardContext) {
		this.result = new Promise(resolve => {
			this.#resolveResult = resolve;
		});
	}

	/** Whether a byte of the request may have reached a backend server. */
	get written(): boolean {
		return this.#mayHaveRun || [...this.#running.values()].some(({attempt, shed}) => attempt.written && !shed);
	}

	start(lease: BackendLease): void {
		const {timers, budget, latencies} = this.context;
		budget.recordFirstAttempt();
		this.#cancelDeadline = this.#afterPendingReads(this.request.deadlineAtMs - timers.nowMs(), () => {
			this.#onDeadline();
		});
		this.#send(lease);
		if (this.#isReplayable() && this.request.repeatable && !this.#settled) {
			this.#cancelHedge = this.#afterPendingReads(Math.max(minHedgeMs, latencies.p95Ms() ?? this.request.latenessTargetMs), () => {
				if (this.#selected === undefined && this.#running.size > 0) {
					this.#sendRepeatedAttempt('hedge');
				}
			});
		}
	}

	/** Cancels all attempts; unsent ones are not sent. */
	cancel(error: FescuewickError): void {
		this.#finish(error);
	}

	/** Resumes an answer that the sink paused. */
	resume(): void {
		this.#selected?.attempt.resume();
	}

	onHead(attempt: Attempt, head: AnswerHead): void {
		const running = this.#running.get(attempt)!;
		const {pool, latencies, timers} = this.context;
		if (head.headers['x-draining'] !== undefined) {
			pool.observeDraining(running.lease.backend, head.headers['x-draining'] === '1');
		}

		if (head.status === 503 && head.headers['x-shed'] === '1') {
			running.shed = true;
			this.#wasShed = true;
			this.#retryOrFinish();
			return;
		}

		if (!hasDefinedLength(this.request.method, head)) {
			this.#mayHaveRun = true;
			this.#finish(new FescuewickError(ResultCode.backendMalformed, 'the answer has neither a content length nor chunked encoding, so a truncation could not be detected'));
			return;
		}

		latencies.record(timers.nowMs() - running.startedAtMs);
		this.#selected = running;
		this.#cancelHedge?.();
		for (const other of this.#running.values()) {
			if (other !== running) {
				this.#cancelAttempt(other);
			}
		}

		this.request.sink.head(head);
	}

	onData(attempt: Attempt, chunk: Uint8Array): boolean {
		return this.#selected?.attempt === attempt ? this.request.sink.write(chunk) : true;
	}

	onEnd(attempt: Attempt): void {
		const running = this.#running.get(attempt)!;
		this.#running.delete(attempt);
		const {pool, timers} = this.context;
		if (!running.shed) {
			running.lease.backend.observeSuccess(timers.nowMs() - running.startedAtMs);
		}

		pool.release(running.lease, this.#isReusable(attempt));
		if (running === this.#selected) {
			this.#finish(undefined);
		}
	}

	onFail(attempt: Attempt, error: Error): void {
		const running = this.#running.get(attempt)!;
		this.#running.delete(attempt);
		const {pool} = this.context;
		this.#lastError = error;
		if (!running.shed) {
			this.#mayHaveRun ||= attempt.written;
			this.#observeFailure(running);
		}

		pool.release(running.lease, false);
		if (running === this.#selected) {
			this.#finish(this.#finalError());
		} else if (!running.shed) {
			this.#retryOrFinish();
		}
	}

	/** Records a failure of the server, unless the connection had been idle: the server may have closed it as usual. */
	#observeFailure({attempt, lease}: RunningAttempt): void {
		if (attempt.head === undefined && lease.connection.lastAnswerAtMs !== undefined) {
			this.#brokenConnectionBackends.add(lease.backend);
		} else {
			this.context.pool.observeFailure(lease.backend);
		}
	}

	/** Calls `action` after a delay and one more event loop iteration: after a pause of the process, timers fire before answers that arrived meanwhile are read. */
	#afterPendingReads(delayMs: number, action: () => void): Cancel {
		const {timers} = this.context;
		let cancel = timers.after(delayMs, () => {
			cancel = timers.after(0, action);
		});
		return () => {
			cancel();
		};
	}

	#send(lease: BackendLease): void {
		const {request, context: {timers}} = this;
		this.#attempts++;
		this.#tried.add(lease.backend);
		this.#lastServer = lease.backend.name;
		const attempt = new Attempt(lease.connection, this);
		this.#running.set(attempt, {
			attempt, lease, startedAtMs: timers.nowMs(), shed: false,
		});
		const {body: {buffered, stream, lengthBytes}} = request;
		const headers = request.headers(Math.max(1, Math.floor(request.deadlineAtMs - timers.nowMs())));
		if (stream !== undefined && lengthBytes !== undefined) {
			headers.push('content-length', String(lengthBytes));
		}

		attempt.send({
			method: request.method, path: request.path, headers, body: stream ?? (buffered.length === 0 ? undefined : buffered),
		});
	}

	/** Handles an attempt that failed or was shed: retries if that is safe and allowed, otherwise waits for other attempts or finishes. */
	#retryOrFinish(): void {
		if (this.#settled || this.#selected !== undefined) {
			return;
		}

		const mayRepeat = (this.request.repeatable || !this.written) && !(this.#wasShed && !this.request.repeatable);
		if (mayRepeat && this.#sendRepeatedAttempt('retry')) {
			return;
		}

		if (![...this.#running.values()].some(({shed}) => !shed)) {
			this.#finish(this.#finalError());
		}
	}

	#sendRepeatedAttempt(kind: 'retry' | 'hedge'): boolean {
		const {pool, budget, timers, logger, onRepeatedAttempt} = this.context;
		if (this.#repeatedAttempts > 0 || !this.#isReplayable() || this.request.deadlineAtMs - timers.nowMs() <= 0) {
			return false;
		}

		const maxIdleMs = this.request.repeatable ? undefined : 0;
		const lease = pool.pick({excluded: this.#tried, maxIdleMs}) ?? pool.pick({excluded: new Set([...this.#tried].filter(backend => !this.#brokenConnectionBackends.has(backend))), maxIdleMs});
		if (lease === undefined) {
			return false;
		}

		if (!budget.take()) {
			pool.releaseUnused(lease);
			logDecision(logger, DecisionKind.backendChoice, `no ${kind}: budget used up`, {requestId: this.request.requestId});
			return false;
		}

		this.#repeatedAttempts++;
		onRepeatedAttempt(kind);
		logDecision(logger, DecisionKind.backendChoice, kind, {requestId: this.request.requestId, server: lease.backend.name});
		this.#send(lease);
		return true;
	}

	#onDeadline(): void {
		const {timers} = this.context;
		for (const {attempt, lease, startedAtMs} of this.#running.values()) {
			const elapsedMs = timers.nowMs() - startedAtMs;
			if (attempt.head === undefined && elapsedMs > timeoutFailureFactor * lease.backend.latencyMs) {
				this.context.pool.observeFailure(lease.backend);
				// Older connections may use the same broken network path.
				lease.backend.connections.discardIdleBefore(startedAtMs);
			}
		}

		const error = this.written
			? new FescuewickError(ResultCode.backendTimeout, 'the backend server did not answer within the deadline')
			: new FescuewickError(ResultCode.deadlineUnreachable, 'the request could not be sent within its deadline', {retryAfterMs: shedRetryAfterMs});
		this.#finish(error);
	}

	/** Cancels an attempt whose answer is no longer needed. */
	#cancelAttempt(running: RunningAttempt): void {
		this.#running.delete(running.attempt);
		const elapsedMs = this.context.timers.nowMs() - running.startedAtMs;
		if (running.attempt.written && !running.shed) {
			this.#mayHaveRun = true;
			// The elapsed time is a lower bound of the latency; if it were ignored, a server that loses every hedge would keep a low latency average.
			running.lease.backend.observeMinLatency(elapsedMs);
		}

		running.attempt.cancel();
		if (running.attempt.written) {
			this.context.pool.releaseAfterCancel(running.lease);
		} else {
			this.context.pool.release(running.lease, false);
		}
	}

	#finish(error: FescuewickError | undefined): void {
		if (this.#settled) {
			return;
		}

		this.#settled = true;
		this.#cancelDeadline?.();
		this.#cancelHedge?.();
		for (const running of this.#running.values()) {
			this.#cancelAttempt(running);
		}

		this.#resolveResult({
			error, headSent: this.#selected !== undefined, attempts: this.#attempts, server: this.#selected?.lease.backend.name ?? this.#lastServer,
		});
	}

	#finalError(): FescuewickError {
		const cause = this.#lastError;
		if (this.#mayHaveRun) {
			const code = (cause as {code?: string} | undefined)?.code?.startsWith('HPE_') === true ? ResultCode.backendMalformed : ResultCode.backendCut;
			const message = code === ResultCode.backendCut ? 'the backend server closed the connection before its answer was complete' : 'the answer of the backend server is not valid HTTP';
			return new FescuewickError(code, message, {cause});
		}

		return this.#wasShed
			? new FescuewickError(ResultCode.backendShed, 'the backend server refused the request without running it', {retryAfterMs: shedRetryAfterMs})
			: new FescuewickError(ResultCode.backendConnectFailed, 'no connection to a backend server could be opened', {cause, retryAfterMs: shedRetryAfterMs});
	}

	#isReplayable(): boolean {
		return this.request.body.stream === undefined;
	}

	#isReusable({head}: Attempt): boolean {
		// The HTTP client closes the connection after HEAD.
		return this.request.method !== 'HEAD' && head !== undefined && !String(head.headers.connection ?? '').toLowerCase().includes('close');
	}
}

/** Whether the answer has a defined length, so that a truncated one can be detected. */
function hasDefinedLength(method: string, {status, headers}: AnswerHead): boolean {
	return method === 'HEAD' || status === 204 || status === 304 || headers['content-length'] !== undefined
		|| String(headers['transfer-encoding'] ?? '').toLowerCase().includes('chunked');
}
