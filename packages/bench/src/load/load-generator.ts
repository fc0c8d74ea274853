import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type TimerService} from '@fescuewick/core';
import {type Caller} from './caller.js';
import {type Recorder} from './recorder.js';
import {type RequestStream, type Scenario} from './scenario.js';

const tickMs = 5;

/** Open-loop load generator: sends the streams of a scenario at their rates without waiting for earlier responses. */
export class LoadGenerator {
	readonly #random: ReturnType<typeof xoroshiro128plus>;
	readonly #pending = new Set<Promise<void>>();
	readonly #startedAtMs: number;
	/** Order keys that were sent, for comparison with the orders that backend servers ran. */
	readonly orderKeys: string[] = [];
	#sequence = 0;

	constructor(
		readonly scenario: Scenario,
		readonly deps: {readonly timers: TimerService; readonly callers: readonly Caller[]; readonly recorder: Recorder; readonly apiKeyOf: (workspace: string) => string},
	) {
		this.#random = xoroshiro128plus(scenario.seed);
		this.#startedAtMs = deps.timers.nowMs();
	}

	/** Runs until the scenario's duration has passed and all requests have ended. */
	async run(): Promise<void> {
		const {timers} = this.deps;
		const dueRequests = this.scenario.streams.map(() => 0);
		let previousMs = this.#startedAtMs;
		for (;;) {
			await timers.sleep(tickMs);
			const nowMs = timers.nowMs();
			const elapsedMs = nowMs - this.#startedAtMs;
			if (elapsedMs >= this.scenario.durationMs) {
				break;
			}

			for (const [index, stream] of this.scenario.streams.entries()) {
				if (elapsedMs >= stream.startMs && elapsedMs < (stream.endMs ?? this.scenario.durationMs)) {
					dueRequests[index] += stream.ratePerS * (nowMs - previousMs) / 1000;
				}

				for (; dueRequests[index] >= 1; dueRequests[index]--) {
					this.#startRequest(stream);
				}
			}

			previousMs = nowMs;
		}

		await Promise.all(this.#pending);
	}

	#startRequest(stream: RequestStream): void {
		const id = `r${this.scenario.seed}-${this.#sequence++}`;
		const orderKey = stream.orderKeys ? `order-${id}` : undefined;
		if (orderKey !== undefined) {
			this.orderKeys.push(orderKey);
		}

		this.#sendTracked(stream, id, orderKey);
		if (orderKey !== undefined && this.#randomFraction() < stream.repeatFraction) {
			this.#sendTracked(stream, `${id}-repeat`, orderKey);
		}
	}

	#sendTracked(stream: RequestStream, requestId: string, orderKey: string | undefined): void {
		const {callers, recorder, apiKeyOf} = this.deps;
		const caller = callers[Math.floor(this.#randomFraction() * callers.length)];
		const endpointIndex = Math.floor(this.#randomFraction() * 2);
		const send = async () => {
			const observation = await caller.send(stream, {
				requestId, apiKey: apiKeyOf(stream.workspace), orderKey, endpointIndex,
			});
			if (observation.sentAtMs - this.#startedAtMs >= this.scenario.measureFromMs) {
				recorder.record(observation);
			}

			this.#pending.delete(pendingRequest);
		};

		const pendingRequest: Promise<void> = send();
		this.#pending.add(pendingRequest);
	}

	#randomFraction(): number {
		return uniformFloat64(this.#random);
	}
}
