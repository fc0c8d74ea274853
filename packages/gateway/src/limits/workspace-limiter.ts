import {hashFraction, type TimerService} from '@fescuewick/core';
import {type Workspace} from '../model/configuration.js';
import {GrantReports, type GrantReport} from './grant-reports.js';
import {noPoolMembers, PoolOwners, type PoolMembers} from './pool-owners.js';
import {type BucketMembers} from './bucket-members.js';
import {
	SharedTokenBucket, peerTimeoutMs, type BucketReport, type BucketReports,
} from './shared-token-bucket.js';

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
	/** Owners of the pools of the own failure domain. */
	readonly pools: PoolOwners;
	readonly #grantReports = new GrantReports();
	#members: BucketMembers = {vms: new Set(), silent: new Set(), lastHeardAtMs: Number.NEGATIVE_INFINITY};
	/** Peers by name; those never heard have no incarnation. */
	readonly #peers = new Map<string, {incarnation: number | undefined; heardAtMs: number}>();
	readonly #startedAtMs: number;
	#sampledAtMs: number;

	constructor(private readonly vm: string, private readonly timers: TimerService, private readonly tolerance: () => RateTolerance) {
		this.pools = new PoolOwners(vm);
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
		const isKnown = this.#peers.get(vm)?.incarnation === incarnation;
		this.#peers.set(vm, {incarnation, heardAtMs: nowMs});
		if (!isKnown) {
			for (const {bucket} of this.#entries.values()) {
				bucket.recordDisturbance(nowMs);
			}
		}

		for (const [name, {bucket}] of this.#entries) {
			const report = buckets[name];
			if (report === undefined) {
				bucket.applyUnchanged(vm, incarnation);
			} else {
				bucket.applyReport(vm, incarnation, report, nowMs);
			}
		}
	}

	/** Samples demand and advances the buckets; call it every `measureIntervalMs` with the VMs that share the limits, this one included, and those that pool their shares. */
	update(vms: ReadonlySet<string>, poolMembers: PoolMembers = noPoolMembers): void {
		const nowMs = this.timers.nowMs();
		this.pools.update(poolMembers, this.#entries.keys(), nowMs);
		const elapsedMs = Math.max(1, nowMs - this.#sampledAtMs);
		this.#sampledAtMs = nowMs;
		const members = this.#findMembers(vms, nowMs);
		this.#members = members;
		for (const [name, entry] of this.#entries) {
			const measuredPerS = entry.requestCount * 1000 / elapsedMs;
			entry.requestCount = 0;
			entry.askedPerS += (measuredPerS - entry.askedPerS) * demandWeight;
			entry.bucket.update({...members, poolMembers: this.pools.ownerOf(name) === undefined ? undefined : this.pools.others}, nowMs);
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
		const isPooled = this.pools.isUsable(workspace, nowMs);
		const waitMs = entry.bucket.take(entry.askedPerS, nowMs, isPooled);
		entry.lastRequestAtMs = nowMs;
		if (waitMs > 0 && isPooled && this.pools.ownerOf(workspace) === this.vm && this.grant(workspace)) {
			entry.bucket.recordBorrowed(nowMs);
			return 0;
		}

		return waitMs === 0 ? 0 : Math.min(maxRetryMs, Math.max(minRetryMs, waitMs));
	}

	/** Takes a token for a request that `take` has refused before; returns whether it is admitted. */
	retryTake(workspace: string): boolean {
		const entry = this.#entries.get(workspace);
		const nowMs = this.timers.nowMs();
		return entry?.bucket.take(entry.askedPerS, nowMs, this.pools.isUsable(workspace, nowMs)) === 0;
	}

	/** The VM to ask for a token after `take` has refused one; undefined if no pool of the failure domain can help. */
	poolOwnerToAsk(workspace: string): string | undefined {
		const bucket = this.#entries.get(workspace)?.bucket;
		const mayHelp = bucket !== undefined && bucket.pooledFraction > 0 && bucket.hasTokens && this.pools.isUsable(workspace, this.timers.nowMs());
		const owner = mayHelp ? this.pools.ownerOf(workspace) : undefined;
		return owner === this.vm ? undefined : owner;
	}

	/** Records a request that was admitted with a token of the pool. */
	recordBorrowed(workspace: string): void {
		this.#entries.get(workspace)?.bucket.recordBorrowed(this.timers.nowMs());
	}

	/** Grants a token of a workspace's pool to a VM of the failure domain; false if this VM does not own the pool or the pool has no token left. */
	grant(workspace: string): boolean {
		const entry = this.#entries.get(workspace);
		const nowMs = this.timers.nowMs();
		if (entry === undefined || !this.pools.mayGrant(workspace, nowMs) || !entry.bucket.grant(entry.askedPerS, nowMs)) {
			return false;
		}

		// Grants are reported to the peers like requests of this VM's own callers.
		entry.lastRequestAtMs = nowMs;
		return true;
	}

	/** Reports of grants that the owners of other pools must know before the next heartbeat; call it after each `update`. */
	startGrantReports(): GrantReport[] {
		const nowMs = this.timers.nowMs();
		const reports: GrantReport[] = [];
		for (const [workspace, {bucket}] of this.#entries) {
			const passed = bucket.passedToReport();
			// A silent owner grants nothing, or is cut off and uses only its part of the bucket.
			const owners = passed === undefined ? [] : this.pools.ownersElsewhere(workspace).filter(vm => !this.#members.silent.has(vm));
			if (passed !== undefined && owners.length > 0 && this.pools.mayGrant(workspace, nowMs)) {
				const report = {workspace, passed, owners};
				this.#grantReports.start(report, nowMs);
				reports.push(report);
			}
		}

		return reports;
	}

	/** Applies a report of the owner of another pool; returns whether this VM is the owner that has to know it, and does. */
	applyGrantReport(vm: string, incarnation: number, workspace: string, passed: number): boolean {
		const bucket = this.#entries.get(workspace)?.bucket;
		return bucket !== undefined && this.pools.ownerOf(workspace) === this.vm && bucket.applyPassed(vm, incarnation, passed);
	}

	/** Applies the confirmation of a report by the owner of another pool. */
	confirmGrantReport(vm: string, workspace: string, passed: number): void {
		const knownUntilMs = this.#grantReports.confirm(workspace, passed, vm);
		if (knownUntilMs !== undefined) {
			this.#entries.get(workspace)?.bucket.confirmGrants(knownUntilMs);
		}
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

	/** Which of the VMs that share the limits are heard, and which are silent. */
	#findMembers(vms: ReadonlySet<string>, nowMs: number): BucketMembers {
		for (const vm of this.#peers.keys()) {
			if (!vms.has(vm)) {
				this.#peers.delete(vm);
			}
		}

		const silent = new Set<string>();
		let lastHeardAtMs = Number.NEGATIVE_INFINITY;
		for (const vm of vms) {
			if (vm === this.vm) {
				continue;
			}

			const peer = this.#peers.get(vm);
			if (peer === undefined) {
				this.#peers.set(vm, {incarnation: undefined, heardAtMs: nowMs});
			} else if (nowMs - peer.heardAtMs > peerTimeoutMs) {
				silent.add(vm);
			} else if (peer.incarnation !== undefined) {
				lastHeardAtMs = Math.max(lastHeardAtMs, peer.heardAtMs);
			}
		}

		return {vms: sameOr(this.#members.vms, vms), silent: sameOr(this.#members.silent, silent), lastHeardAtMs};
	}

	#limitsOf(ratePerS: number, burst: number) {
		const {overshoot, slackCount, windowMs} = this.tolerance();
		return {ratePerS, burst, toleranceCount: (((ratePerS * windowMs / 1000) + burst) * overshoot) + slackCount};
	}
}

function round(value: number): number {
	return Math.round(value * 10) / 10;
}

/** The set known before if the present one has the same elements. */
function sameOr(known: ReadonlySet<string>, present: ReadonlySet<string>): ReadonlySet<string> {
	return known.size === present.size && [...present].every(element => known.has(element)) ? known : present;
}
