import {type TimerService} from '@fescuewick/core';
import {callerHeaders} from '@fescuewick/platform/stand-ins';
import {Client} from 'undici';
import {type SeenRequest} from './observations.js';

/** Time that a request has, in milliseconds. */
export const timeLeftMs = 3000;
/** A caller gives up this long after the request's time, in milliseconds, so that a hanging answer is seen as late. */
const patienceMs = 2000;
/** Objects that requests name. */
const objectCount = 200;

/** A VM that callers use. */
export type Target = {readonly name: string; readonly address: string};

type CallersOptions = {
	readonly timers: TimerService;
	readonly targets: readonly Target[];
	/** Host of the routes. */
	readonly host: string;
	/** A key that a caller of the workspace uses now. */
	readonly keyOf: (workspace: string) => string;
	readonly random: () => number;
};

/** Callers that keep their connection to a VM until it is gone and then go to another one. */
export class Callers {
	readonly seen: SeenRequest[] = [];
	#count = 0;
	#isEnded = false;
	readonly #loops: Array<Promise<void>> = [];

	constructor(private readonly options: CallersOptions) {}

	/** Adds callers of a workspace that each send a request after the other, with a pause. */
	add(workspace: string, count: number, pauseMs: number, untilMs = Number.POSITIVE_INFINITY): void {
		for (let index = 0; index < count; index++) {
			this.#loops.push(this.#loop(workspace, pauseMs, untilMs));
		}
	}

	/** Lets requests end and closes the connections. */
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
				const request = await this.#send(client, target, workspace);
				this.seen.push(request);
				isUsable = request.error === undefined;
				await timers.sleep(pauseMs * 2 * random());
			}

			await client.destroy();
		}
	}

	async #send(client: Client, {name: vm}: Target, workspace: string): Promise<SeenRequest> {
		const {timers, host, keyOf, random} = this.options;
		const number = ++this.#count;
		const id = `soak-${number}`;
		const key = keyOf(workspace);
		const isRepeatable = random() < 0.6;
		const object = `o${Math.floor(random() * objectCount)}`;
		const sentAtMs = timers.nowMs();
		const base = {
			id, vm, workspace, key, isRepeatable, sentAtMs, timeLeftMs,
		};
		try {
			const {statusCode, headers, body} = await client.request({
				method: isRepeatable ? 'GET' : 'POST',
				path: `${isRepeatable ? '/check/' : '/order/'}${object}`,
				headers: {
					host, ...callerHeaders({
						id, key, timeLeftMs, object,
					}),
				},
				body: isRepeatable ? undefined : 'order',
				signal: AbortSignal.timeout(timeLeftMs + patienceMs),
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
