import {createServer, type Server} from 'node:http';
import {type Socket} from 'node:net';
import {Buffer} from 'node:buffer';
import {
	errorBody, ResultCode, resultCodeTable, type TimerService,
} from '@fescuewick/core';
import {type InFlightRequests} from '../request/in-flight-requests.js';
import {type RequestHandler} from '../request/request-handler.js';
import {type EntryLimits} from '../settings.js';
import {stopListening} from './stop-listening.js';

/** Interval at which Node.js checks for requests that exceed the header timeout. */
const headerTimeoutCheckMs = 500;

/** Creates the HTTP server that callers connect to; its parser is strict. */
export function createFrontServer(handler: RequestHandler, inFlight: InFlightRequests, limits: EntryLimits): Server {
	const server = createServer({
		maxHeaderSize: limits.maxHeaderBytes,
		headersTimeout: limits.headerTimeMs,
		// The body timeout is enforced by the request handler; this longer one is only a fallback.
		requestTimeout: limits.headerTimeMs + limits.bodyTimeMs + 60_000,
		connectionsCheckingInterval: headerTimeoutCheckMs,
		keepAliveTimeout: limits.keepAliveMs,
		// The request handler checks the host header, so that the error has a result code.
		requireHostHeader: false,
		noDelay: true,
	}, (request, response) => {
		void handler.handle(request, response);
	});
	server.on('connection', socket => {
		// Each request that waits behind another one on a connection listens for its end.
		socket.setMaxListeners(0);
	});
	server.maxConnections = limits.maxCallerConnections;
	server.on('checkContinue', (request, response) => {
		void handler.handle(request, response, true);
	});
	server.on('checkExpectation', (_request, response) => {
		const {status, headers, content} = rawError(ResultCode.malformedRequest, 'the expectation is not supported');
		response.writeHead(status, headers).end(content);
	});
	server.on('connect', (_request, socket: Socket) => {
		endWithError(socket, ResultCode.malformedRequest, 'CONNECT is not supported');
	});
	server.on('clientError', (error: Error & {code?: string}, socket: Socket) => {
		const active = inFlight.ofSocket(socket);
		// While another answer is being written, the caller would read an error answer as part of it.
		const canAnswer = active.length === 0 || (active.length === 1 && !active[0].sending && !active[0].response.headersSent && !active[0].request.complete);
		if (!canAnswer || error.code === 'ECONNRESET' || !socket.writable) {
			socket.destroy();
			return;
		}

		const [code, message] = describeClientError(error.code);
		endWithError(socket, code, message);
	});
	return server;
}

/** Time for the first request on a new connection after listening has stopped. */
const firstRequestTimeoutMs = 1000;

/** Stops listening and resolves when all connections have closed after their current answer; closes the remaining ones after `maxMs`. */
export async function closeFrontServer(server: Server, timers: TimerService, maxMs: number): Promise<void> {
	const closed = new Promise<void>(resolve => {
		void stopListening(server, resolve);
	});
	const cancels = [
		timers.after(firstRequestTimeoutMs, () => {
			server.closeIdleConnections();
		}),
		timers.repeat(firstRequestTimeoutMs * 2, () => {
			server.closeIdleConnections();
		}),
		timers.after(maxMs, () => {
			server.closeAllConnections();
		}),
	];
	await closed;
	for (const cancel of cancels) {
		cancel();
	}
}

function describeClientError(code: string | undefined): [ResultCode, string] {
	switch (code) {
		case 'HPE_HEADER_OVERFLOW': {
			return [ResultCode.headersTooLarge, 'the request headers are too large'];
		}

		case 'ERR_HTTP_REQUEST_TIMEOUT': {
			return [ResultCode.requestTimeout, 'the request did not arrive in time'];
		}

		default: {
			return [ResultCode.malformedRequest, 'the request is not valid HTTP'];
		}
	}
}

function rawError(code: ResultCode, message: string): {status: number; headers: Record<string, string>; content: Buffer} {
	const content = Buffer.from(JSON.stringify(errorBody(code, message)));
	return {
		status: resultCodeTable[code].httpStatus,
		headers: {
			'content-type': 'application/json', 'content-length': String(content.length), 'x-fescuewick-code': String(code), connection: 'close',
		},
		content,
	};
}

/** Writes an error answer directly to a socket whose HTTP parser has failed, and closes it. */
function endWithError(socket: Socket, code: ResultCode, message: string): void {
	const {status, headers, content} = rawError(code, message);
	const head = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join('');
	socket.end(Buffer.concat([Buffer.from(`HTTP/1.1 ${status} Error\r\n${head}\r\n`), content]));
	socket.destroySoon();
}
