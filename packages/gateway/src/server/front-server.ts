import {type Server} from 'node:http';
import {type TimerService} from '@fescuewick/core';
import {stopListening} from '@fescuewick/entry/http';
import {type CallerLimits} from '../model/configuration.js';
import {type ClientConnections} from './client-connections.js';
import {type RequestHandler} from './request-handler.js';
import {type RequestLog} from './request-log.js';

/** Limits before a configuration is loaded; the same as in the existing deployments. */
const initialLimits: Pick<CallerLimits, 'maxHeaderBytes' | 'headerTimeoutMs' | 'idleTimeoutMs'> = {maxHeaderBytes: 65_536, headerTimeoutMs: 10_000, idleTimeoutMs: 15_000};
/** Time added to the header and keep-alive timeouts of the configuration, so that connections stay open longer than callers may reuse them, in milliseconds. */
const timeoutMarginMs = 1000;
/** How often Node.js checks for requests whose headers arrive too slowly, in milliseconds. */
const headerCheckIntervalMs = 1000;
/** Time from SIGTERM until new requests are refused, in milliseconds; by then most callers have renewed their directory answer, and accepted requests still have time to end. */
const acceptAfterStopMs = 2700;
/** Time from SIGTERM until the VM stops listening, in milliseconds; until then callers with an old directory answer get a refusal with a retry time instead of a refused connection. */
const listenAfterStopMs = 4300;
/** Fraction of the grace time after which requests in progress are abandoned. */
const abandonGraceFraction = 0.9;
/** How often a stopping server checks whether all requests have ended, in milliseconds. */
const idleCheckIntervalMs = 50;

/** Creates the server that callers connect to. */
export function createFrontServer(handler: RequestHandler, clients: ClientConnections, requestLog: RequestLog): Server {
	const server = clients.createServer({
		maxHeaderSize: initialLimits.maxHeaderBytes,
		headersTimeout: initialLimits.headerTimeoutMs,
		requestTimeout: 0,
		connectionsCheckingInterval: headerCheckIntervalMs,
		keepAliveTimeout: initialLimits.idleTimeoutMs + timeoutMarginMs,
		noDelay: true,
	}, (request, response, arrivedAtMs) => {
		handler.handle(request, response, arrivedAtMs);
	}, reason => {
		requestLog.writeMalformed(reason);
	});
	server.on('connection', socket => {
		// Each request that waits behind another one on a connection listens for its end.
		socket.setMaxListeners(0);
	});
	return server;
}

/** Applies the limits of a configuration to a running server. */
export function applyLimits(server: Server, {headerTimeoutMs, idleTimeoutMs}: CallerLimits): void {
	server.headersTimeout = headerTimeoutMs + timeoutMarginMs;
	server.keepAliveTimeout = idleTimeoutMs + timeoutMarginMs;
}

/** Stops a front server within `graceMs`: goes on serving at first, then refuses new requests, then stops listening and ends when no request is in progress. */
export async function stopFrontServer(server: Server, handler: RequestHandler, {timers, graceMs, clients}: {readonly timers: TimerService; readonly graceMs: number; readonly clients: ClientConnections}): Promise<void> {
	const startedAtMs = timers.nowMs();
	await timers.sleep(Math.min(acceptAfterStopMs, graceMs / 2));
	handler.isRefusing = true;
	await timers.sleep(Math.min(listenAfterStopMs - acceptAfterStopMs, graceMs / 4));
	await stopListening(server);
	while (handler.unansweredCount + clients.unfinishedCount(server) > 0 && timers.nowMs() - startedAtMs < graceMs * abandonGraceFraction) {
		await timers.sleep(idleCheckIntervalMs);
	}

	for (const request of handler.activeRequests) {
		request.abort();
	}

	// Gives answers that were just written time to be sent.
	await timers.sleep(idleCheckIntervalMs);
}
