import {type IncomingMessage, type ServerResponse} from 'node:http';
import {Safety} from '@fescuewick/config';
import {
	DecisionKind, FescuewickError, logDecision, Outcome, ResultCode, resultCodeName, toFescuewickError, type Logger, type TimerService,
} from '@fescuewick/core';
import {type BackendLease} from '../backends/backend-pool.js';
import {Forwarding, type ForwardResult} from '../forward/forwarding.js';
import {type RateLimiter} from '../limits/rate-limiter.js';
import {contentHash} from '../orders/content-hash.js';
import {type OrderClaims, type Claim} from '../orders/order-claims.js';
import {type SlotRequest} from '../queue/service-scheduler.js';
import {type EntryMetrics} from '../server/entry-metrics.js';
import {type ServiceRegistry} from '../server/service-registry.js';
import {type EntryLimits} from '../settings.js';
import {hasCallerLeft, type CloseBarrier} from '../server/close-barrier.js';
import {type FleetView} from '../view/fleet-view.js';
import {type RouteMatch} from '../view/route-table.js';
import {AnswerRecorder} from './answer-recorder.js';
import {
	checkBodyLength, hasBody, noBody, readBody, type BodyBufferBudget, type RequestBody,
} from './body-reader.js';
import {
	checkCredentials, isIssuedKey, openWorkspace, type Credentials,
} from './credentials.js';
import {Exchange, OrderState} from './exchange.js';
import {checkProtocol, forwardHeaders, readOrderKey} from './headers.js';
import {type InFlightRequests} from './in-flight-requests.js';
import {type RateWaiter} from './rate-waiter.js';
import {parseTarget} from './target.js';
import {dropUnusedBody} from './unused-body.js';

/** Orders use connections whose last answer is at most this old, or new ones. */
const orderMaxIdleMs = 1000;

/** Dependencies of the request handler. */
export type RequestContext = {
	readonly timers: TimerService;
	/** Requests are sent to servers only behind it. */
	readonly closeBarrier: CloseBarrier;
	readonly logger: Logger;
	readonly limits: EntryLimits;
	readonly view: FleetView;
	readonly rateLimiter: RateLimiter;
	readonly rateWaiter: RateWaiter;
	readonly services: ServiceRegistry;
	readonly claims: OrderClaims;
	readonly inFlight: InFlightRequests;
	readonly bodyBufferBudget: BodyBufferBudget;
	readonly metrics: EntryMetrics;
	readonly incarnation: string;
	/** Whether answers instruct callers to close their connection, because the VM is draining. */
	readonly closing: () => boolean;
};

type AdmittedRequest = {
	readonly match: RouteMatch;
	readonly path: string;
	readonly credentials: Credentials;
	readonly orderKey: string | undefined;
	readonly deadlineAtMs: number;
};

/** Handles requests: admission, rate limit, claim, queue and forwarding. */
export class RequestHandler {
	#nextId = 1;
	readonly #decisionLogger: Logger;

	constructor(private readonly context: RequestContext) {
		// The lines of this logger have fixed top-level fields only, so nested paths need no redaction, which halves the cost of a line.
		this.#decisionLogger = context.logger.child({}, {redact: ['key', 'authorization', 'idempotencyKey']});
	}

	/** Handles one request until it has ended, unless its caller turns out to have left before it was read, or its connection ends behind an answer before it; never rejects. */
	async handle(request: IncomingMessage, response: ServerResponse, expectsContinue = false): Promise<void> {
		const {closeBarrier, timers, inFlight, incarnation, closing} = this.context;
		if (inFlight.isEnding(request.socket)) {
			return;
		}

		const exchange: Exchange = new Exchange(request, response, {
			id: `${incarnation}.${(this.#nextId++).toString(36)}`, arrivedAtMs: timers.nowMs(), closing, endConnection: () => inFlight.endConnectionAfter(exchange),
		});
		inFlight.add(exchange);
		response.once('prefinish', () => {
			dropUnusedBody(request, timers, reason => {
				this.context.logger.warn({requestId: exchange.id, reason}, 'closed the connection of a caller that goes on sending a body after the answer');
				request.socket.destroy();
			});
		});
		return new Promise(resolve => {
			closeBarrier.run(() => {
				resolve(this.#runToEnd(exchange, expectsContinue));
			});
		});
	}

	async #runToEnd(exchange: Exchange, expectsContinue: boolean): Promise<void> {
		const {inFlight} = this.context;
		try {
			if (hasCallerLeft(exchange.request.socket)) {
				exchange.callerLeft = true;
				throw new FescuewickError(ResultCode.callerLeft, 'the caller left before the request was handled');
			}

			await this.#run(exchange, expectsContinue);
		} catch (error) {
			const failure = toFescuewickError(error);
			if (failure.code === ResultCode.internal) {
				this.context.logger.error({err: error, requestId: exchange.id}, 'request failed unexpectedly');
			}

			exchange.refuse(failure);
		} finally {
			inFlight.remove(exchange);
			exchange.dispose();
			this.#recordResult(exchange);
		}
	}

	async #run(exchange: Exchange, expectsContinue: boolean): Promise<void> {
		const {limits, timers, bodyBufferBudget, rateWaiter} = this.context;
		const admitted = this.#admit(exchange);
		if (admitted.credentials.workspace !== openWorkspace) {
			const waiting = rateWaiter.take(admitted.credentials.workspace, admitted.deadlineAtMs);
			if (waiting !== undefined) {
				await waiting;
			}
		}

		if (!hasBody(exchange.request)) {
			await this.#runWithBody(exchange, admitted, noBody);
			return;
		}

		checkBodyLength(exchange.request, limits.maxBodyBytes);
		const reservedBytes = Math.min(limits.maxReplayBytes, Number(exchange.request.headers['content-length'] ?? limits.maxReplayBytes));
		if (!bodyBufferBudget.reserve(reservedBytes)) {
			throw new FescuewickError(ResultCode.queueFull, `the buffered request bodies would exceed the limit of ${limits.maxHeldBytes} bytes`, {retryAfterMs: 1000});
		}

		try {
			if (expectsContinue) {
				exchange.response.writeContinue();
			}

			await this.#runWithBody(exchange, admitted, await readBody(exchange.request, limits, timers));
		} finally {
			bodyBufferBudget.release(reservedBytes);
		}
	}

	/** Checks the target, route, key and order key of a request; throws a result code if it is refused. */
	#admit(exchange: Exchange): AdmittedRequest {
		const {view} = this.context;
		const {configuration} = view;
		if (configuration === undefined) {
			throw new FescuewickError(ResultCode.notReady, 'the VM has no configuration yet', {retryAfterMs: 1000});
		}

		const {request} = exchange;
		checkProtocol(request);
		const {path, query} = parseTarget(request.url ?? '', value => isIssuedKey(view, configuration, value));
		const match = configuration.routes.match(request.method ?? '', path);
		if (match === undefined) {
			throw new FescuewickError(ResultCode.noRoute, 'no route matches the method and path');
		}

		exchange.match = match;
		let orderKey: string | undefined;
		if (match.settings.safety === Safety.atMostOnce) {
			exchange.order = request.headers['idempotency-key'] === undefined ? OrderState.none : OrderState.unchecked;
			orderKey = readOrderKey(request.rawHeaders);
		}

		const credentials = checkCredentials(view, match, request.rawHeaders);
		exchange.workspace = credentials.workspace;
		if (credentials.containsKey(request.url ?? '')) {
			throw new FescuewickError(ResultCode.keyInQuery, 'the key was given in the request target; send it in a header only');
		}

		return {
			match, path: path + query, credentials, orderKey, deadlineAtMs: exchange.arrivedAtMs + match.settings.deadlineMs,
		};
	}

	async #runWithBody(exchange: Exchange, admitted: AdmittedRequest, body: RequestBody): Promise<void> {
		const claim = admitted.orderKey === undefined ? undefined : await this.#claim(exchange, admitted, body);
		if (claim === 'replayed') {
			return;
		}

		let lease: BackendLease;
		try {
			lease = await this.#awaitSlot(exchange, admitted);
		} catch (error) {
			this.#release(claim);
			throw error;
		}

		try {
			admitted.credentials.recheck();
		} catch (error) {
			this.context.services.scheduler(admitted.match.service).pool.releaseUnused(lease);
			this.#release(claim);
			throw error;
		}

		await this.#forward(exchange, admitted, {body, lease, claim});
	}

	async #claim(exchange: Exchange, {match, credentials, deadlineAtMs, path, orderKey = ''}: AdmittedRequest, {buffered}: RequestBody): Promise<Claim | 'replayed'> {
		const workspace = credentials.workspace === openWorkspace ? `${openWorkspace}:${match.service}` : credentials.workspace;
		const result = await this.context.claims.claim({workspace, orderKey, claimant: exchange.id}, {
			contentHash: contentHash(exchange.request.method ?? '', path, buffered.subarray(0, this.context.limits.maxReplayBytes)),
			repeatWindowMs: match.settings.repeatWindowMs,
			deadlineAtMs,
		});
		exchange.order = OrderState.decided;
		if ('claim' in result) {
			return result.claim;
		}

		exchange.replay(result.replay);
		return 'replayed';
	}

	#release(claim: Claim | undefined): void {
		if (claim !== undefined) {
			void this.context.claims.release(claim);
		}
	}

	async #awaitSlot(exchange: Exchange, {match, credentials, deadlineAtMs}: AdmittedRequest): Promise<BackendLease> {
		const {closeBarrier, timers, services, inFlight} = this.context;
		const scheduler = services.scheduler(match.service);
		const queuedAtMs = timers.nowMs();
		let isQueued = false;
		try {
			return await new Promise<BackendLease>((resolve, reject) => {
				const callerLeft = () => new FescuewickError(ResultCode.callerLeft, 'the caller left before the request was sent');
				const slotRequest: SlotRequest = {
					workspace: credentials.workspace,
					dueAtMs: exchange.arrivedAtMs + match.settings.latenessTargetMs,
					deadlineAtMs,
					deadlineMs: match.settings.deadlineMs,
					maxIdleMs: match.settings.safety === Safety.atMostOnce ? orderMaxIdleMs : undefined,
					onSlot(lease) {
						if (!isQueued) {
							resolve(lease);
							return;
						}

						closeBarrier.run(() => {
							if (exchange.callerLeft || hasCallerLeft(exchange.request.socket)) {
								exchange.callerLeft = true;
								scheduler.pool.releaseUnused(lease);
								reject(callerLeft());
							} else {
								resolve(lease);
							}
						});
					},
					onRefused: reject,
				};
				const abort = (error: FescuewickError) => {
					if (scheduler.remove(slotRequest)) {
						reject(error);
					}
				};

				if (exchange.callerLeft) {
					reject(callerLeft());
					return;
				}

				scheduler.submit(slotRequest);
				isQueued = true;
				exchange.onCallerLeft(() => {
					abort(callerLeft());
				});
				inFlight.setRevocationAction(exchange, credentials.digestHex, 'queued', () => {
					abort(new FescuewickError(ResultCode.keyWithdrawn, 'the key was withdrawn'));
				});
			});
		} finally {
			exchange.onCallerLeft(undefined);
			exchange.queuedMs = timers.nowMs() - queuedAtMs;
		}
	}

	async #forward(exchange: Exchange, admitted: AdmittedRequest, {body, lease, claim}: {body: RequestBody; lease: BackendLease; claim: Claim | undefined}): Promise<void> {
		const {services, limits, inFlight} = this.context;
		const {match, credentials} = admitted;
		const recorder = claim === undefined ? undefined : new AnswerRecorder(limits.maxStoredAnswerBytes);
		const repeatable = match.settings.safety !== Safety.atMostOnce;
		const baseHeaders = this.#headers(exchange, admitted);
		const forwarding: Forwarding = new Forwarding({
			requestId: exchange.id,
			method: exchange.request.method ?? '',
			path: admitted.path,
			headers: remainingMs => [...baseHeaders, 'x-fescuewick-deadline-ms', String(remainingMs)],
			body,
			repeatable,
			latenessTargetMs: match.settings.latenessTargetMs,
			deadlineAtMs: admitted.deadlineAtMs,
			sink: {
				head(head) {
					recorder?.head(head);
					exchange.begin(head);
				},
				write(chunk) {
					recorder?.write(chunk);
					return exchange.write(chunk);
				},
			},
		}, services.forwardContext(match));
		exchange.sending = true;
		exchange.response.on('drain', () => {
			forwarding.resume();
		});
		forwarding.start(lease);
		exchange.onCallerLeft(() => {
			// A claimed order that may have run is continued, so that a repeat gets its answer.
			if (claim === undefined || !forwarding.written) {
				forwarding.cancel(new FescuewickError(forwarding.written ? ResultCode.backendCut : ResultCode.callerLeft, 'the caller left'));
			} else {
				forwarding.resume();
			}
		});
		if (repeatable) {
			inFlight.setRevocationAction(exchange, credentials.digestHex, 'running', () => {
				forwarding.cancel(new FescuewickError(ResultCode.backendCut, 'the key was withdrawn while the request ran'));
			});
		}

		this.#finish(exchange, await forwarding.result, claim, recorder);
	}

	#finish(exchange: Exchange, {error, headSent, attempts, server}: ForwardResult, claim: Claim | undefined, recorder: AnswerRecorder | undefined): void {
		exchange.attempts = attempts;
		exchange.server = server;
		this.context.services.countLoad(exchange.match?.service ?? '', exchange.sizeBytes);
		if (error === undefined) {
			if (claim !== undefined) {
				void this.context.claims.complete(claim, recorder?.answer());
			}

			exchange.end();
			return;
		}

		if (error.outcome === Outcome.notRun) {
			this.#release(claim);
		} else if (claim !== undefined) {
			void this.context.claims.completeUnknown(claim);
		}

		if (headSent) {
			exchange.reset(error);
		} else {
			exchange.refuse(error);
		}
	}

	#headers(exchange: Exchange, {match, credentials}: AdmittedRequest): string[] {
		const headers = forwardHeaders(exchange.request.rawHeaders, credentials.workspace !== openWorkspace, credentials.containsKey);
		headers.push('x-fescuewick-class', match.settings.name, 'x-fescuewick-request-id', exchange.id);
		if (credentials.workspace !== openWorkspace) {
			headers.push('x-fescuewick-workspace', credentials.workspace);
		}

		return headers;
	}

	#recordResult(exchange: Exchange): void {
		const {metrics, timers} = this.context;
		const code = exchange.callerLeft && exchange.code === undefined ? ResultCode.callerLeft : exchange.code ?? ResultCode.internal;
		const durationMs = timers.nowMs() - exchange.arrivedAtMs;
		const className = exchange.match?.settings.name ?? 'none';
		metrics.recordRequest(code, className, durationMs / 1000, exchange.queuedMs / 1000);
		logDecision(this.#decisionLogger, DecisionKind.route, code === ResultCode.ok ? 'forwarded' : resultCodeName(code), {
			code,
			requestId: exchange.id,
			service: exchange.match?.service,
			class: className,
			workspace: exchange.workspace,
			server: exchange.server,
			attempts: exchange.attempts,
			queuedMs: Math.round(exchange.queuedMs),
			durationMs: Math.round(durationMs),
		});
	}
}
