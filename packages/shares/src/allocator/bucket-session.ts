import {
	DecisionKind, hashFraction, incarnationId, logDecision, type Logger, type PauseDetector, type TimerService,
} from '@fescuewick/core';
import {MemberState, type PeerNetwork} from '@fescuewick/membership';
import {type ObjectStore} from '@fescuewick/store';
import {
	MessageType, ShareKind, type ShareDemand, type ShareGrant, type ShareHandover, type SliceDemandBody, type SliceLoanBody, type SliceLoansBody,
} from '@fescuewick/wire';
import {bucketOf, type ShareSettings} from '../settings.js';
import {SliceLoans} from '../loans/slice-loans.js';
import {SliceManager, SliceOutcome} from '../slices/slice-manager.js';
import {BucketAllocator} from './bucket-allocator.js';
import {type RateQuota} from './division.js';
import {type FenceRegister} from './fence-register.js';
import {fenceBucket, fenceTimeoutMs} from './takeover.js';

/** Interval of store reads while slices are being rebalanced. */
const rebalanceRefreshMs = 1000;
/** Interval of store reads while nothing changes; also the maximum delay, apart from jitter, until demand that is only published in the store is seen. */
const idleRefreshMs = 2000;
/** Minimum time between store calls while the store does not answer. */
const retryMs = 2000;
/** Maximum number of urgent refreshes that may follow each other at once; their mean rate is at most one per `rebalanceRefreshMs`. */
const refreshBurst = 2;
/** Request timeout for the allocators of other domains. */
const demandTimeoutMs = 800;
/** Renewal delay for holders whose share is about to change. */
const earlyRenewalMs = 250;

/** Reasons for which a session ends itself. */
export enum SessionEndReason {
	/** Another VM claimed the bucket with the same epoch; only one of them may retry at once. */
	tied = 'tied',
	/** A newer epoch is known. Its claimant may have given up, so this VM queries the allocators again. */
	outdated = 'outdated',
}

/** A handover from another VM, with the time of its receipt. */
export type ReceivedHandover = {readonly handover: ShareHandover; readonly fromVm: string; readonly receivedAtMs: number};

/** Options of a bucket session. */
export type BucketSessionOptions = {
	readonly bucket: number;
	readonly peers: PeerNetwork;
	readonly store: ObjectStore;
	readonly timers: TimerService;
	readonly pauses: PauseDetector;
	readonly settings: () => ShareSettings;
	readonly logger: Logger;
	readonly register: FenceRegister;
	readonly domains: () => readonly string[];
	/** Handover of the allocator that has just stopped. */
	readonly receivedHandover?: ReceivedHandover;
	/** Overrides the time for which a lender debits a loan, for tests that expect a violation. */
	readonly loanDebitMs?: number;
	/** Called when the session has to end; the owner then stops it. */
	readonly onEnd: (reason: string, end: SessionEndReason) => void;
};

/** One term of this VM as allocator of a bucket, from the claim to its end. */
export class BucketSession {
	readonly #options: BucketSessionOptions;
	readonly #sliceManager: SliceManager;
	readonly #allocator: BucketAllocator;
	readonly #loans: SliceLoans;
	#stopped = false;
	#refreshing = false;
	/** VMs that were assumed to be stopped and have not answered a fence since. */
	readonly #unfencedVms = new Set<string>();
	#refreshAtMs = Number.POSITIVE_INFINITY;
	#earliestRefreshMs = Number.POSITIVE_INFINITY;
	/** Whether to read the store ahead of the regular interval. */
	#isRefreshUrgent = false;
	/** Time at which the whole `refreshBurst` is available again. */
	#refreshBurstFullAtMs = Number.NEGATIVE_INFINITY;

	constructor(options: BucketSessionOptions) {
		this.#options = options;
		const {bucket, peers, store, settings, timers} = options;
		this.#sliceManager = new SliceManager({
			store,
			bucket,
			domain: peers.self.failureDomain,
			incarnation: incarnationId(peers.incarnation),
			settings,
			workspaces: () => this.#workspaces(),
			domains: options.domains,
			nowMs: () => timers.nowMs(),
			state: workspace => this.#stateOf(workspace),
			onMove(workspace, from, to) {
				const reason = to.ratePerS < from.ratePerS ? 'demand of other domains or a lower rate' : 'own demand';
				logDecision(options.logger, DecisionKind.share, reason, {
					bucket, workspace, event: 'slice', fromPerS: from.ratePerS, toPerS: to.ratePerS,
				});
			},
		}, options.register.epochOf(bucket) + 1);
		this.#loans = new SliceLoans({
			...options,
			sliceManager: this.#sliceManager,
			term: () => `${incarnationId(peers.incarnation)}/${this.epoch}`,
			workspaces: () => this.#workspaces(),
			ownsSlices: () => !this.#stopped && this.#allocator.ownsSlices,
			committedToHolders: workspace => this.#allocator.committedOf(workspace),
			onResize: () => {
				this.#allocator.resizeAll();
			},
			debitMs: options.loanDebitMs,
		});
		this.#allocator = new BucketAllocator({
			bucket, timers, settings, slices: this.#loans,
		}, this.#sliceManager.epoch);
	}

	get epoch(): number {
		return this.#allocator.epoch;
	}

	/** Claims the bucket and fences earlier allocators; afterwards the session grants. */
	async run(): Promise<void> {
		const {bucket, peers, timers, register, logger, receivedHandover} = this.#options;
		const {outcome, first} = await this.#sliceManager.claim(this.#sliceManager.epoch);
		if (this.#stopped) {
			return;
		}

		const epoch = Math.max(this.#sliceManager.epoch, register.epochOf(bucket) + 1);
		this.#sliceManager.epoch = epoch;
		this.#allocator.epoch = epoch;
		const fence = await fenceBucket({
			peers, timers, register, isActive: () => !this.#stopped, stoppedVm: receivedHandover?.fromVm,
		}, bucket, epoch);
		if (this.#stopped) {
			return;
		}

		if (!fence.accepted) {
			this.#options.onEnd('another VM has claimed the bucket', fence.tied ? SessionEndReason.tied : SessionEndReason.outdated);
			return;
		}

		const isFirst = first && fence.first && outcome === SliceOutcome.current;
		for (const vm of fence.unfencedVms) {
			this.#unfencedVms.add(vm);
		}

		const accounts = receivedHandover?.handover.accounts;
		// A higher epoch means that another VM may have granted since the accounts were sent.
		const inherits = accounts !== undefined && fence.previousEpoch <= receivedHandover!.handover.epoch;
		if (inherits) {
			this.#allocator.adoptAccounts(accounts, receivedHandover!.receivedAtMs);
		} else {
			this.#allocator.completeFencing(isFirst);
		}

		this.#refreshAtMs = timers.nowMs();
		this.#earliestRefreshMs = timers.nowMs();
		logDecision(logger, DecisionKind.share, isFirst ? 'no earlier allocator' : 'earlier allocators have stopped', {
			bucket, epoch, event: 'takeover', store: outcome, inherits,
		});
	}

	/** Fences revived VMs, announces demand, renews loans and refreshes the slices when they are due. */
	tick(): void {
		const nowMs = this.#options.timers.nowMs();
		if (!this.#stopped) {
			this.#fenceRevivedVms();
		}

		if (this.#stopped) {
			return;
		}

		this.#announceDemand();
		this.#loans.tick();
		if (nowMs < this.#earliestRefreshMs) {
			return;
		}

		if (this.#sliceManager.planAhead()) {
			this.#isRefreshUrgent = true;
		}

		if (!this.#refreshing && (nowMs >= this.#refreshAtMs || (this.#isRefreshUrgent && this.#refreshBurstFullAtMs - nowMs <= (refreshBurst - 1) * rebalanceRefreshMs))) {
			this.#refreshing = true;
			void this.#refresh();
		}
	}

	grant(holder: string, demand: ShareDemand): ShareGrant | undefined {
		const grant = this.#allocator.grant(holder, demand);
		const isChanging = grant !== undefined && demand.kind === ShareKind.rate && demand.wanted > 0
			&& (this.#sliceManager.isChangePending(demand.resource) || this.#loans.isChangePending(demand.resource));
		return isChanging ? {...grant, renewInMs: earlyRenewalMs} : grant;
	}

	/** Records the demand of another domain, so that the quota that it lacks is released without waiting for the next store read. */
	receiveDemand(body: SliceDemandBody): void {
		if (!this.#stopped) {
			this.#isRefreshUrgent ||= this.#sliceManager.receiveDemand(body);
			this.tick();
		}
	}

	/** Lends to another domain's allocator. */
	lend(body: SliceLoanBody): SliceLoansBody {
		return this.#stopped ? {lender: '', loans: []} : this.#loans.grantLoans(body);
	}

	#stateOf(workspace: string): {wantedPerS: number; uncommitted: RateQuota} {
		const state = this.#allocator.stateOf(workspace);
		// Nothing is released while grants are backed by loans, because these grants carry the size of the slice as their limit.
		return this.#loans.boundOf(workspace) === undefined ? state : {...state, uncommitted: {ratePerS: 0, burst: 0}};
	}

	/** Announces changed demand to the allocators of the other domains. */
	#announceDemand(): void {
		const wanted = this.#sliceManager.takeDemandUpdates();
		if (wanted.length > 0) {
			void this.#notifyOtherDomains(wanted);
		}
	}

	async #notifyOtherDomains(wanted: SliceDemandBody['wanted']): Promise<void> {
		const {bucket, peers} = this.#options;
		const body = {
			bucket, domain: peers.self.failureDomain, version: this.#sliceManager.version, wanted,
		};
		const replies = await Promise.allSettled(this.#sliceManager.otherAllocators.map(async ({vm}) =>
			peers.request(vm, MessageType.sliceDemand, body, demandTimeoutMs)));
		// A domain that was not reached reads the demand from the store, so it is published ahead of the regular interval.
		this.#isRefreshUrgent ||= wanted.length > 0 && replies.some(reply => reply.status === 'rejected' || !reply.value.accepted);
	}

	returnShare(holder: string, kind: ShareKind, resource: string, tokens: number): void {
		this.#allocator.returnShare(holder, kind, resource, tokens);
	}

	/** Ends the term and returns the handover for the successor. */
	handOver(): ShareHandover {
		// Accounts have no limit for grants that are backed by loans, so they are left out while there are any; the successor then gets the limits from the holders' reports.
		const accounts = this.#stopped || this.#loans.isBackingGrants ? undefined : this.#allocator.accounts();
		this.stop();
		return {bucket: this.#options.bucket, epoch: this.epoch, ...(accounts === undefined ? {} : {accounts})};
	}

	stop(): void {
		this.#stopped = true;
		this.#allocator.stop();
	}

	/** Fences VMs that are alive again: a VM that was wrongly declared dead may still allocate. */
	#fenceRevivedVms(): void {
		const {peers} = this.#options;
		for (const vm of this.#unfencedVms) {
			if (peers.member(vm)?.state === MemberState.alive) {
				this.#unfencedVms.delete(vm);
				void this.#fenceVm(vm);
			}
		}
	}

	async #fenceVm(vm: string): Promise<void> {
		const {bucket, peers, register, onEnd} = this.#options;
		const {epoch} = this;
		try {
			const reply = await peers.request(vm, MessageType.shareRequest, {
				holder: incarnationId(peers.incarnation), epoch, demands: [], fence: {bucket, epoch},
			}, fenceTimeoutMs);
			if (this.#stopped) {
				return;
			}

			if (reply.epoch >= epoch) {
				register.record(bucket, reply.epoch);
				onEnd(`${vm} has seen epoch ${reply.epoch}`, SessionEndReason.outdated);
				return;
			}

			this.#allocator.restartTakeoverWait();
		} catch {
			this.#unfencedVms.add(vm);
		}
	}

	async #refresh(): Promise<void> {
		const {timers, bucket, peers, pauses} = this.#options;
		this.#isRefreshUrgent = false;
		this.#refreshBurstFullAtMs = Math.max(this.#refreshBurstFullAtMs, timers.nowMs()) + rebalanceRefreshMs;
		const outcome = await this.#sliceManager.refresh();
		this.#refreshing = false;
		pauses.check();
		if (this.#stopped) {
			return;
		}

		if (outcome === SliceOutcome.superseded) {
			this.#options.onEnd('the store records a newer allocator', SessionEndReason.outdated);
			return;
		}

		this.#allocator.resizeAll();
		const idleMs = outcome === SliceOutcome.current ? idleRefreshMs : retryMs;
		const intervalMs = this.#sliceManager.moving && outcome === SliceOutcome.current ? rebalanceRefreshMs : idleMs;
		// Jitter spreads the store calls of different domains, above all after an outage.
		const jitter = 0.9 + (0.2 * hashFraction(`${peers.self.vm}/${bucket}/${Math.round(timers.nowMs())}`));
		this.#refreshAtMs = timers.nowMs() + (intervalMs * jitter);
		this.#earliestRefreshMs = timers.nowMs() + (outcome === SliceOutcome.current ? 0 : retryMs * jitter);
		if (this.#sliceManager.hasReleased) {
			void this.#notifyOtherDomains([]);
		}
	}

	#workspaces(): string[] {
		return [...this.#options.settings().rates.keys()].filter(workspace => bucketOf(ShareKind.rate, workspace) === this.#options.bucket);
	}
}
