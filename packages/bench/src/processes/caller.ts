import {Agent, request} from 'undici';

/** Demo key of a workspace with a high rate limit. */
export const shopKey = 'demo-key-shop-merkato';

/** Result of a call, as its caller observed it. */
export type CallResult = {
	/** Value of the query parameter `request`, which backend servers record for each request that they run. */
	readonly request: string;
	/** `answered` if a response was received, `refused` if the connection was refused, `cut` after any other failure, for example a time-out or a connection that closed before the response was complete. */
	readonly completion: 'answered' | 'refused' | 'cut';
	readonly status: number;
	readonly code: number;
	readonly outcome: string | undefined;
	readonly body: Record<string, unknown>;
	readonly replayed: boolean;
	readonly sentAtMs: number;
	readonly endedAtMs: number;
	readonly error: string | undefined;
};

/** Options of a call; one with an order key is a reservation. */
export type CallOptions = {readonly apiKey?: string; readonly orderKey?: string; readonly path?: string; readonly timeoutMs?: number};

// Each call opens a new connection, so that no call uses an idle connection that the daemon is closing.
const agent = new Agent({pipelining: 0, connect: {timeout: 5000}});
const defaultTimeoutMs = 15_000;
let nextRequestId = 1;

/** Sends a request that checks availability, or a reservation if an order key is given; never throws. */
export async function call(entryUrl: string, {apiKey = shopKey, orderKey, path, timeoutMs = defaultTimeoutMs}: CallOptions = {}): Promise<CallResult> {
	const sentAtMs = performance.now();
	const id = String(nextRequestId++);
	const target = path ?? (orderKey === undefined ? '/booking/availability' : '/booking/reservations');
	const failed = {
		request: id, status: 0, code: 0, outcome: undefined, body: {}, replayed: false, sentAtMs,
	};
	try {
		const response = await request(`${entryUrl}${target}?request=${id}`, {
			method: orderKey === undefined ? 'GET' : 'POST',
			headers: {authorization: `Bearer ${apiKey}`, ...(orderKey === undefined ? {} : {'idempotency-key': orderKey})},
			body: orderKey === undefined ? undefined : '{"figures":3}',
			dispatcher: agent,
			signal: AbortSignal.timeout(timeoutMs),
		});
		const body = await response.body.json() as Record<string, unknown>;
		return {
			request: id,
			completion: 'answered',
			status: response.statusCode,
			code: Number(response.headers['x-fescuewick-code'] ?? 0),
			outcome: typeof body.outcome === 'string' ? body.outcome : undefined,
			body,
			replayed: response.headers['idempotent-replay'] === 'true',
			sentAtMs,
			endedAtMs: performance.now(),
			error: undefined,
		};
	} catch (error) {
		const {code, message} = error as {code?: string; message: string};
		return {
			...failed, completion: code === 'ECONNREFUSED' ? 'refused' : 'cut', endedAtMs: performance.now(), error: `${code}: ${message}`,
		};
	}
}

/** Closed-loop load that runs until it is stopped. */
export class ContinuousLoad {
	readonly results: CallResult[] = [];
	#stopped = false;
	readonly #workers: Array<Promise<void>>;

	/** Runs `workers` callers, each sending its next call `pauseMs` after the previous one has ended. */
	constructor(workers: number, pauseMs: number, send: (index: number) => Promise<CallResult>) {
		let index = 0;
		this.#workers = Array.from({length: workers}, async () => {
			while (!this.#stopped) {
				this.results.push(await send(index++));
				await sleep(pauseMs);
			}
		});
	}

	/** Stops sending, waits for the calls in progress, and returns all results. */
	async stop(): Promise<readonly CallResult[]> {
		this.#stopped = true;
		await Promise.all(this.#workers);
		return this.results;
	}
}

/** Error responses without a result code, without an outcome, or with the outcome "not-run" although a backend server ran the request. */
export function findIncorrectErrors(results: readonly CallResult[], requestsRun: ReadonlySet<string>): CallResult[] {
	return results
		.filter(({completion, status}) => completion === 'answered' && status !== 200)
		.filter(({code, outcome, request: id}) => code === 0 || outcome === undefined || (outcome === 'not-run' && requestsRun.has(id)));
}

export async function sleep(durationMs: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, durationMs);
	});
}

/** Polls a condition each 50 ms; throws an error with its description if it is not met within the timeout. */
export async function waitUntil(description: string, condition: () => Promise<boolean> | boolean, timeoutMs = 20_000): Promise<void> {
	const deadlineMs = performance.now() + timeoutMs;
	while (!await condition()) {
		if (performance.now() > deadlineMs) {
			throw new Error(`condition not met within ${timeoutMs} ms: ${description}`);
		}

		await sleep(50);
	}
}
