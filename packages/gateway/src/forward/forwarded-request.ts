import {type Buffer} from 'node:buffer';
import {
	ResultCode, resultCodeTable, type Cancel,
} from '@fescuewick/core';
import {hasCallerLeft} from '@fescuewick/entry/http';
import {retryAfterMs} from '../admission/admission.js';
import {type ActiveRequest} from '../admission/request-queues.js';
import {PlacementFailure, type Placement} from '../placement/placer.js';
import {type AdmittedRequest} from './admitted-request.js';
import {AnswerRelay} from './answer-relay.js';
import {
	AnswerKind, classifyAnswer, isAnswerTruncated, recordStreamingAnswer,
} from './answer-classification.js';
import {sendError} from './error-answer.js';
import {type ForwardingContext} from './forwarding-context.js';
import {missingServerError} from './missing-server.js';
import {createRequestHedge, type RequestHedge} from './request-hedge.js';
import {RequestPlacement} from './request-placement.js';
import {summarizeRequest} from './request-summary.js';
import {FailureKind, mayRetry} from './retry-policy.js';
import {
	isReplayable, createAttempt, transmit, type BackendAttempt, type AttemptListener,
} from './backend-attempt.js';
import {OpenAttempts} from './open-attempts.js';
import {SlotWait, slotWaitLimitMs} from './slot-wait.js';

/** Forwards one request: queues it for a slot, sends it to a server, retries or hedges it where that is safe, and answers the caller once. */
export class ForwardedRequest implements ActiveRequest, AttemptListener {
	readonly priority: number;
	readonly #openAttempts: OpenAttempts;
	readonly #cancels: Cancel[] = [];
	readonly #requestPlacement: RequestPlacement;
	/** Ended attempts that may have run the request. */
	#possibleRuns = 0;
	#attempts = 0;
	#isFinished = false;
	#lastServer: string | undefined;
	/** Placement of the last attempt. */
	#lastPlacement: Placement | undefined;
	/** Error answer of a server, passed on if no other attempt succeeds; undefined once another answer is streamed. */
	#fallbackAttempt: BackendAttempt | undefined;
	readonly #answerRelay: AnswerRelay;
	readonly #slotWait: SlotWait;
	readonly #hedge: RequestHedge;

	constructor(private readonly context: ForwardingContext, private readonly admitted: AdmittedRequest) {
		this.priority = admitted.workspace?.priority ?? admitted.route.priority;
		this.#requestPlacement = new RequestPlacement(context, admitted);
		this.#openAttempts = new OpenAttempts(() => {
			context.queues.retryQueuedRequests(admitted.service);
		});
		this.#slotWait = new SlotWait(this, context.queues.of(admitted.service), context.timers);
		this.#answerRelay = new AnswerRelay({
			admitted, context, openAttempts: this.#openAttempts, onInvalidAnswer: (attempt, reason) => {
				this.onFail(attempt, new Error(reason));
			}, onStreaming: attempt => {
				// Once the head of an answer goes to the caller, no other answer can.
				this.#fallbackAttempt = undefined;
				this.#hedge.onAnswered(attempt);
				recordStreamingAnswer(attempt, admitted, context);
			},
		});
		this.#hedge = createRequestHedge({
			admitted,
			context,
			openAttempts: this.#openAttempts,
			requestPlacement: this.#requestPlacement,
			isFinished: () => this.#isFinished,
			attempts: () => this.#attempts,
			timeLeftMs: () => this.#timeLeftMs,
			expectedMs: () => this.#expectedMs,
			takeRetry: () => this.#allowsRetry(FailureKind.unknown),
			send: placement => this.#send(placement),
		});
	}

	get arrivedAtMs(): number {
		return this.admitted.arrivedAtMs;
	}

	/** Sends, queues or refuses the request; to be called once. */
	start(): void {
		const {request: {socket}, deadlineAtMs, service} = this.admitted;
		const {timers, queues, slotDemandMeter} = this.context;
		slotDemandMeter.recordArrival(service, this.#requestPlacement.boundRegion);
		this.#requestPlacement.chooseRegion();
		const onClose = () => {
			this.#onCallerClosed();
		};

		// The response of a request that waits behind another one on its connection has no event for the end of the connection.
		socket.once('close', onClose);
		this.#cancels.push(() => {
			socket.off('close', onClose);
		}, timers.after(deadlineAtMs - timers.nowMs(), () => {
			this.#onDeadline();
		}));
		if (this.#timeLeftMs <= 0) {
			this.#onDeadline();
			return;
		}

		// A new request does not overtake queued ones.
		if (queues.of(service).countAhead(this.priority) > 0 || !this.#tryPlace()) {
			this.#enqueue();
		}
	}

	/** Tries to send the request when a server may have a free slot; has no effect if it is no longer queued, as when a nested call has sent it already. */
	onSlotAvailable(): void {
		if (this.#slotWait.isWaiting) {
			this.#tryPlace();
		}
	}

	/** Sends the request if its caller is there and a server has a free slot; returns whether it was sent or has ended. */
	#tryPlace(): boolean {
		if (hasCallerLeft(this.admitted.request.socket)) {
			this.#onCallerClosed();
			return true;
		}

		const placement = this.#requestPlacement.find();
		if (placement === PlacementFailure.full) {
			return false;
		}

		this.#slotWait.end();
		if (typeof placement === 'string') {
			const {code, reason, retryMs} = missingServerError(placement, this.#possibleRuns > 0, this.#requestPlacement, this.context);
			this.#fail(code, reason, retryMs);
		} else {
			this.#send(placement);
		}

		return true;
	}

	/** Fails the request because the process stops. */
	abort(): void {
		const mayHaveRun = this.#possibleRuns > 0 || this.#openAttempts.mayHaveRun;
		this.#fail(mayHaveRun ? ResultCode.backendCut : ResultCode.draining, 'the VM is stopping');
	}

	get #timeLeftMs(): number {
		return this.admitted.deadlineAtMs - this.context.timers.nowMs();
	}

	get #expectedMs(): number {
		const {route} = this.admitted;
		return this.context.latency.expectedMs(route.name, route.targetMs / 2);
	}

	#enqueue(): void {
		const waitMs = slotWaitLimitMs(this.admitted, this.context, this.priority, this.#expectedMs);
		if (waitMs <= 0) {
			this.#fail(ResultCode.queueFull, 'no slot in time');
			return;
		}

		this.#slotWait.begin(waitMs, () => {
			this.#fail(ResultCode.queueFull, 'no slot became free');
		});
	}

	/** Sends the request to a server; returns undefined if no connection to it is available. */
	#send(placement: Placement): BackendAttempt | undefined {
		const {timers, retryBudgets} = this.context;
		const {backend} = placement;
		const attempt = createAttempt(this.admitted, backend, timers, this);
		this.#requestPlacement.exclude(backend.id);
		if (attempt === undefined) {
			this.#retryOrFail(FailureKind.notRun, ResultCode.noBackend, 'no connection to the server is available');
			return undefined;
		}

		this.#lastPlacement = placement;
		this.#lastServer = backend.id;
		if (this.#attempts === 0) {
			retryBudgets.forService(this.admitted.service).recordFirstAttempt();
		}

		this.#attempts++;
		backend.recordSent(timers.nowMs());
		this.#openAttempts.add(attempt);
		transmit(attempt, this.admitted, this.context, this.#timeLeftMs);
		this.#hedge.onSent(attempt);
		return attempt;
	}

	/** Receives a chunk of an answer. */
	onData(attempt: BackendAttempt, chunk: Buffer): boolean {
		return this.#answerRelay.receive(attempt, chunk);
	}

	/** Handles a complete answer. */
	onEnd(attempt: BackendAttempt): void {
		const {backend, exchange} = attempt;
		const head = exchange.head!;
		this.#openAttempts.finish(attempt);
		if (attempt.isStreaming && isAnswerTruncated(attempt)) {
			backend.connections.discard(exchange.connection);
			this.#endCut('the connection ended before the answer was complete');
			return;
		}

		if (attempt.isStreaming) {
			backend.connections.release(exchange.connection);
			this.#answerRelay.end();
			this.#finish(ResultCode.ok, head.status);
			return;
		}

		const {kind, reason} = classifyAnswer(attempt, this.admitted, this.context, this.#expectedMs);
		switch (kind) {
			case AnswerKind.invalid: {
				this.#possibleRuns++;
				this.#retryOrFail(FailureKind.unknown, ResultCode.backendMalformed, reason);
				break;
			}

			case AnswerKind.rejected: {
				this.#retryOrFail(FailureKind.notRun, ResultCode.backendShed, reason);
				break;
			}

			case AnswerKind.serverError: {
				this.#possibleRuns++;
				this.#afterServerError(attempt);
				break;
			}

			case AnswerKind.done: {
				this.#possibleRuns++;
				this.#passOnAnswer(attempt);
			}
		}
	}

	/** Keeps a server's error answer while another attempt is open or can be made; otherwise passes it on. */
	#afterServerError(attempt: BackendAttempt): void {
		if (this.#openAttempts.count > 0) {
			this.#fallbackAttempt = attempt;
		} else if (this.#allowsRetry(FailureKind.serverError)) {
			this.#fallbackAttempt = attempt;
			this.#retry();
		} else {
			this.#passOnAnswer(attempt);
		}
	}

	/** Handles an attempt that failed without a complete answer. */
	onFail(attempt: BackendAttempt, error: Error): void {
		const {timers, placer} = this.context;
		const {backend, exchange} = attempt;
		this.#openAttempts.finish(attempt);
		backend.connections.discard(exchange.connection);
		if (this.#isFinished) {
			return;
		}

		if (attempt.isStreaming) {
			this.#endCut(error.message);
			return;
		}

		backend.recordOutcome(true, undefined, timers.nowMs());
		if (exchange.written) {
			this.#possibleRuns++;
			this.#retryOrFail(FailureKind.unknown, ResultCode.backendCut, error.message);
		} else {
			placer.markUnreachable(backend, error.message);
			this.#retryOrFail(FailureKind.notRun, ResultCode.backendConnectFailed, error.message);
		}
	}

	/** Retries the request after a failed attempt, or fails it if no retry is allowed; an open attempt goes on. */
	#retryOrFail(kind: FailureKind, code: ResultCode, reason: string): void {
		if (this.#isFinished || this.#openAttempts.count > 0) {
			return;
		}

		if (this.#allowsRetry(kind)) {
			this.#retry();
			return;
		}

		// The outcome is uncertain only if an attempt may have run.
		const isNotRun = this.#possibleRuns === 0;
		this.#fail(isNotRun && resultCodeTable[code].httpStatus !== 503 ? ResultCode.noBackend : code, reason);
	}

	#allowsRetry(kind: FailureKind): boolean {
		const {route: {isRepeatable, maxAttempts}, service} = this.admitted;
		const isAllowed = isReplayable(this.admitted) && mayRetry({
			kind, isRepeatable, possibleRuns: this.#possibleRuns + this.#openAttempts.count, attempts: this.#attempts, maxAttempts, timeLeftMs: this.#timeLeftMs, expectedMs: this.#expectedMs,
		});
		return isAllowed && this.context.retryBudgets.forService(service).take();
	}

	#retry(): void {
		this.context.closeBarrier.run(() => {
			if (this.#isFinished || this.#tryPlace()) {
				return;
			}

			if (this.#possibleRuns > 0) {
				this.#fail(ResultCode.backendCut, 'no other server has a free slot');
			} else {
				this.#enqueue();
			}
		});
	}

	/** Passes a buffered answer on to the caller and ends the request. */
	#passOnAnswer(attempt: BackendAttempt): void {
		this.#hedge.onAnswered(attempt);
		this.#openAttempts.cancelOthers(attempt);
		this.#answerRelay.writeBuffered(attempt);
		this.#finish(ResultCode.ok, attempt.exchange.head!.status);
	}

	#onDeadline(): void {
		const code = this.#openAttempts.count === 0 ? ResultCode.backendCut : ResultCode.backendTimeout;
		this.#fail(this.#openAttempts.mayHaveRun || this.#possibleRuns > 0 ? code : ResultCode.deadlineUnreachable, 'the time is over');
	}

	/** Ends the request with an error answer of the system, or with the fallback answer if there is one; `retryMs` replaces the usual retry time of a request that was not run. */
	#fail(code: ResultCode, reason: string, retryMs?: number): void {
		if (this.#isFinished) {
			return;
		}

		if (this.#fallbackAttempt !== undefined) {
			this.#passOnAnswer(this.#fallbackAttempt);
			return;
		}

		const {admitted: {response, request, id, workspace, service}, context} = this;
		const isNotRun = this.#possibleRuns === 0 && !this.#openAttempts.mayHaveRun;
		this.#cancelAttempts();
		if (isNotRun) {
			context.slotDemandMeter.recordRefusal(service, this.#requestPlacement.boundRegion);
			if (workspace !== undefined) {
				context.limiter.refund(workspace.name);
			}
		}

		if (response.headersSent) {
			this.#endCut(reason, code);
			return;
		}

		const {dialect, isDraining} = context;
		sendError({
			request, response, code, id, retryMs: isNotRun ? retryMs ?? retryAfterMs(this.#timeLeftMs, context.random()) : undefined, idHeader: dialect.requestIdHeader, isDraining: isDraining(),
		});
		this.#finish(code, resultCodeTable[code].httpStatus, reason);
	}

	/** Ends a request whose answer has been passed on in part, so that the caller does not take it for complete. */
	#endCut(reason: string, code = ResultCode.backendCut): void {
		this.admitted.request.socket.resetAndDestroy();
		this.#finish(code, undefined, reason);
	}

	/** Cancels the request because the caller closed its connection. */
	#onCallerClosed(): void {
		if (!this.#isFinished) {
			this.#cancelAttempts();
			this.#finish(ResultCode.callerLeft, undefined, 'the caller closed its connection');
		}
	}

	#cancelAttempts(): void {
		this.#hedge.onAbandoned();
		this.#openAttempts.cancelOthers(undefined);
	}

	#finish(code: ResultCode, status: number | undefined, reason?: string): void {
		this.#isFinished = true;
		this.#slotWait.end();
		for (const cancel of this.#cancels) {
			cancel();
		}

		this.context.onFinished(this, summarizeRequest(this.admitted, {
			code,
			status,
			reason,
			waitedMs: this.#slotWait.waitedMs,
			attempts: this.#attempts,
			server: this.#lastServer,
			placement: this.#lastPlacement,
			expectedMs: this.#expectedMs,
			hedge: this.#hedge.end(),
		}, this.context));
	}
}
