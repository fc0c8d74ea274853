import {Buffer} from 'node:buffer';
import {Pool} from 'undici';
import {
	FescuewickError, ResultCode, SystemTimerService, type TimerService,
} from '@fescuewick/core';
import {
	toStoreError, checkStatus, isStoredObject, objectPath, parseBody, type HttpAnswer,
} from './http-answers.js';
import {maxValueBytes, ObjectStore, type StoredObject} from './object-store.js';

/** Options of the HTTP store client. */
export type HttpStoreOptions = {
	readonly url: string;
	/** Timeout of a whole call; the waiting time of a watch is added. */
	readonly timeoutMs: number;
	/** Whether a read that timed out is retried once on a new connection, for callers without retries. Default: false. */
	readonly repeatsTimedOutReads?: boolean;
	/** Max connections for reads and writes; each waiting watch uses one more. */
	readonly connections: number;
	/** Default: timers of the event loop. */
	readonly timers?: TimerService;
};

/** Max size of a response body. The largest expected one, the list of all parts of a shard, is far smaller; a larger one does not come from a store. */
const maxAnswerBytes = 64 * 1024 * 1024;

/** Watches use a separate pool, so that waiting watches never block reads and writes. */
enum PoolKind {
	calls = 'calls',
	watches = 'watches',
}

type CallOptions = {readonly pool?: PoolKind; readonly expectedVersion?: number; readonly text?: string; readonly extraTimeoutMs?: number; readonly signal?: AbortSignal};
type Method = 'GET' | 'PUT' | 'DELETE';
type RequestTarget = {readonly method: Method; readonly path: string};
type RawAnswer = {readonly status: number; readonly text: string; readonly retryAfter: string | undefined};

class CallTimeoutError extends Error {}

/**
Client of an object store over HTTP: objects under `/v1/objects/<key>`, `if-match` for conditional writes, long polls for watches.

A call that times out closes its connection and retires its pool: connections usually stop responding together, and each one reused would cost another timeout.
*/
export class HttpObjectStore extends ObjectStore {
	readonly #options: HttpStoreOptions;
	readonly #timers: TimerService;
	readonly #retired = new Set<Pool>();
	readonly #pools: Record<PoolKind, Pool>;
	#closed = false;

	constructor(options: HttpStoreOptions) {
		super();
		this.#options = options;
		this.#timers = options.timers ?? new SystemTimerService();
		this.#pools = {[PoolKind.calls]: this.#createPool(PoolKind.calls), [PoolKind.watches]: this.#createPool(PoolKind.watches)};
	}

	async read(key: string): Promise<StoredObject | undefined> {
		const path = objectPath(key);
		const {status, body} = await this.#readCall(path, {});
		return status === 404 ? undefined : requireObject(body, path);
	}

	async list(prefix: string): Promise<StoredObject[]> {
		const path = `/v1/objects?prefix=${encodeURIComponent(prefix)}`;
		const {body} = await this.#readCall(path, {});
		if (!Array.isArray(body)) {
			throw new FescuewickError(ResultCode.storeMalformed, `store answered ${path} with something other than a list`);
		}

		return body.map(entry => requireObject(entry, path));
	}

	async write(key: string, value: unknown, expectedVersion: number | undefined): Promise<number> {
		const text = JSON.stringify(value);
		if (Buffer.byteLength(text) > maxValueBytes) {
			throw new FescuewickError(ResultCode.storeValueTooLarge, `value of ${key} is larger than ${maxValueBytes} bytes`);
		}

		const {body} = await this.#call('PUT', objectPath(key), {expectedVersion, text});
		const version = (body as {version?: unknown} | undefined)?.version;
		if (!Number.isSafeInteger(version)) {
			// The write took effect according to the status, but without its version the caller cannot make a conditional write.
			throw new FescuewickError(ResultCode.storeOutcomeUnknown, `store answered a write of ${key} without its version`);
		}

		return version as number;
	}

	async remove(key: string, expectedVersion: number | undefined): Promise<void> {
		await this.#call('DELETE', objectPath(key), {expectedVersion});
	}

	async watch(key: string, knownVersion: number, waitMs: number, signal?: AbortSignal): Promise<StoredObject | undefined> {
		const path = `${objectPath(key)}?watch=${knownVersion}&waitMs=${waitMs}`;
		try {
			const {status, body} = await this.#call('GET', path, {pool: PoolKind.watches, extraTimeoutMs: waitMs, signal});
			return status === 204 || status === 404 ? undefined : requireObject(body, path);
		} catch (error) {
			if (signal?.aborted) {
				return undefined;
			}

			throw error;
		}
	}

	/** Closes the connections; calls in flight fail. */
	async close(): Promise<void> {
		this.#closed = true;
		await Promise.all([...Object.values(this.#pools), ...this.#retired].map(async pool => pool.destroy()));
	}

	/** Retries a read once if its connection was closed or, with `repeatsTimedOutReads`, stopped responding; either may happen to an idle connection at any time. */
	async #readCall(path: string, options: CallOptions): Promise<HttpAnswer> {
		try {
			return await this.#call('GET', path, options);
		} catch (error) {
			const cause = (error as {cause?: () => {code?: string} | undefined}).cause?.();
			const isConnectionClosed = cause?.code === 'UND_ERR_SOCKET' || cause?.code === 'ECONNRESET';
			const isCallTimeout = this.#options.repeatsTimedOutReads === true && cause instanceof CallTimeoutError;
			if (this.#closed || !(isConnectionClosed || isCallTimeout)) {
				throw error;
			}

			return this.#call('GET', path, options);
		}
	}

	async #call(method: Method, path: string, options: CallOptions): Promise<HttpAnswer> {
		const kind = options.pool ?? PoolKind.calls;
		const pool = this.#pools[kind];
		const callTimeoutMs = this.#options.timeoutMs + (options.extraTimeoutMs ?? 0);
		const timeoutController = new AbortController();
		const cancel = this.#timers.after(callTimeoutMs, () => {
			timeoutController.abort(new CallTimeoutError(`no answer within ${callTimeoutMs} ms`));
			this.#retire(kind, pool);
		});
		try {
			const {status, text, retryAfter} = await request(pool, {method, path}, options, timeoutController.signal);
			checkStatus({
				status, isWrite: method !== 'GET', path, retryAfter,
			});
			return {status, body: parseBody(text, path, method !== 'GET')};
		} catch (error) {
			throw toStoreError(error, method !== 'GET');
		} finally {
			cancel();
		}
	}

	/** Replaces a pool; its other calls may still complete within their own timeouts. */
	#retire(kind: PoolKind, pool: Pool): void {
		if (pool !== this.#pools[kind] || this.#closed) {
			return;
		}

		this.#pools[kind] = this.#createPool(kind);
		this.#retired.add(pool);
		void this.#closeRetired(pool);
	}

	async #closeRetired(pool: Pool): Promise<void> {
		try {
			await pool.close();
		} catch {
			// `close` destroyed the pool while its last calls were still in flight.
		} finally {
			this.#retired.delete(pool);
		}
	}

	#createPool(kind: PoolKind): Pool {
		const {url, timeoutMs, connections} = this.#options;
		return new Pool(url, {
			connections: kind === PoolKind.calls ? connections : null,
			pipelining: 1,
			maxResponseSize: maxAnswerBytes,
			// Half of the call timeout, so that a failed connect is distinguished from a lost answer.
			connect: {timeout: timeoutMs / 2},
			// Disabled: the call timeout applies, and the library's own timeouts are coarser.
			headersTimeout: 0,
			bodyTimeout: 0,
		});
	}
}

async function request(pool: Pool, {method, path}: RequestTarget, options: CallOptions, timeout: AbortSignal): Promise<RawAnswer> {
	const response = await pool.request({
		method,
		path,
		headers: {
			'content-type': 'application/json',
			...(options.expectedVersion === undefined ? {} : {'if-match': String(options.expectedVersion)}),
		},
		body: options.text,
		signal: options.signal === undefined ? timeout : AbortSignal.any([timeout, options.signal]),
	});
	const retryAfter = response.headers['retry-after'];
	return {status: response.statusCode, text: await response.body.text(), retryAfter: Array.isArray(retryAfter) ? retryAfter[0] : retryAfter};
}

function requireObject(body: unknown, path: string): StoredObject {
	if (!isStoredObject(body)) {
		throw new FescuewickError(ResultCode.storeMalformed, `store answered ${path} with something other than an object`);
	}

	return body;
}
