import {Buffer} from 'node:buffer';
import {
	ResultCode, resultCodeName, resultCodeTable, type Cancel,
} from '@fescuewick/core';
import {Attempt, type AnswerHead} from '@fescuewick/entry/http';
import {admittedWaitMs, retryAfterMs} from '../admission/admission.js';
import {type ActiveRequest} from '../admission/waiting-lines.js';
import {homesOf, NoPlacement, type Placement} from '../placement/placer.js';
import {type AdmittedRequest} from './admitted-request.js';
import {problemOf} from './answer-check.js';
import {AnswerWriter} from './answer-writer.js';
import {learnFromAnswer, learnFromRejection} from './backend-feedback.js';
import {sendError} from './error-answer.js';
import {type ForwardingContext} from './forwarding-context.js';
import {outgoingHeaders} from './outgoing-headers.js';
import {FailureKind, mayRetry} from './retry-policy.js';
import {Sendings, type Sending} from './sendings.js';
import {SlotWait} from './slot-wait.js';

/** Answers up to this size are held until they are complete, so that a broken one can be replaced; longer ones are passed on as they come. */
const maxHeldBytes = 262_144;
/** A connection for a request that may not be repeated must have proved alive within this time, in milliseconds. */
const provenWithinMs = 500;
/** A request that takes this many times its usual duration may be sent to a second server as well. */
const rescueFactor = 4;
/** Shortest time after which that is done, in milliseconds. */
const minRescueMs = 1000;
/** Latencies under this say nothing about a server's speed, in milliseconds. */
const minMeasuredMs = 20;

/** Leads one request to its answer: waits for a slot, sends it, sends it again where that is safe, and answers once. */
export class RequestRun implements ActiveRequest {
	readonly priority: number;
	readonly #excluded = new Set<string>();
	readonly #sendings: Sendings;
	readonly #cancels: Cancel[] = [];
	readonly #homes: readonly string[] | undefined;
	#region: string | undefined;
	#runs = 0;
	#attempts = 0;
	#isOver = false;
	#lastServer: string | undefined;
	#placement: Placement | undefined;
	/** A server's error answer, passed on if no other server can be tried. */
	#fallback: {readonly sending: Sending; readonly head: AnswerHead} | undefined;
	readonly #writer: AnswerWriter;
	readonly #wait: SlotWait;

	constructor(private readonly context: ForwardingContext, private readonly admitted: AdmittedRequest) {
		this.priority = admitted.workspace?.priority ?? admitted.route.priority;
		this.#homes = homesOf(admitted.route, admitted.workspace);
		this.#sendings = new Sendings(() => {
			context.lines.roomFor(admitted.service);
		});
		this.#wait = new SlotWait(this, context.lines.of(admitted.service), context.timers);
		this.#writer = new AnswerWriter(admitted.response, admitted.request.method!, context.isDraining);
	}

	get arrivedAtMs(): number {
		return this.admitted.arrivedAtMs;
	}

	/** Starts the request. */
	start(): void {
		const {response, deadlineAtMs, service} = this.admitted;
		const {timers, lines, placer, work, random} = this.context;
		work.arrived(service);
		// Requests with homes stay in them; the others are dealt out to regions.
		this.#region = this.#homes === undefined ? placer.regionFor(service, this.#affinityKey, random()) : undefined;
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
		const placement = this.#place();
		if (placement === NoPlacement.full) {
			return false;
		}

		this.#wait.end();
		if (placement === NoPlacement.none) {
			this.#giveUp(this.#runs > 0 ? ResultCode.backendCut : ResultCode.noBackend, 'no usable server');
		} else {
			this.#send(placement);
		}

		return true;
	}

	#place(): Placement | NoPlacement {
		return this.context.placer.place({
			service: this.admitted.service, affinityKey: this.#affinityKey, homeRegions: this.#homes, excluded: this.#excluded, region: this.#region,
		});
	}

	/** Ends the request when the process has to stop. */
	abandon(): void {
		this.#giveUp(this.#runs > 0 ? ResultCode.backendCut : ResultCode.draining, 'the VM stops');
	}

	get #affinityKey(): string | undefined {
		return this.admitted.route.hasAffinity ? this.admitted.fields.affinityKey : undefined;
	}

	get #timeLeftMs(): number {
		return this.admitted.deadlineAtMs - this.context.timers.nowMs();
	}

	get #expectedMs(): number {
		const {route} = this.admitted;
		return this.context.latency.expectedMs(route.name, route.targetMs / 2);
	}

	#enterLine(): void {
		const {lines, placer, latency, timers} = this.context;
		const {service, route} = this.admitted;
		const line = lines.of(service);
		const waitMs = admittedWaitMs({
			ahead: line.ahead(this.priority),
			slots: placer.slotsInRegion(service),
			serviceMs: latency.typicalMs(service, route.targetMs / 2),
			expectedMs: this.#expectedMs,
			targetMs: Math.max(0, route.targetMs - (timers.nowMs() - this.arrivedAtMs)),
			timeLeftMs: this.#timeLeftMs,
		});
		if (waitMs <= 0) {
			this.#giveUp(ResultCode.queueFull, 'no slot in time');
			return;
		}

		this.#wait.begin(waitMs, () => {
			this.#giveUp(ResultCode.queueFull, 'no slot became free');
		});
	}

	#send(placement: Placement): void {
		const {timers, dialect, budgets} = this.context;
		const {request, fields, id, route, workspace, service, body} = this.admitted;
		const {backend} = placement;
		const isReplayable = body.rest === undefined;
		const connection = backend.connections.acquire(route.isRepeatable && isReplayable ? undefined : provenWithinMs);
		if (connection === undefined) {
			this.#excluded.add(backend.id);
			this.#next(FailureKind.notRun, ResultCode.noBackend, 'no connection is left');
			return;
		}

		const nowMs = timers.nowMs();
		this.#placement = placement;
		this.#lastServer = backend.id;
		if (this.#attempts === 0) {
			budgets.of(service).first();
		}

		this.#attempts++;
		this.#excluded.add(backend.id);
		if (backend.isCold(nowMs)) {
			backend.coldSent.add(nowMs);
		}

		const attempt = new Attempt(connection, {
			onHead: () => undefined,
			onData: (_attempt, chunk) => this.#onData(sending, chunk),
			onEnd: () => {
				this.#onEnd(sending);
			},
			onFail: (_attempt, error) => {
				this.#onFail(sending, error);
			},
		});
		const sending: Sending = {
			attempt, backend, sentAtMs: nowMs, chunks: [], sizeBytes: 0, isStreaming: false,
		};
		this.#sendings.add(sending);
		attempt.send({
			method: request.method!,
			path: request.url!,
			headers: outgoingHeaders(request, fields.key, dialect, {
				id, timeLeftMs: Math.max(1, Math.floor(this.#timeLeftMs)), workspace: workspace?.name, server: backend.id,
			}),
			body: body.rest ?? (body.held.length > 0 ? body.held : undefined),
		});
		if (route.isRepeatable && isReplayable) {
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
			const placement = this.#place();
			// The first attempt goes on if there is no second server for the request.
			if (typeof placement !== 'string' && this.#allowsRetry(FailureKind.unknown)) {
				this.#send(placement);
			}
		}));
	}

	#onData(sending: Sending, chunk: Buffer): boolean {
		sending.sizeBytes += chunk.length;
		if (!sending.isStreaming) {
			sending.chunks.push(Buffer.from(chunk));
			if (sending.sizeBytes <= maxHeldBytes) {
				return true;
			}

			return this.#beginStream(sending);
		}

		return this.#pass(sending, chunk);
	}

	/** Starts to pass on a long answer; the other attempts end. */
	#beginStream(sending: Sending): boolean {
		const problem = this.#problemOf(sending);
		if (problem !== undefined) {
			sending.attempt.cancel();
			this.#onFail(sending, new Error(problem));
			return false;
		}

		sending.isStreaming = true;
		this.#sendings.cancelOthers(sending);
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

	#onEnd(sending: Sending): void {
		const {timers, dialect, latency} = this.context;
		const {route, service} = this.admitted;
		const {backend, attempt} = sending;
		const head = attempt.head!;
		const nowMs = timers.nowMs();
		const answer = dialect.readAnswer(head.status, head.headers);
		this.#sendings.finish(sending);
		if (sending.isStreaming) {
			backend.connections.release(attempt.connection);
			this.#writer.end();
			this.#over(ResultCode.ok, head.status);
			return;
		}

		const problem = this.#problemOf(sending);
		if (problem !== undefined) {
			backend.connections.discard(attempt.connection);
			this.#runs++;
			backend.outcome(true, undefined, nowMs);
			this.#next(FailureKind.unknown, ResultCode.backendMalformed, problem);
			return;
		}

		backend.connections.release(attempt.connection);
		learnFromAnswer(backend, answer, nowMs);
		if (answer.isNotRun || answer.isMisdirected) {
			this.#next(FailureKind.notRun, ResultCode.backendShed, learnFromRejection(backend, answer, this.context.placer, nowMs));
			return;
		}

		this.#runs++;
		const durationMs = nowMs - sending.sentAtMs;
		const isFailure = head.status >= 500;
		if (!isFailure && durationMs > minMeasuredMs) {
			const usualMs = this.#expectedMs;
			latency.add({
				route: route.name, service, durationMs, initialMs: route.targetMs / 2,
			});
			backend.outcome(false, durationMs / usualMs, nowMs);
		} else {
			backend.outcome(isFailure, undefined, nowMs);
		}

		if (isFailure && this.#sendings.count > 0) {
			// Another server is still at work on the request.
			this.#fallback = {sending, head};
			return;
		}

		if (isFailure && this.#allowsRetry(FailureKind.serverError)) {
			this.#fallback = {sending, head};
			this.#again();
			return;
		}

		this.#answer(sending, head);
	}

	#problemOf({attempt}: Sending): string | undefined {
		const head = attempt.head!;
		return problemOf({
			head, fields: this.context.dialect.readAnswer(head.status, head.headers), end: attempt.connection.end, requestId: this.admitted.id,
		});
	}

	#onFail(sending: Sending, error: Error): void {
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
		const {route, body, service} = this.admitted;
		if (body.rest !== undefined) {
			return false;
		}

		const isAllowed = mayRetry({
			kind, isRepeatable: route.isRepeatable, runs: this.#runs + this.#sendings.count, attempts: this.#attempts, maxAttempts: route.maxAttempts, timeLeftMs: this.#timeLeftMs, expectedMs: this.#expectedMs,
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
	#answer(sending: Sending, head: AnswerHead): void {
		this.#sendings.cancelOthers(sending);
		this.#writer.whole(head, Buffer.concat(sending.chunks));
		this.#over(ResultCode.ok, head.status);
	}

	#expire(): void {
		if (this.#sendings.count === 0) {
			this.#giveUp(this.#runs > 0 ? ResultCode.backendCut : ResultCode.deadlineUnreachable, 'the time is over');
			return;
		}

		this.#giveUp(this.#sendings.mayHaveRun || this.#runs > 0 ? ResultCode.backendTimeout : ResultCode.deadlineUnreachable, 'the time is over');
	}

	/** Ends the request with an answer of the system. */
	#giveUp(code: ResultCode, reason: string): void {
		if (this.#isOver) {
			return;
		}

		if (this.#fallback !== undefined) {
			this.#answer(this.#fallback.sending, this.#fallback.head);
			return;
		}

		const {admitted: {response, request, id, workspace}, context} = this;
		const isNotRun = this.#runs === 0 && !this.#sendings.mayHaveRun;
		this.#sendings.cancelOthers(undefined);
		if (isNotRun && workspace !== undefined) {
			context.limiter.giveBack(workspace.name);
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

		const {context, admitted: {id, route, workspace, service, arrivedAtMs}} = this;
		const placement = this.#placement;
		context.finished(this, {
			id,
			route: route.name,
			service,
			workspace: workspace?.name,
			code,
			outcome: resultCodeName(code),
			status,
			reason,
			durationMs: Math.round(context.timers.nowMs() - arrivedAtMs),
			waitedMs: Math.round(this.#wait.waitedMs),
			attempts: this.#attempts,
			server: this.#lastServer,
			placed: placement?.reason,
			load: placement && Math.round(placement.load * 10) / 10,
			isRemote: placement?.isRemote,
			expectedMs: Math.round(this.#expectedMs),
			configuration: context.configurationVersion(),
		});
	}
}
