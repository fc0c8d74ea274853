import {Agent, request} from 'undici';
import {type TimerService} from '@fescuewick/core';
import {type BackendServer} from '@fescuewick/emulator';

/** Kinds of requests that the fault tests send. */
export enum RequestKind {
	open = 'open',
	check = 'check',
	order = 'order',
}

/** A request to send; without a key only open routes accept it. */
export type CallerRequest = {
	readonly kind: RequestKind;
	readonly key?: string;
	readonly orderKey?: string;
	/** Time for which the backend server works on this request, in place of its configured time. */
	readonly workMs?: number;
	/** Time after which the caller closes its connection if it has no response yet. */
	readonly disconnectAfterMs?: number;
};

/** Result of a request as the caller observed it; `status` is 0 if no complete response arrived. */
export type RequestResult = {
	readonly id: string;
	readonly kind: RequestKind;
	readonly url: string;
	readonly status: number;
	readonly code: number;
	readonly outcome: string;
	readonly text: string;
	readonly isReplay: boolean;
	readonly key: string | undefined;
	readonly orderKey: string | undefined;
	/** Time at which the caller closed its connection before it had a response. */
	readonly disconnectedMs: number | undefined;
	/** Code of the connection error, as in `ECONNREFUSED`. */
	readonly error: string | undefined;
	readonly startedMs: number;
	readonly endedMs: number;
};

/** Load that runs until it is stopped. */
export type Load = {
	/** Stops the load and resolves with the results of its requests. */
	stop(): Promise<RequestResult[]>;
};

const pathsByKind: Readonly<Record<RequestKind, string>> = {
	[RequestKind.open]: '/booking/public', [RequestKind.check]: '/booking/availability', [RequestKind.order]: '/booking/reservations',
};
const responseTimeoutMs = 10_000;

/** Sends requests with unique ids over persistent connections and compares their results with the requests that the backend servers ran. */
export class Caller {
	readonly results: RequestResult[] = [];
	readonly #agent = new Agent({
		connections: 32, pipelining: 1, keepAliveTimeout: 4000, headersTimeout: responseTimeoutMs, bodyTimeout: responseTimeoutMs,
	});

	readonly #loads = new Set<AbortController>();
	#lastId = 0;

	constructor(readonly timers: TimerService, readonly backends: ReadonlyMap<string, BackendServer>) {}

	/** Sends one request; never rejects. */
	async send(url: string, {kind, key, orderKey, workMs, disconnectAfterMs}: CallerRequest): Promise<RequestResult> {
		// The final dot keeps an id from being a prefix of another one, so that `problems()` can search responses for it.
		const id = `r${++this.#lastId}.`;
		const startedMs = this.timers.nowMs();
		const abort = new AbortController();
		let disconnectedMs: number | undefined;
		const cancelDisconnect = disconnectAfterMs === undefined
			? undefined
			: this.timers.after(disconnectAfterMs, () => {
				disconnectedMs = this.timers.nowMs();
				abort.abort();
			});
		const addResult = (fields: Partial<RequestResult>): RequestResult => {
			const result = {
				id, kind, url, status: 0, code: 0, outcome: 'unknown', text: '', isReplay: false, key, orderKey, disconnectedMs, error: undefined, startedMs, endedMs: this.timers.nowMs(), ...fields,
			};
			this.results.push(result);
			return result;
		};

		try {
			const response = await request(`${url}${pathsByKind[kind]}?request=${id}${workMs === undefined ? '' : `&workMs=${workMs}`}`, {
				dispatcher: this.#agent,
				signal: abort.signal,
				method: kind === RequestKind.order ? 'POST' : 'GET',
				headers: {
					...(key === undefined ? {} : {authorization: `Bearer ${key}`}),
					...(orderKey === undefined ? {} : {'idempotency-key': orderKey}),
				},
				...(kind === RequestKind.order ? {body: JSON.stringify({orderKey})} : {}),
			});
			const text = await response.body.text();
			return addResult({
				status: response.statusCode,
				code: Number(response.headers['x-fescuewick-code'] ?? 0),
				outcome: response.statusCode === 200 ? 'done' : outcomeOf(text),
				text,
				isReplay: response.headers['idempotent-replay'] === 'true',
			});
		} catch (error) {
			return addResult({error: (error as {code?: string}).code ?? String(error)});
		} finally {
			cancelDisconnect?.();
		}
	}

	/** Sends requests in several parallel loops, which use the endpoints in turn, until stopped. */
	startLoad(urls: () => readonly string[], makeRequest: (index: number) => CallerRequest, {loops = 4, pauseMs = 20} = {}): Load {
		const results: RequestResult[] = [];
		const abort = new AbortController();
		this.#loads.add(abort);
		let index = 0;
		const loop = async (): Promise<void> => {
			while (!abort.signal.aborted) {
				const current = index++;
				const targets = urls();
				if (targets.length > 0) {
					results.push(await this.send(targets[current % targets.length], makeRequest(current)));
				}

				await this.timers.sleep(pauseMs);
			}
		};

		const running = Array.from({length: loops}, async () => loop());
		return {
			async stop() {
				abort.abort();
				await Promise.all(running);
				return results;
			},
		};
	}

	/** Number of runs of an order over all backend servers. */
	countRuns(orderKey: string): number {
		return [...this.backends.values()].reduce((sum, {observations}) => sum + (observations.runsByOrder.get(orderKey) ?? 0), 0);
	}

	/** Whether a backend server ran the request. */
	hasRun(id: string): boolean {
		return [...this.backends.values()].some(({observations}) => observations.requestsRun.has(id));
	}

	/** Violations of the design document's invariants I3, I4, I7, I8 and I9 in all results so far. */
	problems(): string[] {
		return [...this.#problems()];
	}

	/** Stops all loads and closes the connections. */
	async close(): Promise<void> {
		for (const load of this.#loads) {
			load.abort();
		}

		await this.#agent.destroy();
	}

	* #problems(): Generator<string> {
		for (const {id, outcome, status, text, isReplay, orderKey, code, kind, key} of this.results) {
			if (outcome === 'not-run' && this.hasRun(id)) {
				yield `I8: request ${id} ran although it was answered "not run" with code ${code}`;
			}

			// Servers echo path and body. A replayed response has the path of the order's first request, so it is matched by the body, a JSON text within JSON.
			if (status === 200 && !isCompleteJson(text)) {
				yield `I7: the response to ${id} is truncated`;
			} else if (status === 200 && !(isReplay ? text.includes(JSON.stringify(JSON.stringify({orderKey})).slice(1, -1)) : text.includes(`request=${id}`))) {
				yield `I7: request ${id} got the response to another request: ${text}`;
			}

			if (status === 200 && !isReplay && !this.hasRun(id)) {
				yield `I7: request ${id} has a response of status 200 but did not run`;
			}

			if (status === 200 && kind !== RequestKind.open && !text.replaceAll('\\', '').includes(`"workspace":"${workspaceOf(key)}"`)) {
				yield `I3: request ${id} with ${key} ran for another workspace: ${text}`;
			}
		}

		for (const [name, {observations}] of this.backends) {
			if (observations.keyHeadersSeen.length > 0) {
				yield `I4: ${name} received an API key ${observations.keyHeadersSeen.length} times`;
			}

			for (const orderKey of observations.runsByOrder.keys()) {
				if (this.countRuns(orderKey) > 1) {
					yield `I9: order ${orderKey} ran ${this.countRuns(orderKey)} times`;
				}
			}
		}
	}
}

/** Workspace of an API key; the keys of fault tests are `key-of-` and the workspace's name. */
function workspaceOf(key: string | undefined): string | undefined {
	return key?.replace(/^key-of-/, '');
}

function isCompleteJson(text: string): boolean {
	try {
		return typeof JSON.parse(text) === 'object';
	} catch {
		return false;
	}
}

function outcomeOf(text: string): string {
	try {
		return (JSON.parse(text) as {outcome?: string}).outcome ?? 'unknown';
	} catch {
		return 'unknown';
	}
}
