import {type Buffer} from 'node:buffer';
import {
	ResultCode, resultCodeTable, type Cancel,
} from '@fescuewick/core';
import {retryAfterMs} from '../admission/admission.js';
import {type ActiveRequest} from '../admission/waiting-lines.js';
import {NoPlacement, type Placement} from '../placement/placer.js';
import {type AdmittedRequest} from './admitted-request.js';
import {AnswerRelay} from './answer-relay.js';
import {AnswerKind, judgeAnswer} from './answer-verdict.js';
import {sendError} from './error-answer.js';
import {type ForwardingContext} from './forwarding-context.js';
import {RequestPlacement} from './request-placement.js';
import {summarize} from './request-summary.js';
import {FailureKind, mayRetry} from './retry-policy.js';
import {
	isReplayable, openSending, transmit, type Sending, type SendingListener,
} from './sending.js';
import {Sendings} from './sendings.js';
import {SlotWait, slotWaitLimitMs} from './slot-wait.js';

/** A request that takes this many times its usual duration may be sent to a second server as well. */
const rescueFactor = 4;
/** Shortest time after which that is done, in milliseconds. */
const minRescueMs = 1000;

/** Leads one request to its answer: waits for a slot, sends it, sends it again where that is safe, and answers once. */
export class RequestRun implements ActiveRequest, SendingListener {
	readonly priority: number;
	readonly #sendings: Sendings;
	readonly #cancels: Cancel[] = [];
	readonly #servers: RequestPlacement;
	#runs = 0;
	#attempts = 0;
	#isOver = false;
	#lastServer: string | undefined;
	/** Where it was sent last. */
	#placement: Placement | undefined;
	/** A server's error answer, passed on if no other server can be tried. */
	#fallback: Sending | undefined;
	readonly #answers: AnswerRelay;
	readonly #wait: SlotWait;

	constructor(private readonly context: ForwardingContext, private readonly admitted: AdmittedRequest) {
		this.priority = admitted.workspace?.priority ?? admitted.route.priority;
		this.#servers = new RequestPlacement(context, admitted);
		this.#sendings = new Sendings(() => {
			context.lines.roomFor(admitted.service);
		});
		this.#wait = new SlotWait(this, context.lines.of(admitted.service), context.timers);
		this.#answers = new AnswerRelay({
			admitted, context, sendings: this.#sendings, onBroken: (sending, reason) => {
				this.onFail(sending, new Error(reason));
			},
		});
	}

	get arrivedAtMs(): number {
		return this.admitted.arrivedAtMs;
	}

	/** Starts the request. */
	start(): void {
		const {response, deadlineAtMs, service} = this.admitted;
		const {timers, lines, work} = this.context;
		work.arrived(service, this.#servers.boundRegion);
		this.#servers.chooseRegion();
		response.once('close', () => {
			if (!response.writableFinished) {
				this.#leave();
			}
		});
		this.#cancels.push(timers.after(deadlineAtMs - timers.nowMs(), () => {
			this.#expire();
		}));
		// A newcomer does not overtake requests that wait.
		if (lines.of(service).ahead(this.priority) > 0 || !this.#tryPlace()) {
			this.#enterLine();
		}
	}

	/** A server may have room; has no effect if the request no longer waits, as when a nested call has sent it already. */
	onRoom(): void {
		if (this.#wait.isWaiting) {
			this.#tryPlace();
		}
	}

	/** Sends the request if a server has room; returns whether it was sent or answered. */
	#tryPlace(): boolean {
		const placement = this.#servers.find();
		if (placement === NoPlacement.full) {
			return false;
		}

		this.#wait.end();
		if (placement === NoPlacement.none) {
			this.#giveUp(this.#runs > 0 ? ResultCode.backendCut : ResultCode.noBackend, 'no usable server');
		} else if (placement === NoPlacement.notAdmitted) {
			this.#giveUp(this.#runs > 0 ? ResultCode.backendCut : ResultCode.queueFull, 'the home region admits other objects');
		} else {
			this.#send(placement);
		}

		return true;
	}

	/** Ends the request when the process has to stop. */
	abandon(): void {
		this.#giveUp(this.#runs > 0 ? ResultCode.backendCut : ResultCode.draining, 'the VM stops');
	}

	get #timeLeftMs(): number {
		return this.admitted.deadlineAtMs - this.context.timers.nowMs();
	}

	get #expectedMs(): number {
		const {route} = this.admitted;
		return this.context.latency.expectedMs(route.name, route.targetMs / 2);
	}

	#enterLine(): void {
		const waitMs = slotWaitLimitMs(this.admitted, this.context, this.priority, this.#expectedMs);
		if (waitMs <= 0) {
			this.#giveUp(ResultCode.queueFull, 'no slot in time');
			return;
		}

		this.#wait.begin(waitMs, () => {
			this.#giveUp(ResultCode.queueFull, 'no slot became free');
		});
	}

	#send(placement: Placement): void {
		const {timers, budgets} = this.context;
		const {backend} = placement;
		const nowMs = timers.nowMs();
		const sending = openSending(this.admitted, backend, nowMs, this);
		this.#servers.exclude(backend.id);
		if (sending === undefined) {
			this.#next(FailureKind.notRun, ResultCode.noBackend, 'no connection is left');
			return;
		}

		this.#placement = placement;
		this.#lastServer = backend.id;
		if (this.#attempts === 0) {
			budgets.of(this.admitted.service).first();
		}

		this.#attempts++;
		if (backend.isCold(nowMs)) {
			backend.coldSent.add(nowMs);
		}

		this.#sendings.add(sending);
		transmit(sending, this.admitted, this.context, this.#timeLeftMs);
		if (this.admitted.route.isRepeatable && isReplayable(this.admitted)) {
			this.#scheduleRescue(sending);
		}
	}

	/** Sends a repeatable request to a second server when the first is silent for much longer than usual. */
	#scheduleRescue(sending: Sending): void {
		const {timers} = this.context;
		this.#cancels.push(timers.after(Math.max(minRescueMs, this.#expectedMs * rescueFactor), () => {
			const isSilent = this.#sendings.has(sending) && sending.attempt.head === undefined;
			if (this.#isOver || !isSilent || this.#sendings.count > 1) {
				return;
			}

			sending.backend.outcome(true, undefined, timers.nowMs());
			const placement = this.#servers.find();
			// The first attempt goes on if there is no second server for the request.
			if (typeof placement !== 'string' && this.#allowsRetry(FailureKind.unknown)) {
				this.#send(placement);
			}
		}));
	}

	/** A piece of an answer has arrived. */
	onData(sending: Sending, chunk: Buffer): boolean {
		return this.#answers.take(sending, chunk);
	}

	/** An answer has arrived whole. */
	onEnd(sending: Sending): void {
		const {backend, attempt} = sending;
		const head = attempt.head!;
		this.#sendings.finish(sending);
		if (sending.isStreaming) {
			backend.connections.release(attempt.connection);
			this.#answers.end();
			this.#over(ResultCode.ok, head.status);
			return;
		}

		const {kind, reason} = judgeAnswer(sending, this.admitted, this.context, this.#expectedMs);
		switch (kind) {
			case AnswerKind.broken: {
				this.#runs++;
				this.#next(FailureKind.unknown, ResultCode.backendMalformed, reason);
				break;
			}

			case AnswerKind.rejected: {
				this.#next(FailureKind.notRun, ResultCode.backendShed, reason);
				break;
			}

			case AnswerKind.serverError: {
				this.#runs++;
				this.#afterServerError(sending);
				break;
			}

			case AnswerKind.done: {
				this.#runs++;
				this.#answer(sending);
			}
		}
	}

	/** Keeps a server's error answer while another server is at work on the request or can be asked; else passes it on. */
	#afterServerError(sending: Sending): void {
		if (this.#sendings.count > 0) {
			this.#fallback = sending;
		} else if (this.#allowsRetry(FailureKind.serverError)) {
			this.#fallback = sending;
			this.#again();
		} else {
			this.#answer(sending);
		}
	}

	/** A sending broke off. */
	onFail(sending: Sending, error: Error): void {
		const {timers, placer} = this.context;
		const {backend, attempt} = sending;
		this.#sendings.finish(sending);
		backend.connections.discard(attempt.connection);
		if (this.#isOver) {
			return;
		}

		if (sending.isStreaming) {
			this.admitted.request.socket.resetAndDestroy();
			this.#over(ResultCode.backendCut, undefined, error.message);
			return;
		}

		backend.outcome(true, undefined, timers.nowMs());
		if (attempt.written) {
			this.#runs++;
			this.#next(FailureKind.unknown, ResultCode.backendCut, error.message);
		} else {
			placer.unreachable(backend, error.message);
			this.#next(FailureKind.notRun, ResultCode.backendConnectFailed, error.message);
		}
	}

	/** Decides what follows a failed attempt. */
	#next(kind: FailureKind, code: ResultCode, reason: string): void {
		if (this.#isOver || this.#sendings.count > 0) {
			return;
		}

		if (this.#allowsRetry(kind)) {
			this.#again();
			return;
		}

		// Only attempts that ran or may have run make the outcome uncertain.
		const isNotRun = this.#runs === 0;
		this.#giveUp(isNotRun && resultCodeTable[code].httpStatus !== 503 ? ResultCode.noBackend : code, reason);
	}

	#allowsRetry(kind: FailureKind): boolean {
		const {route: {isRepeatable, maxAttempts}, service} = this.admitted;
		const isAllowed = isReplayable(this.admitted) && mayRetry({
			kind, isRepeatable, runs: this.#runs + this.#sendings.count, attempts: this.#attempts, maxAttempts, timeLeftMs: this.#timeLeftMs, expectedMs: this.#expectedMs,
		});
		return isAllowed && this.context.budgets.of(service).take();
	}

	#again(): void {
		if (!this.#tryPlace()) {
			if (this.#runs > 0) {
				this.#giveUp(ResultCode.backendCut, 'no second server has room');
			} else {
				this.#enterLine();
			}
		}
	}

	/** Answers with what a server answered. */
	#answer(sending: Sending): void {
		this.#sendings.cancelOthers(sending);
		this.#answers.writeHeld(sending);
		this.#over(ResultCode.ok, sending.attempt.head!.status);
	}

	#expire(): void {
		const code = this.#sendings.count === 0 ? ResultCode.backendCut : ResultCode.backendTimeout;
		this.#giveUp(this.#sendings.mayHaveRun || this.#runs > 0 ? code : ResultCode.deadlineUnreachable, 'the time is over');
	}

	/** Ends the request with an answer of the system. */
	#giveUp(code: ResultCode, reason: string): void {
		if (this.#isOver) {
			return;
		}

		if (this.#fallback !== undefined) {
			this.#answer(this.#fallback);
			return;
		}

		const {admitted: {response, request, id, workspace, service}, context} = this;
		const isNotRun = this.#runs === 0 && !this.#sendings.mayHaveRun;
		this.#sendings.cancelOthers(undefined);
		if (isNotRun) {
			context.work.refused(service, this.#servers.boundRegion);
			if (workspace !== undefined) {
				context.limiter.giveBack(workspace.name);
			}
		}

		const retryMs = isNotRun ? retryAfterMs(this.#timeLeftMs, context.random()) : undefined;
		if (!response.headersSent) {
			sendError({
				response, code, id, retryMs, idHeader: context.dialect.requestIdHeader, isClosing: context.isDraining() || !request.complete,
			});
		}

		this.#over(code, resultCodeTable[code].httpStatus, reason);
	}

	/** The caller closed its connection. */
	#leave(): void {
		if (!this.#isOver) {
			this.#sendings.cancelOthers(undefined);
			this.#over(ResultCode.callerLeft, undefined, 'the caller left');
		}
	}

	#over(code: ResultCode, status: number | undefined, reason?: string): void {
		this.#isOver = true;
		this.#wait.end();
		for (const cancel of this.#cancels) {
			cancel();
		}

		this.context.finished(this, summarize(this.admitted, {
			code,
			status,
			reason,
			waitedMs: this.#wait.waitedMs,
			attempts: this.#attempts,
			server: this.#lastServer,
			placement: this.#placement,
			expectedMs: this.#expectedMs,
		}, this.context));
	}
}
