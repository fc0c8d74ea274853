import {Agent, request, type Dispatcher} from 'undici';
import {type TimerService} from '@fescuewick/core';
import {type RequestStream} from './scenario.js';
import {type Observation} from './recorder.js';

/** The fields of a look-up response that callers use. */
type LookupAnswer = {
	readonly ttlMs: number;
	readonly endpoints: ReadonlyArray<{readonly vm: string; readonly url: string}>;
};

type CachedLookup = {readonly answer: LookupAnswer; readonly expiresAtMs: number};

const lookupTimeoutMs = 2000;
const requestTimeoutMs = 15_000;
/** Status recorded when no response was received. */
const noResponseStatus = 599;

/** Simulates a client of the system: caches look-up responses and sends each request to the first endpoint that accepts the connection. */
export class Caller {
	readonly #lookups = new Map<string, CachedLookup>();
	readonly #agent: Dispatcher;
	#nextLookupUrl = 0;

	constructor(readonly lookupUrls: readonly string[], readonly timers: TimerService, connections = 64) {
		this.#agent = new Agent({connections, pipelining: 1, keepAliveTimeout: 4000});
	}

	/** Sends one request of a stream; never rejects. */
	async send(stream: RequestStream, options: {readonly requestId: string; readonly apiKey: string; readonly orderKey: string | undefined; readonly endpointIndex: number}): Promise<Observation> {
		const startedAtMs = this.timers.nowMs();
		const observe = (status: number, code: number, outcome: string, isOwnAnswer: boolean): Observation => ({
			workspace: stream.workspace, class: stream.class, latencyMs: this.timers.nowMs() - startedAtMs, status, code, outcome, isOwnAnswer, sentAtMs: startedAtMs, requestId: options.requestId,
		});
		const lookup = await this.#lookup(stream.service);
		if (lookup === undefined || lookup.endpoints.length === 0) {
			return observe(noResponseStatus, 0, 'not-run', false);
		}

		const {endpoints} = lookup;
		for (let attempt = 0; attempt < endpoints.length; attempt++) {
			const endpoint = endpoints[(options.endpointIndex + attempt) % endpoints.length];
			try {
				return await this.#sendTo(endpoint.url, stream, options, observe);
			} catch (error) {
				if ((error as {code?: string}).code !== 'ECONNREFUSED') {
					return observe(noResponseStatus, 0, 'unknown', false);
				}

				this.#lookups.delete(stream.service);
			}
		}

		return observe(noResponseStatus, 0, 'not-run', false);
	}

	async close(): Promise<void> {
		await this.#agent.destroy();
	}

	async #sendTo(
		url: string,
		stream: RequestStream,
		options: {readonly requestId: string; readonly apiKey: string; readonly orderKey: string | undefined},
		observe: (status: number, code: number, outcome: string, isOwnAnswer: boolean) => Observation,
	): Promise<Observation> {
		const path = `${stream.path}?request=${options.requestId}`;
		const response = await request(`${url}${path}`, {
			dispatcher: this.#agent,
			method: stream.method,
			headers: {
				authorization: `Bearer ${options.apiKey}`,
				...(options.orderKey === undefined ? {} : {'idempotency-key': options.orderKey}),
				...(stream.method === 'POST' ? {'content-type': 'application/json'} : {}),
			},
			body: stream.method === 'POST' ? JSON.stringify({order: options.orderKey ?? options.requestId}) : undefined,
			headersTimeout: requestTimeoutMs,
			bodyTimeout: requestTimeoutMs,
		});
		const text = await response.body.text();
		const code = Number(response.headers['x-fescuewick-code'] ?? (response.statusCode < 300 ? 1000 : 0));
		const isOwnAnswer = text.includes(options.requestId) || response.headers['idempotent-replay'] === 'true';
		return observe(response.statusCode, code, outcomeOf(response.statusCode, text), isOwnAnswer);
	}

	async #lookup(service: string): Promise<LookupAnswer | undefined> {
		const cached = this.#lookups.get(service);
		if (cached !== undefined && cached.expiresAtMs > this.timers.nowMs()) {
			return cached.answer;
		}

		const first = this.#nextLookupUrl++ % this.lookupUrls.length;
		for (const url of [...this.lookupUrls.slice(first), ...this.lookupUrls.slice(0, first)]) {
			try {
				const response = await request(`${url}/v1/lookup?service=${service}`, {dispatcher: this.#agent, headersTimeout: lookupTimeoutMs});
				if (response.statusCode === 200) {
					const answer = await response.body.json() as LookupAnswer;
					this.#lookups.set(service, {answer, expiresAtMs: this.timers.nowMs() + answer.ttlMs});
					return answer;
				}

				await response.body.dump();
			} catch {
				// Try the next look-up endpoint.
			}
		}

		return cached?.answer;
	}
}

function outcomeOf(status: number, text: string): string {
	if (status >= 200 && status < 300) {
		return 'done';
	}

	try {
		return (JSON.parse(text) as {outcome?: string}).outcome ?? 'unknown';
	} catch {
		return 'unknown';
	}
}
