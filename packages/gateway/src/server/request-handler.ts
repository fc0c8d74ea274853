import {type IncomingMessage, type ServerResponse} from 'node:http';
import {ResultCode, resultCodeName, toFescuewickError} from '@fescuewick/core';
import {
	BodyBufferBudget, checkBodyLength, checkHeaderNames, hasBody, hasCallerLeft, noBody, readBody, type BodyLimits, type RequestBody,
} from '@fescuewick/entry/http';
import {rateRetryAfterMs} from '../admission/admission.js';
import {type ActiveRequest} from '../admission/request-queues.js';
import {type ForwardingContext} from '../forward/forwarding-context.js';
import {type RequestFields} from '../forward/header-dialect.js';
import {sendContinue, sendError} from '../forward/error-answer.js';
import {ForwardedRequest} from '../forward/forwarded-request.js';
import {BorrowOutcome} from '../limits/token-borrower.js';
import {type ConfigurationIndex, type Route, type Workspace} from '../model/configuration.js';
import {WeightedRoundRobin} from '../placement/weighted-round-robin.js';
import {type GatewaySettings} from '../settings.js';

/** Bodies up to this size are buffered, so that requests can be retried. */
const maxReplayBytes = 262_144;
/** Retry time for callers of a VM without a configuration, in milliseconds; a start takes about a second. */
const notReadyRetryMs = 300;
/** Retry time for callers of a stopping VM, in milliseconds; short, because another VM accepts them at once. */
const drainingRetryMs = 50;

type UploadLimits = GatewaySettings['uploads'];
type RequestRefusal = {readonly code: ResultCode; readonly retryMs?: number; readonly message?: string; readonly workspace?: string; readonly pool?: BorrowOutcome};
type RequestAdmission = {readonly route: Route; readonly workspace: Workspace | undefined};
/** A request whose workspace has no token left at this VM. */
type TokenShortage = {readonly route: Route; readonly workspace: Workspace; readonly waitMs: number};
/** A request whose head was read. */
type ReadRequest = {readonly request: IncomingMessage; readonly response: ServerResponse; readonly fields: RequestFields; readonly arrivedAtMs: number};

const callerLeftRefusal: RequestRefusal = {code: ResultCode.callerLeft, message: 'the caller closed its connection before the request was handled'};

/** Admits or refuses callers' requests and forwards the admitted ones. */
export class RequestHandler {
	/** Admitted requests without a complete answer. */
	readonly activeRequests = new Set<ActiveRequest>();
	/** Whether new requests are refused, because the process stops. */
	isRefusing = false;
	readonly #bodyMemory: BodyBufferBudget;
	readonly #serviceTurns = new WeakMap<Route, WeightedRoundRobin>();
	/** Requests that were read and neither admitted nor refused yet. */
	readonly #unadmitted = new Set<IncomingMessage>();
	#sequence = 0;

	constructor(private readonly context: ForwardingContext, private readonly configuration: () => ConfigurationIndex | undefined, {maxBufferedBytes}: UploadLimits) {
		this.#bodyMemory = new BodyBufferBudget(maxBufferedBytes);
	}

	/** Requests that were read and have no complete answer. */
	get unansweredCount(): number {
		return this.#unadmitted.size + this.activeRequests.size;
	}

	/** Memory reserved for buffered bodies, in bytes. */
	get bufferedBytes(): number {
		return this.#bodyMemory.usedBytes;
	}

	/** Handles one request that was read at `arrivedAtMs`, unless its caller turns out to have left before it was read. */
	handle(request: IncomingMessage, response: ServerResponse, arrivedAtMs: number): void {
		const {closeBarrier, dialect} = this.context;
		this.#unadmitted.add(request);
		closeBarrier.run(() => {
			const readRequest = {
				request, response, arrivedAtMs, fields: dialect.readRequest(request.headers),
			};
			if (hasCallerLeft(request.socket)) {
				this.#refuse(readRequest, callerLeftRefusal);
			} else {
				void this.#admitAndForward(readRequest);
			}
		});
	}

	async #admitAndForward(readRequest: ReadRequest): Promise<void> {
		const {request, fields} = readRequest;
		const decision = this.#admit(request, fields);
		if ('code' in decision) {
			this.#refuse(readRequest, decision);
			return;
		}

		if (!('waitMs' in decision)) {
			await this.#receiveAndForward(readRequest, decision);
			return;
		}

		const pool = await this.#borrowToken(decision.workspace, requestTimeoutMs(decision.route, fields));
		if (pool !== undefined) {
			this.#refuse(readRequest, this.#rateRefusal(decision, fields, pool));
			return;
		}

		// The caller may have closed its connection during the wait.
		this.context.closeBarrier.run(() => {
			if (hasCallerLeft(request.socket)) {
				this.#refuseAdmitted(readRequest, decision, callerLeftRefusal);
			} else {
				void this.#receiveAndForward(readRequest, decision);
			}
		});
	}

	/** Borrows a token from the pool of the failure domain; returns undefined if the request may run, else how the attempt ended. */
	async #borrowToken({name}: Workspace, timeLeftMs: number): Promise<BorrowOutcome | undefined> {
		const {limiter, tokenBorrower} = this.context;
		const outcome = await tokenBorrower.borrow(name, timeLeftMs);
		const isAdmitted = outcome === BorrowOutcome.granted || (outcome === BorrowOutcome.timedOut && limiter.retryTake(name));
		return isAdmitted ? undefined : outcome;
	}

	#rateRefusal({route, workspace, waitMs}: TokenShortage, fields: RequestFields, pool: BorrowOutcome): RequestRefusal {
		const {limiter, random} = this.context;
		const retryMs = rateRetryAfterMs({
			waitMs, isOverRate: limiter.isOverRate(workspace.name), timeLeftMs: requestTimeoutMs(route, fields), random: random(),
		});
		return {
			code: ResultCode.rateExceeded, retryMs, workspace: workspace.name, pool,
		};
	}

	/** Forwards an admitted request when its body was read, or at once without one. */
	async #receiveAndForward(readRequest: ReadRequest, admission: RequestAdmission): Promise<void> {
		const {request, response, fields} = readRequest;
		if (!hasBody(request)) {
			this.#forward(readRequest, admission, noBody);
			return;
		}

		const {limits} = this.configuration()!.configuration;
		try {
			const body = await this.#readBody(request, response, {maxBodyBytes: limits.maxBodyBytes, bodyTimeMs: requestTimeoutMs(admission.route, fields)});
			// A body that arrives late may have the close of its caller behind it too.
			this.context.closeBarrier.run(() => {
				this.#forward(readRequest, admission, body);
			});
		} catch (error) {
			const {code, message} = toFescuewickError(error);
			this.#refuseAdmitted(readRequest, admission, {code, message});
		}
	}

	#forward(readRequest: ReadRequest, admission: RequestAdmission, body: RequestBody): void {
		const {request, fields, arrivedAtMs} = readRequest;
		const {route} = admission;
		if (hasCallerLeft(request.socket)) {
			this.#refuseAdmitted(readRequest, admission, callerLeftRefusal);
			return;
		}

		try {
			const forwardedRequest = new ForwardedRequest(this.context, {
				...readRequest, ...admission, id: fields.id ?? this.#newId(), service: this.#serviceOf(route), body, deadlineAtMs: arrivedAtMs + requestTimeoutMs(route, fields),
			});
			this.activeRequests.add(forwardedRequest);
			this.#unadmitted.delete(request);
			forwardedRequest.start();
		} catch (error) {
			const {code, message} = toFescuewickError(error);
			this.#refuseAdmitted(readRequest, admission, {code, message});
		}
	}

	/** Reads a body as far as it is buffered; without memory for it, the request is streamed and cannot be sent to a second server. */
	async #readBody(request: IncomingMessage, response: ServerResponse, limits: Omit<BodyLimits, 'maxReplayBytes'>): Promise<RequestBody> {
		checkBodyLength(request, limits.maxBodyBytes);
		const reservedBytes = Math.min(Number(request.headers['content-length'] ?? maxReplayBytes), maxReplayBytes);
		const isReserved = this.#bodyMemory.reserve(reservedBytes);
		if (isReserved) {
			response.once('close', () => {
				this.#bodyMemory.release(reservedBytes);
			});
		}

		sendContinue(request, response);
		return readBody(request, {...limits, maxReplayBytes: isReserved ? maxReplayBytes : 0}, this.context.timers);
	}

	/** To be called when a request has ended. */
	onFinished(request: ActiveRequest): void {
		this.activeRequests.delete(request);
	}

	#admit(request: IncomingMessage, fields: RequestFields): RequestAdmission | RequestRefusal | TokenShortage {
		const configuration = this.configuration();
		if (configuration === undefined) {
			return {code: ResultCode.notReady, retryMs: notReadyRetryMs};
		}

		if (this.isRefusing) {
			return {code: ResultCode.draining, retryMs: drainingRetryMs};
		}

		const host = request.headers.host?.replace(/:\d+$/, '').toLowerCase();
		if (host === undefined || !request.url!.startsWith('/')) {
			return {code: ResultCode.malformedRequest, message: 'the request needs a host and a path'};
		}

		try {
			checkHeaderNames(request.rawHeaders);
		} catch (error) {
			const {code, message} = toFescuewickError(error);
			return {code, message};
		}

		const route = configuration.findRoute(host, request.url!);
		if (route === undefined) {
			return {code: ResultCode.noRoute};
		}

		let workspace: Workspace | undefined;
		if (!route.isOpen && configuration.needsKeys) {
			if (fields.key === undefined) {
				return {code: ResultCode.keyMissing};
			}

			workspace = configuration.workspaceOfKey(fields.key);
			if (workspace === undefined) {
				return {code: ResultCode.keyUnknown};
			}

			const waitMs = this.context.limiter.take(workspace.name);
			if (waitMs > 0) {
				return {route, workspace, waitMs};
			}
		}

		return {route, workspace};
	}

	/** Refuses a request that was admitted, and returns its token. */
	#refuseAdmitted(readRequest: ReadRequest, {workspace}: RequestAdmission, refusal: RequestRefusal): void {
		if (workspace !== undefined) {
			this.context.limiter.refund(workspace.name);
		}

		this.#refuse(readRequest, refusal);
	}

	#refuse({request, response, fields, arrivedAtMs}: ReadRequest, refusal: RequestRefusal): void {
		const {code, retryMs, message} = refusal;
		this.#unadmitted.delete(request);
		if (code !== ResultCode.callerLeft && !response.headersSent && !response.destroyed) {
			sendError({
				request, response, code, id: fields.id, idHeader: this.context.dialect.requestIdHeader, retryMs, message, isDraining: this.context.isDraining(),
			});
		}

		this.context.onFinished(undefined, {
			id: fields.id,
			code,
			outcome: resultCodeName(code),
			status: response.headersSent ? response.statusCode : undefined,
			reason: message,
			durationMs: Math.round(this.context.timers.nowMs() - arrivedAtMs),
			attempts: 0,
			path: code === ResultCode.noRoute ? request.url : undefined,
			configuration: this.context.configurationVersion(),
			retryMs,
			...(refusal.workspace === undefined ? {} : {workspace: refusal.workspace, pool: refusal.pool, ...this.context.limiter.explain(refusal.workspace)}),
		});
	}

	#serviceOf(route: Route): string {
		if (route.parts.length === 1) {
			return route.parts[0].service;
		}

		let serviceTurns = this.#serviceTurns.get(route);
		if (serviceTurns === undefined) {
			serviceTurns = new WeightedRoundRobin(route.parts);
			this.#serviceTurns.set(route, serviceTurns);
		}

		return serviceTurns.next();
	}

	#newId(): string {
		this.#sequence++;
		return `${Math.floor(this.context.random() * (2 ** 48)).toString(16)}-${this.#sequence}`;
	}
}

/** Time from the arrival of a request to its deadline, in milliseconds. */
function requestTimeoutMs(route: Route, {timeLeftMs}: RequestFields): number {
	return Math.min(route.timeoutMs, timeLeftMs ?? Number.POSITIVE_INFINITY);
}
