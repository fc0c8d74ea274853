import {type TimerService} from '@fescuewick/core';
import {callerHeaders} from '@fescuewick/platform/stand-ins';
import {Client} from 'undici';
import {type ObservedRequest} from './observations.js';
import {sendAhead} from './requests-ahead.js';

/** Time limit of a request, in milliseconds. */
export const requestTimeLimitMs = 3000;
/** A caller aborts a request this long after its time limit, in milliseconds, so that an answer that hangs is recorded as late. */
const abortMarginMs = 2000;
/** Number of different objects in the paths of requests. */
const objectCount = 200;
/** Repeatable requests that a caller sends at times without waiting for the answers before, on a connection of their own. */
const aheadCount = 3;
const aheadFraction = 0.2;

/** A VM to which callers send requests. */
export type Target = {readonly name: string; readonly address: string};

type CallersOptions = {
	readonly timers: TimerService;
	readonly targets: readonly Target[];
	/** Host of the routes. */
	readonly host: string;
	/** The key for the next request of a caller of the workspace; for a time after a replacement, either the old or the new one. */
	readonly keyOf: (workspace: string) => string;
	readonly random: () => number;
};

/** Callers that use one connection to a VM until a request on it fails, and then connect to a random VM. */
export class Callers {
	readonly requests: ObservedRequest[] = [];
	#count = 0;
	#isEnded = false;
	readonly #loops: Array<Promise<void>> = [];

	constructor(private readonly options: CallersOptions) {}

	/** Adds callers of a workspace that each send one request at a time, or some ahead, with a random pause of `pauseMs` on average. */
	add(workspace: string, count: number, pauseMs: number, untilMs = Number.POSITIVE_INFINITY): void {
		for (let index = 0; index < count; index++) {
			this.#loops.push(this.#loop(workspace, pauseMs, untilMs));
		}
	}

	/** Waits for running requests and closes the connections. */
	async end(): Promise<void> {
		this.#isEnded = true;
		await Promise.all(this.#loops);
	}

	async #loop(workspace: string, pauseMs: number, untilMs: number): Promise<void> {
		const {timers, targets, random} = this.options;
		while (!this.#isEnded && timers.nowMs() < untilMs) {
			const target = targets[Math.floor(random() * targets.length)];
			const client = new Client(`http://${target.address}`, {
				pipelining: 1, connect: {timeout: 1000}, headersTimeout: 0, bodyTimeout: 0,
			});
			for (let isUsable = true; isUsable && !this.#isEnded && timers.nowMs() < untilMs;) {
				const requests = random() < aheadFraction ? await this.#sendAhead(target, workspace) : [await this.#send(client, target, workspace)];
				this.requests.push(...requests);
				isUsable = requests.every(({error}) => error === undefined);
				await timers.sleep(pauseMs * 2 * random());
			}

			await client.destroy();
		}
	}

	/** Sends repeatable requests one behind the other; those without an answer are not sent again. */
	async #sendAhead({name: vm, address}: Target, workspace: string): Promise<ObservedRequest[]> {
		const {timers, host, keyOf, random} = this.options;
		const key = keyOf(workspace);
		const sentAtMs = timers.nowMs();
		const ids = Array.from({length: aheadCount}, () => `soak-${++this.#count}`);
		const heads = ids.map(id => {
			const object = `o${Math.floor(random() * objectCount)}`;
			const headers = {
				host, ...callerHeaders({
					id, key, timeLeftMs: requestTimeLimitMs, object,
				}),
			};
			return `GET /check/${object} HTTP/1.1\r\n${Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join('')}\r\n`;
		});
		const answers = await sendAhead({
			address, heads, timeoutMs: requestTimeLimitMs + abortMarginMs, nowMs: () => timers.nowMs(),
		});
		return answers.map(({status, code, error, endedAtMs}, index) => ({
			id: ids[index], vm, workspace, key, isRepeatable: true, sentAtMs, timeLimitMs: requestTimeLimitMs, endedAtMs, status, code, error,
		}));
	}

	async #send(client: Client, {name: vm}: Target, workspace: string): Promise<ObservedRequest> {
		const {timers, host, keyOf, random} = this.options;
		const number = ++this.#count;
		const id = `soak-${number}`;
		const key = keyOf(workspace);
		const isRepeatable = random() < 0.6;
		const object = `o${Math.floor(random() * objectCount)}`;
		const sentAtMs = timers.nowMs();
		const base = {
			id, vm, workspace, key, isRepeatable, sentAtMs, timeLimitMs: requestTimeLimitMs,
		};
		try {
			const {statusCode, headers, body} = await client.request({
				method: isRepeatable ? 'GET' : 'POST',
				path: `${isRepeatable ? '/check/' : '/order/'}${object}`,
				headers: {
					host, ...callerHeaders({
						id, key, timeLeftMs: requestTimeLimitMs, object,
					}),
				},
				body: isRepeatable ? undefined : 'order',
				signal: AbortSignal.timeout(requestTimeLimitMs + abortMarginMs),
			});
			await body.text();
			const code = headers['x-fescuewick-code'];
			return {
				...base, endedAtMs: timers.nowMs(), status: statusCode, code: code === undefined ? undefined : Number(code), error: undefined,
			};
		} catch (error) {
			return {
				...base, endedAtMs: timers.nowMs(), status: undefined, code: undefined, error: (error as Error).message,
			};
		}
	}
}
