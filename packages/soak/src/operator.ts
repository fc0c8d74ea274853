import {type TimerService} from '@fescuewick/core';
import {configurationObject, StoreKind, type FakePlatformStore} from '@fescuewick/platform/stand-ins';
import {type RateLimit, type TimeSpan} from './observations.js';

/** Host of all routes. */
export const host = 'soak.test';
/** The service of all routes. */
export const service = 'stock';
/** Rate limits of the workspaces: `shop` exceeds its rate during some faults, `studio` never does. */
export const rateLimits: readonly RateLimit[] = [
	{workspace: 'shop', ratePerS: 30, burst: 30},
	{workspace: 'studio', ratePerS: 2000, burst: 2000},
];
/** Timeout of the routes, in milliseconds. */
const timeoutMs = 4000;
/** Callers use both the withdrawn key and the new one for this time, in milliseconds; longer than a change takes to be in force. */
const keyOverlapMs = 6000;

/** Writes the configuration, replaces keys and evacuates failure domains. */
export class Operator {
	readonly withdrawnAtMs = new Map<string, number>();
	readonly evacuations = new Map<string, TimeSpan[]>();
	#version = 0;
	/** Evacuations in progress, and those that a restore of the store may have interrupted. */
	readonly #active = new Set<TimeSpan[]>();
	#interrupted: TimeSpan[][] = [];
	readonly #keys = new Map(rateLimits.map(({workspace}) => [workspace, {
		current: `key-${workspace}-1`, previous: `key-${workspace}-1`, count: 1, changedAtMs: Number.NEGATIVE_INFINITY,
	}]));

	constructor(private readonly options: {readonly timers: TimerService; readonly store: FakePlatformStore; readonly random: () => number}) {}

	/** The key that a caller of a workspace uses. */
	keyOf(workspace: string): string {
		const {current, previous, changedAtMs} = this.#keys.get(workspace)!;
		const isOverlap = this.options.timers.nowMs() < changedAtMs + keyOverlapMs;
		return isOverlap && this.options.random() < 0.5 ? previous : current;
	}

	/** Writes the next version of the configuration. */
	publish(): void {
		this.#version++;
		this.#writeConfiguration();
	}

	/** Records that the store was restored from a copy, by which evacuations may be lost. */
	onRestore(): void {
		const nowMs = this.options.timers.nowMs();
		for (const spans of this.evacuations.values()) {
			const last = spans.at(-1);
			if (last?.untilMs === Number.POSITIVE_INFINITY) {
				last.untilMs = nowMs;
				this.#interrupted.push(spans);
			}
		}
	}

	/** Writes again what the restored store may lack, and removes what it lists again. */
	rewrite(): void {
		const {timers, store} = this.options;
		this.#writeConfiguration();
		for (const spans of this.#interrupted) {
			if (this.#active.has(spans) && spans.at(-1)!.untilMs !== Number.POSITIVE_INFINITY) {
				spans.push({fromMs: timers.nowMs(), untilMs: Number.POSITIVE_INFINITY});
			}
		}

		this.#interrupted = [];
		for (const [failureDomain, spans] of this.evacuations) {
			if (this.#active.has(spans)) {
				store.set(StoreKind.evacuations, failureDomain, {});
			} else {
				store.remove(StoreKind.evacuations, failureDomain);
			}
		}
	}

	#writeConfiguration(): void {
		this.options.store.set(StoreKind.configuration, 'main', configurationObject({
			version: this.#version, service, host, timeoutMs, workspaces: rateLimits.map(({workspace, ratePerS, burst}) => ({
				name: workspace, key: this.#keys.get(workspace)!.current, ratePerS, burst,
			})),
		}));
	}

	/** Withdraws the key of a workspace and issues another one. */
	replaceKey(target: number): void {
		const {workspace} = rateLimits[target % rateLimits.length];
		const keys = this.#keys.get(workspace)!;
		const nowMs = this.options.timers.nowMs();
		keys.previous = keys.current;
		keys.current = `key-${workspace}-${++keys.count}`;
		keys.changedAtMs = nowMs;
		this.withdrawnAtMs.set(keys.previous, nowMs);
		this.publish();
	}

	/** Evacuates a failure domain for a time; no effect while it is evacuated. */
	async evacuate(failureDomain: string, durationMs: number): Promise<void> {
		const {timers, store} = this.options;
		const spans = this.evacuations.get(failureDomain) ?? [];
		this.evacuations.set(failureDomain, spans);
		const fromMs = timers.nowMs();
		if (this.#active.has(spans)) {
			return;
		}

		this.#active.add(spans);
		spans.push({fromMs, untilMs: Number.POSITIVE_INFINITY});
		store.set(StoreKind.evacuations, failureDomain, {});
		await timers.sleep(durationMs);
		store.remove(StoreKind.evacuations, failureDomain);
		this.#active.delete(spans);
		spans.at(-1)!.untilMs = Math.min(spans.at(-1)!.untilMs, timers.nowMs());
	}
}
