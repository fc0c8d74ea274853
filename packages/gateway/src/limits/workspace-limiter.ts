import {hashFraction, type TimerService} from '@fescuewick/core';
import {type Workspace} from '../model/configuration.js';
import {SharedTokenBucket, type BucketReport, type BucketReports} from './shared-token-bucket.js';

/** Interval at which demand is measured; half a heartbeat interval. */
export const measureIntervalMs = 250;
/** Weight of a new sample in the moving average of demand, which smooths it over about a second, as few requests arrive in each interval. */
const demandWeight = 0.25;
/** Time after its start at which a VM stops waiting for a peer's estimate of the tokens and makes its own final. */
const estimateWaitMs = 2500;
/** A workspace is reported in partial heartbeats for this time after its last request; covers two of the slower heartbeat interval, as one may be lost. */
const reportWindowMs = 2200;
/** Bounds of the retry delay of a refused caller. */
const minRetryMs = 200;
const maxRetryMs = 2000;

/** How far all VMs together may exceed a workspace's limits in a window. */
export type RateTolerance = {
	/** Fraction of the requests that rate and burst allow in the window. */
	readonly overshoot: number;
	readonly slackCount: number;
	readonly windowMs: number;
};

type LimiterEntry = {limits: Pick<Workspace, 'ratePerS' | 'burst'>; readonly bucket: SharedTokenBucket; requestCount: number; askedPerS: number; lastRequestAtMs: number};

/** Enforces the rate and burst of workspaces over all VMs, with one shared token bucket each. */
export class WorkspaceLimiter {
	readonly #entries = new Map<string, LimiterEntry>();
	readonly #startedAtMs: number;
	#sampledAtMs: number;

	constructor(private readonly vm: string, private readonly timers: TimerService, private readonly tolerance: () => RateTolerance) {
		this.#startedAtMs = timers.nowMs();
		this.#sampledAtMs = this.#startedAtMs;
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
					limits, bucket: new SharedTokenBucket(limits, this.timers.nowMs(), hashFraction(`${this.vm} ${name}`)), requestCount: 0, askedPerS: 0, lastRequestAtMs: Number.NEGATIVE_INFINITY,
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

	/** Applies a peer's reports; for a workspace without a report the peer admitted nothing since its last one. */
	applyReports(vm: string, incarnation: number, buckets: BucketReports): void {
		const nowMs = this.timers.nowMs();
		for (const [name, {bucket}] of this.#entries) {
			const report = buckets[name];
			if (report === undefined) {
				bucket.applyUnchanged(vm, incarnation, nowMs);
			} else {
				bucket.applyReport(vm, incarnation, report, nowMs);
			}
		}
	}

	/** Samples demand and advances the buckets; call it every `measureIntervalMs` with the VMs that share the limits, this one included. */
	update(vms: ReadonlySet<string>): void {
		const nowMs = this.timers.nowMs();
		const elapsedMs = Math.max(1, nowMs - this.#sampledAtMs);
		this.#sampledAtMs = nowMs;
		for (const entry of this.#entries.values()) {
			const measuredPerS = entry.requestCount * 1000 / elapsedMs;
			entry.requestCount = 0;
			entry.askedPerS += (measuredPerS - entry.askedPerS) * demandWeight;
			entry.bucket.update(vms.size, vms, nowMs);
			if (nowMs - this.#startedAtMs > estimateWaitMs) {
				entry.bucket.finalizeEstimate();
			}
		}
	}

	/** Takes a token for a request; returns 0 if it is admitted, else the retry delay of the caller in milliseconds. */
	take(workspace: string): number {
		const entry = this.#entries.get(workspace);
		if (entry === undefined || entry.limits.ratePerS === 0) {
			return 0;
		}

		entry.requestCount++;
		const nowMs = this.timers.nowMs();
		const waitMs = entry.bucket.take(entry.askedPerS, nowMs);
		entry.lastRequestAtMs = nowMs;
		return waitMs === 0 ? 0 : Math.min(maxRetryMs, Math.max(minRetryMs, waitMs));
	}

	/** Whether the demand of a workspace over all VMs exceeds its rate. */
	isOverRate(workspace: string): boolean {
		const entry = this.#entries.get(workspace);
		return entry !== undefined && entry.limits.ratePerS > 0 && entry.bucket.isOverRate(entry.askedPerS);
	}

	/** Returns the token of an admitted request that did not run; no effect while the workspace's demand exceeds its rate. */
	refund(workspace: string): void {
		const entry = this.#entries.get(workspace);
		if (entry !== undefined && entry.limits.ratePerS > 0) {
			entry.bucket.refund(entry.askedPerS);
		}
	}

	/** The bucket's limit and state, for the decision log line of a refusal. */
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

	/** Reports for peers: full ones cover all workspaces with a limit and any requests at this VM; partial ones cover those with recent requests and omit the token estimates. `isForAll` says that they are sent to all peers. */
	reports(isFull = true, isForAll = true): BucketReports {
		const nowMs = this.timers.nowMs();
		const sinceMs = isFull ? Number.NEGATIVE_INFINITY : nowMs - reportWindowMs;
		const reports: Record<string, BucketReport> = {};
		for (const [name, {limits, bucket, askedPerS, lastRequestAtMs}] of this.#entries) {
			const report = bucket.report(askedPerS);
			if (limits.ratePerS > 0 && report.passed + askedPerS > 0 && lastRequestAtMs >= sinceMs) {
				reports[name] = isFull ? report : {...report, tokens: undefined};
				if (isForAll) {
					bucket.recordReport(nowMs);
				}
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
