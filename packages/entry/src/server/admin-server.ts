import {createServer, type Server} from 'node:http';
import {type EntryMetrics} from './entry-metrics.js';

/** Creates the server for `/healthz`, `/readyz` and `/metrics`. */
export function createAdminServer(options: {readonly isReady: () => boolean; readonly metrics: EntryMetrics; readonly sample: () => void}): Server {
	return createServer(async (request, response) => {
		const path = request.url?.split('?')[0];
		if (request.method !== 'GET' && request.method !== 'HEAD') {
			response.writeHead(405).end();
			return;
		}

		switch (path) {
			case '/healthz': {
				response.writeHead(200, {'content-type': 'application/json'}).end('{"status":"ok"}');
				break;
			}

			case '/readyz': {
				const isReady = options.isReady();
				response.writeHead(isReady ? 200 : 503, {'content-type': 'application/json'}).end(JSON.stringify({ready: isReady}));
				break;
			}

			case '/metrics': {
				options.sample();
				const {registry} = options.metrics.metrics;
				response.writeHead(200, {'content-type': registry.contentType}).end(await options.metrics.metrics.text());
				break;
			}

			default: {
				response.writeHead(404).end();
			}
		}
	});
}
