import {Buffer} from 'node:buffer';
import {Agent, request as sendRequest} from 'node:http';
import {splitAddress} from './record.js';

let lastId = 0;

/** Stand-in for a client that keeps one connection open and sends one request at a time. */
export class Client {
	#agent = new Agent({keepAlive: true, maxSockets: 1});

	constructor({name, address, host, key, record}) {
		Object.assign(this, {
			name, address, host, key, record,
		});
	}

	/** Sends a request once and resolves with what came back: `status`, `body` and `isReused`, or `error`. */
	async send({method = 'GET', path, deadlineMs, body, headers = {}}) {
		const id = `${this.name}-${++lastId}`;
		const sentAtMs = performance.now();
		this.record.add('sent', {
			id, client: this.name, method, path, deadlineMs,
		});
		const outcome = await new Promise(resolve => {
			const request = sendRequest({
				agent: this.#agent, ...splitAddress(this.address), method, path, headers: {
					host: this.host, 'x-request-id': id, 'x-deadline-ms': deadlineMs, 'x-credential': this.key, ...headers,
				},
			}, response => {
				const chunks = [];
				let sizeBytes = 0;
				response.on('data', chunk => {
					sizeBytes += chunk.length;
					if (sizeBytes <= 4096) {
						chunks.push(chunk);
					}
				});
				response.on('end', () => {
					resolve({
						status: response.statusCode, headers: response.headers, body: Buffer.concat(chunks).toString(), sizeBytes,
					});
				});
				response.on('error', error => {
					resolve({error: error.code ?? error.message, status: response.statusCode, sizeBytes});
				});
			});
			const timer = setTimeout(() => {
				request.destroy(new Error('the client gave up'));
			}, deadlineMs + 1000);
			request.on('error', error => {
				resolve({error: error.code ?? error.message});
			});
			request.on('close', () => clearTimeout(timer));
			request.end(body);
			request.on('socket', () => {
				this.isReused = request.reusedSocket;
			});
		});
		const answered = {
			id, isReused: this.isReused, ...outcome, tookMs: Math.round(performance.now() - sentAtMs),
		};
		this.record.add('answered', {
			id, status: answered.status, error: answered.error, sizeBytes: answered.sizeBytes, code: answered.headers?.['x-fescuewick-code'], isReused: answered.isReused, tookMs: answered.tookMs,
		});
		return answered;
	}

	close() {
		this.#agent.destroy();
	}
}
