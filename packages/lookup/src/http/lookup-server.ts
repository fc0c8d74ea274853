import {Buffer} from 'node:buffer';
import {createServer, type Server} from 'node:http';
import restana from 'restana';
import {
	DecisionKind, type DecisionWriter, errorBody, FescuewickError, logDecision, ResultCode, resultCodeTable, toFescuewickError, type Logger, type Metrics, type TimerService,
} from '@fescuewick/core';
import {type LookupResolver} from '../answers/lookup-resolver.js';
import {renderAnswer, type Answer} from '../answers/answer-table.js';
import {parseLookupQuery} from './lookup-query.js';

/** Dependencies of the HTTP server of a look-up daemon. */
export type LookupServerOptions = {
	readonly resolver: LookupResolver;
	readonly timers: TimerService;
	readonly logger: Logger;
	/** Receives a log line for each answered look-up. */
	readonly decisions: DecisionWriter;
	readonly metrics: Metrics;
};

/** The methods of the responses of `restana` that handlers use. */
export type LookupResponse = {
	statusCode: number;
	setHeader(name: string, value: string | number): unknown;
	writeHead(status: number, headers: Record<string, string | number>): unknown;
	end(text?: string): unknown;
};

type LookupRequest = {query: Record<string, string | string[]>; readonly socket: {readonly remoteAddress?: string}};

type LookupContext = LookupServerOptions & {readonly counts: LookupCounts};

const jsonContentType = 'application/json; charset=utf-8';
/** Time-out of idle connections; longer than the default time to live of answers, so that clients can reuse their connection for the next look-up. */
const keepAliveMs = 30_000;

/** Counts look-ups by reason of the answer or error; copied to the metric when metrics are read. */
class LookupCounts {
	readonly #counts = new Map<string, number>();

	add(reason: string): void {
		this.#counts.set(reason, (this.#counts.get(reason) ?? 0) + 1);
	}

	register(metrics: Metrics): void {
		const counter = metrics.counter('fescuewick_lookups_total', 'Look-ups by reason of the answer', ['reason']);
		this.copyToMetric = () => {
			counter.reset();
			for (const [reason, count] of this.#counts) {
				counter.inc({reason}, count);
			}
		};
	}

	copyToMetric: () => void = () => {
		// No metric is registered yet.
	};
}

/** Creates the HTTP server of a look-up daemon; the caller starts it with `listen`. */
export function createLookupServer(options: LookupServerOptions): Server {
	const {resolver, metrics} = options;
	const counts = new LookupCounts();
	counts.register(metrics);
	const context: LookupContext = {...options, counts};
	const server = createServer({keepAliveTimeout: keepAliveMs});
	server.on('request', (_request, response) => {
		// After the server stops listening, each connection is closed after the response in progress.
		response.shouldKeepAlive &&= server.listening;
	});
	// With `prioRequestsProcessing` restana would defer requests to a later turn of the event loop, which only adds latency.
	const router = restana({
		server, prioRequestsProcessing: false, defaultRoute(_request, response) {
			sendError(response, new FescuewickError(ResultCode.noRoute, 'no such path'));
		},
	});
	router.get('/v1/lookup', (request, response) => {
		answerLookup(request, response, context);
	});
	router.get('/healthz', (_request, response) => {
		response.send({status: 'ok'});
	});
	router.get('/readyz', (_request, response) => {
		if (resolver.isReady) {
			response.send({status: 'ready', revision: resolver.revision});
		} else {
			sendError(response, new FescuewickError(ResultCode.lookupNotReady, 'the look-up daemon has no configuration yet'));
		}
	});
	router.get('/metrics', async (_request, response) => {
		counts.copyToMetric();
		response.send(await metrics.text(), 200, {'content-type': metrics.registry.contentType});
	});
	return server;
}

function answerLookup(request: LookupRequest, response: LookupResponse, {resolver, timers, logger, counts, decisions}: LookupContext): void {
	let service = '';
	let from = '';
	try {
		const query = parseLookupQuery(request.query, request.socket.remoteAddress ?? '');
		service = query.service;
		from = query.from;
		const {answer} = resolver.answerFor(service, query.block);
		const wallClockMs = timers.wallClockMs();
		counts.add(answer.reason);
		// `from` was parsed as an address, so it has no characters that need escaping in JSON.
		decisions.write(`${answer.logFields},"from":"${from}"`, wallClockMs);
		sendAnswer(response, answer, wallClockMs);
	} catch (error) {
		const fescuewickError = toFescuewickError(error);
		counts.add(ResultCode[fescuewickError.code]);
		logDecision(logger, DecisionKind.lookup, ResultCode[fescuewickError.code], {service, from: from.slice(0, 64), code: fescuewickError.code});
		sendError(response, fescuewickError);
	}
}

function sendAnswer(response: LookupResponse, answer: Answer, wallClockMs: number): void {
	const {text, sizeBytes} = renderAnswer(answer, wallClockMs);
	send(response, answer.code, {text, sizeBytes, retryAfterS: answer.code === ResultCode.ok ? undefined : toRetryAfterS(answer.retryAfterMs)});
}

function sendError(response: LookupResponse, {code, message, retryAfterMs}: FescuewickError): void {
	const text = JSON.stringify(errorBody(code, message, retryAfterMs));
	send(response, code, {text, sizeBytes: Buffer.byteLength(text), retryAfterS: code === ResultCode.lookupNotReady ? 1 : undefined});
}

function send(response: LookupResponse, code: ResultCode, {text, sizeBytes, retryAfterS}: {text: string; sizeBytes: number; retryAfterS: number | undefined}): void {
	// With `content-length` set, the response is sent in one write without chunked encoding.
	const headers: Record<string, string | number> = {'content-type': jsonContentType, 'content-length': sizeBytes, 'x-fescuewick-code': code};
	if (retryAfterS !== undefined) {
		headers['retry-after'] = retryAfterS;
	}

	response.writeHead(resultCodeTable[code].httpStatus, headers);
	response.end(text);
}

function toRetryAfterS(retryAfterMs: number): number {
	return Math.ceil(retryAfterMs / 1000);
}

