import {type Cancel, type PauseDetector, type TimerService} from '@fescuewick/core';
import {
	ShareKind, type ShareDemand, type ShareGrantsBody,
} from '@fescuewick/wire';
import {grantLifetimeMs, renewIntervalMs} from '../limits.js';
import {type GrantId} from './held-grant.js';
import {type ShareHolderOptions} from './share-holder-options.js';
import {SlotLease} from './slot-lease.js';
import {TokenBucket} from './token-bucket.js';

/** Minimum age at which a round renews shares without demand and slots of servers without connections; with a round per second, that is every second round. */
const idleRenewalMs = 1500;
/** Delay of a retry for a share that is in force but was not renewed by the answer; a replaced control daemon or allocator must extend it before it expires. */
const retryMs = 250;
/** Minimum interval between requests ahead of the regular round. */
const earlyRequestIntervalMs = 200;
/** Interval of checks for expired grants; below the allocator's `grantMarginMs`, so that requests end before their slots are granted again. */
const expiryCheckMs = 250;
/** Age after which an unanswered request no longer delays the next round. */
const requestOverdueMs = 900;

type ReportedGrants = Map<string, GrantId | undefined>;
type HeldShare = TokenBucket | SlotLease;

/** Shares of one entry process: token buckets of workspaces and slots of backend servers. */
export class ShareHolder {
	readonly #options: ShareHolderOptions;
	readonly #timers: TimerService;
	readonly #pauses: PauseDetector;
	readonly #buckets = new Map<string, TokenBucket>();
	readonly #leases = new Map<string, SlotLease>();
	readonly #cancels: Cancel[] = [];
	#sampledAtMs: number;
	#lastSentMs = Number.NEGATIVE_INFINITY;
	#inFlight = 0;
	#earlyRequestAtMs = Number.NEGATIVE_INFINITY;
	#earlyRequestPending = false;
	#retryPending = false;
	/** Shares in force that the last request for them did not renew. */
	readonly #unrenewed = new Set<HeldShare>();
	#earlyRenewalPending = false;
	#stopped = false;

	constructor(options: ShareHolderOptions) {
		this.#options = options;
		this.#timers = options.timers;
		this.#pauses = options.pauses;
		this.#sampledAtMs = options.timers.nowMs();
		this.#cancels.push(options.pauses.onPause(() => {
			this.#expireAll();
		}));
	}

	/** Starts renewing shares every second. */
	start(): void {
		this.#cancels.push(
			this.#timers.repeat(renewIntervalMs, () => {
				this.#renew();
			}),
			this.#timers.repeat(expiryCheckMs, () => {
				this.#expireDue();
			}),
		);
		this.#renew();
	}

	/** Renews ahead of the regular round because a share is too small for the demand, at most once per `earlyRequestIntervalMs`. */
	renewEarly(): void {
		const nowMs = this.#timers.nowMs();
		if (!this.#stopped && this.#inFlight === 0 && nowMs - this.#earlyRequestAtMs >= earlyRequestIntervalMs) {
			this.#earlyRequestAtMs = nowMs;
			this.#renew();
		}
	}

	/** Sets the workspaces and servers to hold shares of; shares of others are dropped and expire. */
	track(workspaces: Iterable<string>, servers: Iterable<string>): void {
		syncKeys(this.#buckets, workspaces, workspace => new TokenBucket(workspace));
		syncKeys(this.#leases, servers, server => new SlotLease(server));
	}

	/** Takes `count` tokens of a workspace; returns 0 if they were taken, else `retryAfterMs`. */
	take(workspace: string, count = 1): number {
		let bucket = this.#buckets.get(workspace);
		if (bucket === undefined) {
			bucket = new TokenBucket(workspace);
			this.#buckets.set(workspace, bucket);
		}

		this.#pauses.check();
		const retryAfterMs = bucket.take(this.#timers.nowMs(), count);
		if (retryAfterMs > 0 && !bucket.grant.valid) {
			this.#requestEarly();
		} else if (retryAfterMs > 0 && bucket.demand.isSurge) {
			this.renewEarly();
		}

		return retryAfterMs;
	}

	/** Whether a share of the workspace is in force; a request without a token is refused as `rateExceeded` if so, else as `noShare`. */
	hasShare(workspace: string): boolean {
		this.#pauses.check();
		const bucket = this.#buckets.get(workspace);
		return bucket !== undefined && this.#timers.nowMs() < bucket.grant.expiresAtMs;
	}

	/** Whether each workspace has a share with at least one token; a VM that serves earlier would reject its first callers. */
	get coversAllWorkspaces(): boolean {
		const nowMs = this.#timers.nowMs();
		return [...this.#buckets.values()].every(bucket => bucket.available(nowMs) >= 1);
	}

	/** Slots and connections of a server that are granted and not expired, and the slots in use. */
	slotsOf(server: string): {slots: number; connections: number; slotsInUse: number} {
		this.#pauses.check();
		const lease = this.#leases.get(server);
		const nowMs = this.#timers.nowMs();
		return {slots: lease?.slots(nowMs) ?? 0, connections: lease?.connections(nowMs) ?? 0, slotsInUse: lease?.slotsInUse ?? 0};
	}

	/** Requests in flight at a server. */
	slotsInUse(server: string): number {
		return this.#leases.get(server)?.slotsInUse ?? 0;
	}

	/** Time on the monotonic clock at which the grant for a server ends; minus infinity without one. */
	slotsExpireAtMs(server: string): number {
		return this.#leases.get(server)?.grant.expiresAtMs ?? Number.NEGATIVE_INFINITY;
	}

	/** Takes a slot of a server for one request; false if no slot is free. */
	acquireSlot(server: string): boolean {
		this.#pauses.check();
		return this.#leaseOf(server).acquire(this.#timers.nowMs());
	}

	/** Frees a slot when its request has ended. */
	releaseSlot(server: string): void {
		this.#leases.get(server)?.release();
	}

	/** Takes a connection to a server; false if none is free. */
	openConnection(server: string): boolean {
		this.#pauses.check();
		return this.#leaseOf(server).openConnection(this.#timers.nowMs());
	}

	closeConnection(server: string): void {
		this.#leases.get(server)?.closeConnection();
	}

	/** Sets the number of requests queued for a server, in addition to those in flight. */
	setQueued(server: string, count: number): void {
		this.#leaseOf(server).setQueued(count);
	}

	/**
	Stops using the shares and returns them with their tokens; never rejects.

	Call it after the last request has ended; a server with requests in flight is not returned.
	*/
	async stop(): Promise<void> {
		if (this.#stopped) {
			return;
		}

		const nowMs = this.#timers.nowMs();
		const demands = this.#demands(nowMs, true);
		this.#stopped = true;
		this.#expireAll();
		for (const cancel of this.#cancels) {
			cancel();
		}

		const epoch = highestEpoch(demands);
		const returned = demands
			.filter(({kind, resource, held}) => held !== undefined && !(kind === ShareKind.slots && this.#isInUse(resource)))
			.map(({kind, resource, tokens}) => ({kind, resource, tokens}));
		try {
			await this.#options.source.returnShares({holder: this.#options.holder, epoch, returned});
		} catch (error) {
			this.#options.onError?.(error);
		}
	}

	#isInUse(server: string): boolean {
		return this.#leases.get(server)?.isInUse ?? false;
	}

	#leaseOf(server: string): SlotLease {
		let lease = this.#leases.get(server);
		if (lease === undefined) {
			lease = new SlotLease(server);
			this.#leases.set(server, lease);
		}

		return lease;
	}

	#renew(): void {
		const nowMs = this.#timers.nowMs();
		this.#pauses.check();
		this.#expireDue();
		for (const bucket of this.#buckets.values()) {
			bucket.demand.sample(nowMs - this.#sampledAtMs);
		}

		for (const lease of this.#leases.values()) {
			lease.sample();
		}

		this.#sampledAtMs = nowMs;
		if (this.#inFlight === 0 || nowMs - this.#lastSentMs >= requestOverdueMs) {
			this.#lastSentMs = nowMs;
			void this.#send(this.#demands(nowMs, false));
		}
	}

	/** Requests again, after `retryMs`, the shares that are still valid but were not renewed by the last request for them. */
	#retry(): void {
		if (this.#retryPending || this.#stopped || this.#unrenewed.size === 0) {
			return;
		}

		this.#retryPending = true;
		this.#timers.after(retryMs, () => {
			this.#retryPending = false;
			this.#pauses.check();
			this.#expireDue();
			this.#updateUse();
			const nowMs = this.#timers.nowMs();
			const shares = this.#shares().filter(share => this.#unrenewed.has(share) && nowMs < share.grant.expiresAtMs);
			this.#unrenewed.clear();
			void this.#send(shares.map(share => share.report(nowMs)));
		});
	}

	/** Requests shares for all workspaces without one, ahead of the regular round; at most once per `earlyRequestIntervalMs`. */
	#requestEarly(): void {
		const nowMs = this.#timers.nowMs();
		if (this.#stopped || this.#earlyRequestPending || this.#inFlight > 0) {
			return;
		}

		this.#earlyRequestPending = true;
		this.#timers.after(Math.max(0, this.#earlyRequestAtMs + earlyRequestIntervalMs - nowMs), () => {
			this.#earlyRequestPending = false;
			if (this.#inFlight > 0 || this.#stopped) {
				return;
			}

			const atMs = this.#timers.nowMs();
			this.#earlyRequestAtMs = atMs;
			void this.#send([...this.#buckets.values()].filter(bucket => !bucket.grant.valid).map(bucket => {
				const report = bucket.report(atMs);
				return report.wanted > 0 ? report : {...report, wanted: 1};
			}));
		});
	}

	#updateUse(): void {
		for (const use of this.#options.use?.() ?? []) {
			this.#leases.get(use.server)?.setUse(use.inFlight, use.connections, use.queued);
		}
	}

	#shares(): HeldShare[] {
		return [...this.#buckets.values(), ...this.#leases.values()];
	}

	#demands(nowMs: number, includeIdle: boolean): ShareDemand[] {
		this.#updateUse();
		const demands: ShareDemand[] = [];
		for (const share of this.#shares()) {
			const demand = share.report(nowMs);
			// Requests of a few milliseconds are rarely in flight when demand is sampled, so open connections also mark a server as in use.
			const isDue = nowMs >= share.grant.expiresAtMs - grantLifetimeMs + idleRenewalMs || (share instanceof SlotLease && share.isInUse);
			if (includeIdle || isDue || demand.wanted > 0 || demand.held === undefined) {
				demands.push(demand);
			}
		}

		return demands;
	}

	#shareOf({kind, resource}: ShareDemand): HeldShare | undefined {
		return kind === ShareKind.rate ? this.#buckets.get(resource) : this.#leases.get(resource);
	}

	async #send(demands: readonly ShareDemand[]): Promise<void> {
		if (this.#stopped || demands.length === 0) {
			return;
		}

		const sentAtMs = this.#timers.nowMs();
		const reported: ReportedGrants = new Map(demands.map(({kind, resource, held}) => [`${kind}/${resource}`, held?.sequence === 0 ? undefined : held]));
		this.#inFlight++;
		try {
			const body = await this.#options.source.request({holder: this.#options.holder, epoch: highestEpoch(demands), demands});
			this.apply(body, sentAtMs, reported);
		} catch (error) {
			this.#options.onError?.(error);
		} finally {
			this.#inFlight--;
		}

		for (const demand of demands) {
			const share = this.#shareOf(demand);
			if (share !== undefined && share.grant.valid && share.grant.expiresAtMs < sentAtMs + grantLifetimeMs) {
				this.#unrenewed.add(share);
			}
		}

		this.#retry();
	}

	/** Applies the answer to a request that was sent at `sentAtMs` and reported the given grants. */
	apply(body: ShareGrantsBody, sentAtMs: number, reported: ReportedGrants): void {
		this.#pauses.check();
		// A pause ends every share, so an answer to a request from before the pause must not restore one.
		if (this.#stopped || sentAtMs < this.#pauses.lastPauseEndMs) {
			return;
		}

		this.#expireDue();
		const nowMs = this.#timers.nowMs();
		for (const grant of body.grants) {
			const target = grant.kind === ShareKind.rate ? this.#buckets.get(grant.resource) : this.#leases.get(grant.resource);
			target?.apply({...grant, epoch: grant.epoch ?? body.epoch}, sentAtMs + grant.expiresInMs, nowMs, reported.get(`${grant.kind}/${grant.resource}`));
		}

		this.#options.onGrants?.(body.grants.length);
		this.#renewChanging(body);
	}

	/** Renews shares that are about to change ahead of the regular round. */
	#renewChanging({grants}: ShareGrantsBody): void {
		const changing = new Map(grants.filter(({renewInMs}) => renewInMs !== undefined).map(({kind, resource, renewInMs}) => [`${kind}/${resource}`, renewInMs!]));
		if (changing.size === 0 || this.#earlyRenewalPending) {
			return;
		}

		this.#earlyRenewalPending = true;
		this.#timers.after(Math.max(earlyRequestIntervalMs, Math.min(...changing.values())), () => {
			this.#earlyRenewalPending = false;
			if (this.#inFlight === 0) {
				void this.#send(this.#demands(this.#timers.nowMs(), true).filter(({kind, resource}) => changing.has(`${kind}/${resource}`)));
			}
		});
	}

	#expireAll(): void {
		for (const bucket of this.#buckets.values()) {
			bucket.expire();
		}

		for (const lease of this.#leases.values()) {
			this.#expire(lease);
		}
	}

	/** Ends expired slot grants; must run before a new grant is applied, which would hide that in-flight requests belong to an ended grant. */
	#expireDue(): void {
		const nowMs = this.#timers.nowMs();
		for (const lease of this.#leases.values()) {
			if (nowMs >= lease.grant.expiresAtMs) {
				this.#expire(lease);
			}
		}
	}

	#expire(lease: SlotLease): void {
		lease.expire();
		if (lease.isInUse) {
			this.#options.onSlotsLost?.(lease.server);
		}
	}
}

function highestEpoch(demands: readonly ShareDemand[]): number {
	return Math.max(0, ...demands.map(demand => demand.seenEpoch ?? 0));
}

function syncKeys<Value>(map: Map<string, Value>, names: Iterable<string>, create: (name: string) => Value): void {
	const wanted = new Set(names);
	for (const name of map.keys()) {
		if (!wanted.has(name)) {
			map.delete(name);
		}
	}

	for (const name of wanted) {
		if (!map.has(name)) {
			map.set(name, create(name));
		}
	}
}
