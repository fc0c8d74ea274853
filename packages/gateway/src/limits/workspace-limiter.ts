import {type TimerService} from '@fescuewick/core';
import {DemandMeter} from '@fescuewick/shares';
import {type Workspace} from '../model/configuration.js';
import {type Demands} from '../peers/heartbeat.js';
import {divideRate} from './rate-division.js';

/** Interval at which demand is measured and parts are divided anew, in milliseconds; half a heartbeat. */
export const divisionIntervalMs = 250;
/** Part of the burst that is handed out; the rest covers parts that overlap while views of demand differ. */
const burstPart = 0.8;
/** Part of the stated slack that VMs hold as additional burst, because a small burst divided among VMs leaves each too little for requests that come close together. */
const slackPart = 0.8;
/** Tokens of a VM that has just started, in seconds of its part of the rate: those of its predecessor may have been used already. */
const startTokensS = 0.5;
/**
Time for which demand must have lasted at a VM before it counts for the VM's own part, in milliseconds.
By then all peers have heard of it (the slower heartbeat interval and a measuring interval, with some margin), so that parts never add up to more than the rate when demand rises everywhere at once.
*/
const settledMs = 1500;
/** A refused caller is told to come back after this time at least, in milliseconds. */
const minRetryMs = 200;

const settledSamples = settledMs / divisionIntervalMs;

type Bucket = {
	ratePerS: number;
	burst: number;
	/** This VM's part of the rate. */
	partPerS: number;
	capacity: number;
	tokens: number;
	updatedMs: number;
	readonly demand: DemandMeter;
	/** Demand at the last measurements, the newest last. */
	recent: number[];
};

/** Other VMs that share the limits, and their demands. */
export type SharingPeers = {readonly members: number; readonly demands: readonly Demands[]};

/** Holds workspaces to their rate and burst over all VMs: each VM spends from a bucket with its part of both. */
export class WorkspaceLimiter {
	readonly #buckets = new Map<string, Bucket>();
	#peers: SharingPeers = {members: 1, demands: []};
	#sampledMs: number;

	/** `slackCount` is how many requests of a workspace may exceed its limits, over all VMs. */
	constructor(private readonly timers: TimerService, private readonly slackCount: () => number) {
		this.#sampledMs = timers.nowMs();
	}

	/** Applies the limits of a configuration; buckets of workspaces that stay keep their tokens. */
	configure(workspaces: Iterable<Workspace>, peers: SharingPeers): void {
		this.#peers = peers;
		const names = new Set<string>();
		for (const {name, ratePerS, burst} of workspaces) {
			names.add(name);
			const known = this.#buckets.get(name);
			if (known === undefined) {
				const bucket: Bucket = {
					ratePerS, burst, partPerS: 0, capacity: 0, tokens: 0, updatedMs: this.timers.nowMs(), demand: new DemandMeter(), recent: [],
				};
				this.#buckets.set(name, bucket);
				this.#divide(name, bucket);
				bucket.tokens = Math.min(bucket.capacity, bucket.partPerS * startTokensS);
			} else {
				known.ratePerS = ratePerS;
				known.burst = burst;
				this.#divide(name, known);
			}
		}

		for (const name of this.#buckets.keys()) {
			if (!names.has(name)) {
				this.#buckets.delete(name);
			}
		}
	}

	/** Measures demand and divides the rates anew; to be called every `divisionIntervalMs`. */
	update(peers: SharingPeers): void {
		this.#peers = peers;
		const nowMs = this.timers.nowMs();
		for (const [name, bucket] of this.#buckets) {
			bucket.demand.sample(nowMs - this.#sampledMs);
			bucket.recent.push(bucket.demand.ratePerS);
			bucket.recent = bucket.recent.slice(-settledSamples);
			this.#divide(name, bucket);
		}

		this.#sampledMs = nowMs;
	}

	/** Takes a token for a request; returns 0, or the time after which the caller should come back, in milliseconds. */
	take(workspace: string): number {
		const bucket = this.#buckets.get(workspace);
		if (bucket === undefined || bucket.ratePerS === 0) {
			return 0;
		}

		bucket.demand.add(1);
		this.#accrue(bucket);
		if (bucket.tokens >= 1) {
			bucket.tokens--;
			return 0;
		}

		return Math.max(minRetryMs, (1 - bucket.tokens) * 1000 / Math.max(bucket.partPerS, 1));
	}

	/** What a refusal was decided by, for its decision line. */
	explain(workspace: string): Readonly<Record<string, number>> {
		const bucket = this.#buckets.get(workspace);
		return bucket === undefined
			? {}
			: {
				limitPerS: bucket.ratePerS, partPerS: round(bucket.partPerS), capacity: round(bucket.capacity), demandPerS: round(bucket.demand.ratePerS), members: this.#peers.members,
			};
	}

	/** Returns the token of a request that was not run. */
	giveBack(workspace: string): void {
		const bucket = this.#buckets.get(workspace);
		if (bucket !== undefined && bucket.ratePerS > 0) {
			bucket.tokens = Math.min(bucket.capacity, bucket.tokens + 1);
		}
	}

	/** Demand by workspace, for peers. */
	demands(): Demands {
		return Object.fromEntries([...this.#buckets].filter(([, {demand}]) => demand.ratePerS > 0).map(([name, {demand}]) => [name, demand.ratePerS]));
	}

	#divide(name: string, bucket: Bucket): void {
		this.#accrue(bucket);
		const {ratePerS, burst, recent} = bucket;
		const othersPerS = this.#peers.demands.reduce((sum, demands) => sum + (demands[name] ?? 0), 0);
		bucket.partPerS = ratePerS === 0
			? 0
			: divideRate({
				ratePerS, ownPerS: recent.length < settledSamples ? 0 : Math.min(...recent), othersPerS, members: this.#peers.members,
			});
		bucket.capacity = ratePerS === 0 ? 0 : Math.max(1, (burst * burstPart * bucket.partPerS / ratePerS) + (this.slackCount() * slackPart / this.#peers.members));
		bucket.tokens = Math.min(bucket.capacity, bucket.tokens);
	}

	#accrue(bucket: Bucket): void {
		const nowMs = this.timers.nowMs();
		bucket.tokens = Math.min(bucket.capacity, bucket.tokens + ((nowMs - bucket.updatedMs) * bucket.partPerS / 1000));
		bucket.updatedMs = nowMs;
	}
}

function round(value: number): number {
	return Math.round(value * 10) / 10;
}
