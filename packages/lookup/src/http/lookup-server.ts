import {Buffer} from 'node:buffer';
import {createServer, type Server} from 'node:http';
import restana from 'restana';
import {
	DecisionKind, type DecisionWriter, errorBody, FescuewickError, logDecision, ResultCode, resultCodeTable, toFescuewickError, type Logger, type Metrics, type TimerService,
} from '@fescuewick/core';
import {type AnswerBook} from '../answers/lookup-resolver.js';
import {renderAnswer, type Answer} from '../answers/answer-table.js';
import {parseLookupQuery} from './lookup-query.js';

/** What the HTTP side of a look-up daemon needs. */
export type LookupServerOptions = {
	readonly resolver: AnswerBook;
	readonly timers: TimerService;
	readonly logger: Logger;
	/** Takes a line for each look-up. */
	readonly decisions: DecisionWriter;
	readonly metrics: Metrics;
};

/** Type of the responses that `restana` hands to handlers. */
export type LookupResponse = {
	statusCode: number;
	setHeader(name: string, value: string | number): unknown;
	writeHead(status: number, headers: Record<string, string | number>): unknown;
	end(text?: string): unknown;
};

type LookupRequest = {query: Record<string, string | string[]>; readonly socket: {readonly remoteAddress?: string}};

type LookupContext = LookupServerOptions & {readonly counts: LookupCounts};

const jsonType = 'application/json; charset=utf-8';
/** An idle connection is closed after this; longer than the time to live of answers, so that clients keep theirs. */
const keepAliveMs = 30_000;

/** Counts of look-ups by result, kept as numbers and copied to the metric when it is read. */
class LookupCounts {
	readonly #counts = new Map<string, number>();

	add(reason: string): void {
		this.#counts.set(reason, (this.#counts.get(reason) ?? 0) + 1);
	}

	register(metrics: Metrics): void {
		const counter = metrics.counter('fescuewick_lookups_total', 'Look-ups by reason of the answer', ['reason']);
		this.copy = () => {
			counter.reset();
			for (const [reason, count] of this.#counts) {
				counter.inc({reason}, count);
			}
		};
	}

	copy: () => void = () => {
		// Nothing is copied before a metric is registered.
	};
}

/** Makes the HTTP server of a look-up daemon; the caller lets it listen. */
export function createLookupServer(options: LookupServerOptions): Server {
	const {resolver, metrics} = options;
	const counts = new LookupCounts();
	counts.register(metrics);
	const context: LookupContext = {...options, counts};
	const server = createServer({keepAliveTimeout: keepAliveMs});
	server.on('request', (_request, response) => {
		// After the daemon stopped listening, each connection ends with its present response.
		response.shouldKeepAlive &&= server.listening;
	});
	// Handling a request in a later turn of the event loop only adds latency here.
	const service = restana({
		server, prioRequestsProcessing: false, defaultRoute(_request, response) {
			sendError(response, new FescuewickError(ResultCode.noRoute, 'no such path'));
		},
	});
	service.get('/v1/lookup', (request, response) => {
		answerLookup(request, response, context);
	});
	service.get('/healthz', (_request, response) => {
		response.send({status: 'ok'});
	});
	service.get('/readyz', (_request, response) => {
		if (resolver.isReady) {
			response.send({status: 'ready', revision: resolver.revision});
		} else {
			sendError(response, new FescuewickError(ResultCode.lookupNotReady, 'the look-up daemon has no configuration yet'));
		}
	});
	service.get('/metrics', async (_request, response) => {
		counts.copy();
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
		// A parsed address has no characters that JSON text would have to escape.
		decisions.write(`${answer.logFields},"from":"${from}"`, wallClockMs);
		sendAnswer(response, answer, wallClockMs);
	} catch (error) {
		const known = toFescuewickError(error);
		counts.add(ResultCode[known.code]);
		logDecision(logger, DecisionKind.lookup, ResultCode[known.code], {service, from: from.slice(0, 64), code: known.code});
		sendError(response, known);
	}
}

function sendAnswer(response: LookupResponse, answer: Answer, wallClockMs: number): void {
	const {text, sizeBytes} = renderAnswer(answer, wallClockMs);
	send(response, answer.code, {text, sizeBytes, retryAfter: answer.code === ResultCode.ok ? undefined : retryAfterS(answer.retryAfterMs)});
}

function sendError(response: LookupResponse, {code, message, retryAfterMs}: FescuewickError): void {
	const text = JSON.stringify(errorBody(code, message, retryAfterMs));
	send(response, code, {text, sizeBytes: Buffer.byteLength(text), retryAfter: code === ResultCode.lookupNotReady ? 1 : undefined});
}

function send(response: LookupResponse, code: ResultCode, {text, sizeBytes, retryAfter}: {text: string; sizeBytes: number; retryAfter: number | undefined}): void {
	// With its length known, the response goes out in one write and without chunks.
	const headers: Record<string, string | number> = {'content-type': jsonType, 'content-length': sizeBytes, 'x-fescuewick-code': code};
	if (retryAfter !== undefined) {
		headers['retry-after'] = retryAfter;
	}

	response.writeHead(resultCodeTable[code].httpStatus, headers);
	response.end(text);
}

function retryAfterS(retryAfterMs: number): number {
	return Math.ceil(retryAfterMs / 1000);
}

