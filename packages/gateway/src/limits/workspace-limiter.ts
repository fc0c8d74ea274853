import {type TimerService} from '@fescuewick/core';
import {type Workspace} from '../model/configuration.js';
import {FleetBucket, type BucketReport, type BucketReports} from './fleet-bucket.js';

/** Interval at which demand is measured, in milliseconds; half a heartbeat. */
export const measureIntervalMs = 250;
/** Weight of a new measurement of demand; with the interval, demand is smoothed over about a second, as few requests come in each. */
const demandWeight = 0.25;
/** A starting VM takes its own estimate of tokens for good when no peer told one for this time, in milliseconds. */
const estimateWaitMs = 2500;
/** Peers hear of a request in all heartbeats of this time, in milliseconds; two of the slower interval, as one may be lost. */
const reportMs = 2200;
/** A refused caller is told to come back after this time at least and at most, in milliseconds. */
const minRetryMs = 200;
const maxRetryMs = 2000;
/** By how much all VMs together may exceed a workspace's limits in a window. */
export type RateTolerance = {
	/** Part of rate and burst. */
	readonly overshoot: number;
	readonly slackCount: number;
	readonly windowMs: number;
};

type Entry = {limits: Pick<Workspace, 'ratePerS' | 'burst'>; readonly bucket: FleetBucket; count: number; askedPerS: number; askedAtMs: number};

/** Holds workspaces to their rate and burst over all VMs, with one bucket each. */
export class WorkspaceLimiter {
	readonly #entries = new Map<string, Entry>();
	readonly #startedMs: number;
	#sampledMs: number;

	constructor(private readonly timers: TimerService, private readonly tolerance: () => RateTolerance) {
		this.#startedMs = timers.nowMs();
		this.#sampledMs = this.#startedMs;
	}

	/** Applies the limits of a configuration; buckets of workspaces that stay keep their state. */
	configure(workspaces: Iterable<Workspace>): void {
		const names = new Set<string>();
		for (const {name, ratePerS, burst} of workspaces) {
			names.add(name);
			const limits = this.#limitsOf(ratePerS, burst);
			const known = this.#entries.get(name);
			if (known === undefined) {
				this.#entries.set(name, {
					limits, bucket: new FleetBucket(limits, this.timers.nowMs()), count: 0, askedPerS: 0, askedAtMs: Number.NEGATIVE_INFINITY,
				});
			} else {
				known.limits = limits;
				known.bucket.configure(limits);
			}
		}

		for (const name of this.#entries.keys()) {
			if (!names.has(name)) {
				this.#entries.delete(name);
			}
		}
	}

	/** Takes in what a peer passed; it passed nothing more of workspaces that it does not mention. */
	hear(vm: string, incarnation: number, buckets: BucketReports): void {
		const nowMs = this.timers.nowMs();
		for (const [name, {bucket}] of this.#entries) {
			const report = buckets[name];
			if (report === undefined) {
				bucket.hearUnchanged(vm, incarnation, nowMs);
			} else {
				bucket.hear(vm, incarnation, report, nowMs);
			}
		}
	}

	/** Measures demand; to be called every `measureIntervalMs` with the VMs that share the limits, this one included. */
	update(sharing: ReadonlySet<string>): void {
		const nowMs = this.timers.nowMs();
		const elapsedMs = Math.max(1, nowMs - this.#sampledMs);
		this.#sampledMs = nowMs;
		for (const entry of this.#entries.values()) {
			const measuredPerS = entry.count * 1000 / elapsedMs;
			entry.count = 0;
			entry.askedPerS += (measuredPerS - entry.askedPerS) * demandWeight;
			entry.bucket.update(sharing.size, sharing, nowMs);
			if (nowMs - this.#startedMs > estimateWaitMs) {
				entry.bucket.settleEstimate();
			}
		}
	}

	/** Passes a request; returns 0, or the time after which the caller should come back, in milliseconds. */
	take(workspace: string): number {
		const entry = this.#entries.get(workspace);
		if (entry === undefined || entry.limits.ratePerS === 0) {
			return 0;
		}

		entry.count++;
		const nowMs = this.timers.nowMs();
		const waitMs = entry.bucket.take(entry.askedPerS, nowMs);
		entry.askedAtMs = nowMs;
		return waitMs === 0 ? 0 : Math.min(maxRetryMs, Math.max(minRetryMs, waitMs));
	}

	/** Whether a workspace asks for more than its rate over all VMs. */
	isOverRate(workspace: string): boolean {
		const entry = this.#entries.get(workspace);
		return entry !== undefined && entry.limits.ratePerS > 0 && entry.bucket.isOverRate(entry.askedPerS);
	}

	/** Takes back a request that was passed and did not run; no effect for a workspace that asks for more than its rate. */
	giveBack(workspace: string): void {
		const entry = this.#entries.get(workspace);
		if (entry !== undefined && entry.limits.ratePerS > 0) {
			entry.bucket.giveBack(entry.askedPerS);
		}
	}

	/** What a refusal was decided by, for its decision line. */
	explain(workspace: string): Readonly<Record<string, number | undefined>> {
		const entry = this.#entries.get(workspace);
		if (entry === undefined) {
			return {};
		}

		const {passed, tokens} = entry.bucket.report(entry.askedPerS);
		return {
			limitPerS: entry.limits.ratePerS, askedPerS: round(entry.askedPerS), tokens: tokens === undefined ? undefined : round(tokens), allowance: round(entry.bucket.allowance(entry.askedPerS)), passed,
		};
	}

	/** Reports for peers: of all workspaces with a limit that this VM was asked for, or without the estimates and of those asked for lately. */
	reports(isFull = true): BucketReports {
		const sinceMs = isFull ? Number.NEGATIVE_INFINITY : this.timers.nowMs() - reportMs;
		const reports: Record<string, BucketReport> = {};
		for (const [name, {limits, bucket, askedPerS, askedAtMs}] of this.#entries) {
			const report = bucket.report(askedPerS);
			if (limits.ratePerS > 0 && report.passed + askedPerS > 0 && askedAtMs >= sinceMs) {
				reports[name] = isFull ? report : {...report, tokens: undefined};
			}
		}

		return reports;
	}

	#limitsOf(ratePerS: number, burst: number) {
		const {overshoot, slackCount, windowMs} = this.tolerance();
		return {ratePerS, burst, toleranceCount: (((ratePerS * windowMs / 1000) + burst) * overshoot) + slackCount};
	}
}

function round(value: number): number {
	return Math.round(value * 10) / 10;
}
