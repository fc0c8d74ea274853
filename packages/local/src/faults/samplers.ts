import {type Cancel} from '@fescuewick/core';
import {type Fixture} from './fixture.js';

const lookupTimeoutMs = 1500;

/** An answer of a look-up daemon; `status` is 0 if there was none within the time-out. */
export type LookupSample = {
	readonly vm: string;
	readonly atMs: number;
	readonly durationMs: number;
	readonly status: number;
	readonly code: number;
	readonly urls: readonly string[];
	readonly revision: number;
};

/** Queries the look-up daemons of all VMs every 200 ms, as callers do. */
export class LookupSampler {
	readonly samples: LookupSample[] = [];
	readonly #latestUrls = new Map<string, readonly string[]>();
	readonly #pending = new Set<string>();
	#isStopped = false;
	#cancel: Cancel | undefined;

	constructor(readonly fixture: Fixture) {}

	start(): void {
		const sampleAll = (): void => {
			for (const {record} of this.fixture.deployment.vms) {
				void this.#sample(record.vm, record.lookupUrl);
			}
		};

		sampleAll();
		this.#cancel = this.fixture.timers.repeat(200, sampleAll);
	}

	stop(): void {
		this.#isStopped = true;
		this.#cancel?.();
	}

	/** URLs of the entry VMs that the latest answers name; look-up daemons that do not answer are skipped. */
	namedUrls(): string[] {
		return [...new Set([...this.#latestUrls.values()].flat())];
	}

	async #sample(vm: string, lookupUrl: string): Promise<void> {
		if (this.#pending.has(vm)) {
			return;
		}

		this.#pending.add(vm);
		const {timers} = this.fixture;
		const atMs = timers.nowMs();
		const abort = new AbortController();
		const cancel = timers.after(lookupTimeoutMs, () => {
			abort.abort();
		});
		let answer: Omit<LookupSample, 'vm' | 'atMs' | 'durationMs'> = {
			status: 0, code: 0, urls: [], revision: 0,
		};
		try {
			const response = await fetch(`${lookupUrl}/v1/lookup?service=booking`, {signal: abort.signal});
			const body = await response.json() as {endpoints?: Array<{url: string}>; revision?: number};
			answer = {
				status: response.status, code: Number(response.headers.get('x-fescuewick-code') ?? 0), urls: (body.endpoints ?? []).map(({url}) => url), revision: body.revision ?? 0,
			};
		} catch {
			// The sample keeps status 0.
		}

		cancel();
		if (this.#isStopped) {
			return;
		}

		this.samples.push({
			vm, atMs, durationMs: timers.nowMs() - atMs, ...answer,
		});
		if (answer.status === 200) {
			this.#latestUrls.set(vm, answer.urls);
		} else {
			this.#latestUrls.delete(vm);
		}

		this.#pending.delete(vm);
	}
}

/** Samples the configuration revisions of the control daemons that are ready and records reverts. */
export class RevisionSampler {
	/** Descriptions of reverts to a lower revision, for example `north-a-1: 3 to 2`. */
	readonly reverts: string[] = [];
	readonly #highest = new Map<string, number>();
	#cancel: Cancel | undefined;

	constructor(readonly fixture: Fixture) {}

	start(): void {
		this.#cancel = this.fixture.timers.repeat(50, () => {
			for (const vm of this.fixture.deployment.vms) {
				if (vm.isControlRunning) {
					const {revision, ready} = vm.control.status();
					this.#recordRevision(vm.record.vm, ready ? revision : undefined);
				}
			}
		});
	}

	stop(): void {
		this.#cancel?.();
	}

	#recordRevision(vm: string, revision: number | undefined): void {
		const highest = this.#highest.get(vm) ?? 0;
		if (revision !== undefined && revision < highest) {
			this.reverts.push(`${vm}: ${highest} to ${revision}`);
		}

		this.#highest.set(vm, Math.max(highest, revision ?? 0));
	}
}
