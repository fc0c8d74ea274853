import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type AddressInfo} from 'node:net';
import {Pool} from 'undici';

export type BaselineProxy = {readonly url: string; close(): Promise<void>};

const droppedHeaders = new Set(['connection', 'keep-alive', 'transfer-encoding', 'host', 'expect', 'upgrade']);

/** Starts a plain proxy for comparison: round robin over the backend servers, without keys, admission control or retries. */
export async function startBaselineProxy(backendUrls: readonly string[]): Promise<BaselineProxy> {
	const pools = backendUrls.map(url => new Pool(url, {pipelining: 1}));
	let next = 0;
	const server = createServer((request, response) => {
		forward(pools[next++ % pools.length], request, response);
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as AddressInfo;
	return {
		url: `http://127.0.0.1:${port}`,
		async close() {
			await closeServer(server);
			await Promise.all(pools.map(async pool => pool.destroy()));
		},
	};
}

function forward(pool: Pool, request: IncomingMessage, response: ServerResponse): void {
	const headers: string[] = [];
	for (let index = 0; index < request.rawHeaders.length; index += 2) {
		if (!droppedHeaders.has(request.rawHeaders[index].toLowerCase())) {
			headers.push(request.rawHeaders[index], request.rawHeaders[index + 1]);
		}
	}

	const hasBody = request.headers['content-length'] !== undefined || request.headers['transfer-encoding'] !== undefined;
	pool.dispatch({
		method: request.method as 'GET', path: request.url ?? '/', headers, body: hasBody ? request : null,
	}, {
		onRequestStart(controller) {
			response.once('close', () => {
				if (!response.writableFinished) {
					controller.abort(new Error('the caller closed the connection before the response was complete'));
				}
			});
			response.on('drain', () => {
				controller.resume();
			});
		},
		onResponseStart(_controller, status, answerHeaders) {
			delete answerHeaders.connection;
			delete answerHeaders['keep-alive'];
			delete answerHeaders['transfer-encoding'];
			response.writeHead(status, answerHeaders);
		},
		onResponseData(controller, chunk) {
			if (!response.write(chunk)) {
				controller.pause();
			}
		},
		onResponseEnd() {
			response.end();
		},
		onResponseError() {
			if (response.headersSent) {
				response.destroy();
			} else {
				response.writeHead(502).end();
			}
		},
	});
}

async function closeServer(server: Server): Promise<void> {
	await new Promise<void>(resolve => {
		server.close(() => {
			resolve();
		});
		server.closeAllConnections();
	});
}
