import {
	DecisionKind, hashFraction, incarnationId, logDecision, type Cancel, type Logger, type PauseDetector, type TimerService,
} from '@fescuewick/core';
import {MemberState, type PeerNetwork} from '@fescuewick/membership';
import {type ObjectStore} from '@fescuewick/store';
import {
	MessageType, ShareKind, type ShareAllocator, type ShareDemand, type ShareGrant, type ShareGrantsBody, type ShareRequestBody, type ShareReturnBody,
	type SliceDemandBody,
} from '@fescuewick/wire';
import {AllocatorDirectory} from './allocator/allocator-directory.js';
import {BucketSession, SessionEndReason, type ReceivedHandover} from './allocator/bucket-session.js';
import {FenceRegister} from './allocator/fence-register.js';
import {takeoverWaitMs} from './limits.js';
import {bucketOf, type ShareSettings} from './settings.js';
import {ShareService} from './share-service.js';

const tickMs = 250;
/** Below the renewal interval, so that a lost answer does not delay the next round. */
const requestTimeoutMs = 800;
/** Minimum backoff before a superseded VM claims the bucket again, with jitter of up to the same time; lets the views of the VMs converge. */
const claimBackoffMs = 1500;
/** Backoff after an outdated epoch, and after any end of a session by itself on the VM that ranks first for the bucket. It is short because the bucket may have no allocator and shares expire meanwhile; the other VMs are queried before the claim. */
const reclaimDelayMs = 100;
/** Maximum age of demands that are redirected to a second VM; older ones could arrive after the holder's next report. */
const maxRedirectAgeMs = 200;
/** Timeout for the successor's answer to a handover in a planned stop. */
const handoverTimeoutMs = 400;

/** Options of a VM's share service. */
export type LeasedShareServiceOptions = {
	readonly peers: PeerNetwork;
	readonly store: ObjectStore;
	readonly timers: TimerService;
	readonly pauses: PauseDetector;
	readonly settings: () => ShareSettings;
	readonly logger: Logger;
	/** Overrides the time for which a lender debits a loan, for tests that expect a violation. */
	readonly loanDebitMs?: number;
};

/** Share service with leased grants: routes demands to the allocators of the failure domain and allocates the buckets assigned to this VM. */
export class LeasedShareService extends ShareService {
	readonly #options: LeasedShareServiceOptions;
	readonly #register = new FenceRegister();
	readonly #directory: AllocatorDirectory;
	readonly #sessions = new Map<number, BucketSession>();
	readonly #claimBackoffUntilMs = new Map<number, number>();
	/** Buckets that this VM received demands for while it did not allocate them. */
	readonly #requestedBuckets = new Set<number>();
	readonly #cancels: Cancel[] = [];
	#jitterSeed = 0;
	#queryPending = false;
	#stopped = false;

	constructor(options: LeasedShareServiceOptions) {
		super();
		this.#options = options;
		const {peers, pauses} = options;
		this.#directory = new AllocatorDirectory(peers, options.timers);
		peers.handle(MessageType.shareRequest, async (body, from) => this.#handleRequest(body, from.vm));
		peers.handle(MessageType.shareReturn, async body => this.#handleReturn(body));
		peers.handle(MessageType.sliceDemand, async body => this.#receiveDemand(body));
		peers.handle(MessageType.sliceLoan, async body => {
			pauses.check();
			return this.#sessions.get(body.bucket)?.lend(body) ?? {lender: '', loans: []};
		});
		this.#cancels.push(pauses.onPause(pausedForMs => {
			this.#directory.resetQueries();
			for (const bucket of this.#sessions.keys()) {
				this.#stepDown(bucket, `paused for ${Math.round(pausedForMs)} ms`, 0);
			}
		}));
	}

	/** Starts allocating the buckets assigned to this VM. */
	start(): void {
		this.#cancels.push(
			this.#options.timers.repeat(tickMs, () => {
				this.#tick();
			}),
			this.#options.peers.onChange(() => {
				this.#tick();
			}),
		);
		this.#tick();
	}

	/** Hands the buckets over and stops allocating; never rejects. Requests of this VM's holders are still routed. */
	async stop(): Promise<void> {
		this.#stopped = true;
		// A pause ends all terms, whose accounts must then not be handed over.
		this.#options.pauses.check();
		for (const cancel of this.#cancels) {
			cancel();
		}

		await Promise.allSettled(this.buckets.map(async bucket => this.#handOver(bucket)));
	}

	async #handOver(bucket: number): Promise<void> {
		const {peers} = this.#options;
		const handover = this.#sessions.get(bucket)!.handOver();
		this.#stepDown(bucket, 'stopping');
		const successor = this.#directory.successorOf(bucket);
		if (successor !== undefined) {
			const {allocators} = await peers.request(successor, MessageType.shareRequest, {
				holder: incarnationId(peers.incarnation), epoch: handover.epoch, demands: [], handover,
			}, handoverTimeoutMs);
			for (const allocator of allocators ?? []) {
				this.#directory.record(allocator);
			}
		}
	}

	/** Buckets that this VM currently allocates. */
	get buckets(): number[] {
		return [...this.#sessions.keys()];
	}

	/** Routes a holder's demands to the allocators; demands without an answer have no grant in the result. */
	async request(body: ShareRequestBody): Promise<ShareGrantsBody> {
		if (this.#directory.isQueryDue) {
			await this.#directory.queryPeers();
		}

		const startedAtMs = this.#options.timers.nowMs();
		const firstAllocators = new Map(body.demands.map(({kind, resource}) => [bucketOf(kind, resource), this.#allocatorOf(bucketOf(kind, resource))]));
		const grants = await this.#requestGrants(body, body.demands);
		const granted = new Set(grants.map(({kind, resource}) => `${kind}/${resource}`));
		const redirected = body.demands.filter(({kind, resource}) => {
			const bucket = bucketOf(kind, resource);
			return !granted.has(`${kind}/${resource}`) && this.#allocatorOf(bucket) !== firstAllocators.get(bucket);
		});
		if (redirected.length > 0 && this.#options.timers.nowMs() - startedAtMs < maxRedirectAgeMs) {
			grants.push(...await this.#requestGrants(body, redirected));
		}

		let epoch = 0;
		for (const grant of grants) {
			epoch = Math.max(epoch, grant.epoch ?? 0);
			this.#register.record(bucketOf(grant.kind, grant.resource), grant.epoch ?? 0);
		}

		return {epoch, grants};
	}

	async #requestGrants(body: ShareRequestBody, demands: readonly ShareDemand[]): Promise<ShareGrant[]> {
		const groups = this.#groupByAllocator(demands);
		const answers = await Promise.allSettled([...groups].map(async ([vm, group]) =>
			this.#options.peers.request(vm, MessageType.shareRequest, {...body, demands: group}, requestTimeoutMs)));
		const grants: ShareGrant[] = [];
		for (const answer of answers) {
			if (answer.status === 'fulfilled') {
				grants.push(...answer.value.grants);
				for (const allocator of answer.value.allocators ?? []) {
					this.#directory.record(allocator);
				}
			}
		}

		return grants;
	}

	/** Routes returned shares to the allocators; shares that are not delivered expire. */
	async returnShares(body: ShareReturnBody): Promise<void> {
		const groups = this.#groupByAllocator(body.returned);
		await Promise.allSettled([...groups].map(async ([vm, returned]) =>
			this.#options.peers.request(vm, MessageType.shareReturn, {...body, returned}, requestTimeoutMs)));
	}

	#groupByAllocator<Entry extends {kind: ShareKind; resource: string}>(entries: readonly Entry[]): Map<string, Entry[]> {
		const chosen = new Map<number, string>();
		const groups = new Map<string, Entry[]>();
		for (const entry of entries) {
			const bucket = bucketOf(entry.kind, entry.resource);
			const vm = chosen.get(bucket) ?? this.#allocatorOf(bucket);
			chosen.set(bucket, vm);
			const group = groups.get(vm) ?? [];
			group.push(entry);
			groups.set(vm, group);
		}

		return groups;
	}

	#allocatorOf(bucket: number): string {
		return this.#directory.allocatorOf(bucket);
	}

	#tick(): void {
		const {pauses, peers, timers} = this.#options;
		pauses.check();
		const nowMs = timers.nowMs();
		for (const session of this.#sessions.values()) {
			session.tick();
		}

		if (this.#directory.isQueryDue) {
			void this.#queryPeers();
			return;
		}

		// The epoch of a claim must exceed every epoch known to the other VMs, or they refuse it.
		for (const {bucket, epoch, incarnation} of this.#directory.entries) {
			if (incarnation !== incarnationId(peers.incarnation)) {
				this.#register.record(bucket, epoch, incarnation);
			}
		}

		const due = [...this.#usedBuckets()].filter(bucket =>
			!this.#sessions.has(bucket) && nowMs >= (this.#claimBackoffUntilMs.get(bucket) ?? 0) && this.#allocatorOf(bucket) === peers.self.vm);
		// Another VM may have started a claim since the last query, and two concurrent claims end both terms.
		if (due.length > 0 && !this.#directory.isQueryRecent) {
			this.#directory.resetQueries();
			if (this.#directory.isQueryDue) {
				void this.#queryPeers();
				return;
			}
		}

		for (const bucket of due) {
			this.#startSession(bucket);
		}
	}

	/** Queries the current allocators before this VM claims any bucket. */
	async #queryPeers(): Promise<void> {
		if (!this.#queryPending) {
			this.#queryPending = true;
			await this.#directory.queryPeers();
			this.#queryPending = false;
			this.#tickUnlessStopped();
		}
	}

	#tickUnlessStopped(): void {
		if (!this.#stopped) {
			this.#tick();
		}
	}

	#usedBuckets(): Set<number> {
		const {rates, servers} = this.#options.settings();
		const used = new Set<number>();
		for (const workspace of rates.keys()) {
			used.add(bucketOf(ShareKind.rate, workspace));
		}

		for (const server of servers?.keys() ?? []) {
			used.add(bucketOf(ShareKind.slots, server));
		}

		// A restarted control daemon may not know the list of servers yet while holders have slots of them.
		for (const bucket of servers === undefined ? this.#requestedBuckets : []) {
			used.add(bucket);
		}

		// An allocator keeps a bucket whose last workspace was removed, so that its slices are released.
		for (const bucket of this.#sessions.keys()) {
			used.add(bucket);
		}

		return used;
	}

	#startSession(bucket: number, receivedHandover?: ReceivedHandover): void {
		const {peers} = this.#options;
		const session: BucketSession = new BucketSession({
			...this.#options,
			bucket,
			receivedHandover,
			register: this.#register,
			domains: () => [...new Set(peers.members().filter(({state}) => state !== MemberState.listed).map(({record}) => record.failureDomain))],
			onEnd: (reason, end) => {
				if (this.#sessions.get(bucket) === session) {
					this.#stepDown(bucket, reason, end === SessionEndReason.outdated || this.#directory.isFirstChoice(bucket) ? reclaimDelayMs : claimBackoffMs);
				}
			},
		});
		this.#sessions.set(bucket, session);
		this.#directory.recordSelf(bucket, session.epoch);
		void session.run();
	}

	#stepDown(bucket: number, reason: string, waitMs = claimBackoffMs): void {
		const session = this.#sessions.get(bucket);
		if (session === undefined) {
			return;
		}

		const {timers, peers, logger} = this.#options;
		session.stop();
		this.#sessions.delete(bucket);
		this.#directory.recordSelf(bucket, session.epoch);
		this.#directory.resetQueries();
		const jitter = waitMs < claimBackoffMs ? 0 : hashFraction(`${peers.self.vm}/${bucket}/${this.#jitterSeed++}`);
		this.#claimBackoffUntilMs.set(bucket, timers.nowMs() + (waitMs * (1 + jitter)));
		if (waitMs < claimBackoffMs) {
			timers.after(waitMs, () => {
				this.#tickUnlessStopped();
			});
		}

		logDecision(logger, DecisionKind.share, reason, {bucket, epoch: session.epoch, event: 'step-down'});
	}

	#handleRequest(body: ShareRequestBody, sender: string): ShareGrantsBody {
		this.#options.pauses.check();
		if (body.fence !== undefined) {
			return this.#answerFence(body, sender);
		}

		if (body.handover !== undefined) {
			this.#receiveHandover({handover: body.handover, fromVm: sender, receivedAtMs: this.#options.timers.nowMs()});
		}

		if (body.demands.length === 0) {
			return {epoch: 0, grants: [], allocators: this.#directory.entries};
		}

		const grants: ShareGrant[] = [];
		const allocators = new Map<number, ShareAllocator>();
		let epoch = 0;
		for (const demand of body.demands) {
			const bucket = bucketOf(demand.kind, demand.resource);
			const entry = this.#directory.entryOf(bucket);
			if (entry !== undefined && entry.vm !== this.#options.peers.self.vm) {
				allocators.set(bucket, entry);
			}

			const session = this.#sessions.get(bucket);
			if (session === undefined) {
				this.#requestedBuckets.add(bucket);
			}

			const seenEpoch = demand.seenEpoch ?? 0;
			this.#register.record(bucket, seenEpoch);
			if (session !== undefined && seenEpoch > session.epoch) {
				this.#stepDown(bucket, `a holder has seen epoch ${seenEpoch}`, reclaimDelayMs);
				continue;
			}

			const grant = session?.grant(body.holder, demand);
			if (grant !== undefined) {
				grants.push(grant);
				epoch = Math.max(epoch, grant.epoch ?? 0);
			}
		}

		return {epoch, grants, ...(allocators.size > 0 ? {allocators: [...allocators.values()]} : {})};
	}

	#receiveHandover(receivedHandover: ReceivedHandover): void {
		const {pauses, settings, timers} = this.#options;
		const {bucket, epoch} = receivedHandover.handover;
		if (!this.#stopped && !this.#sessions.has(bucket) && epoch >= this.#register.epochOf(bucket)) {
			this.#register.record(bucket, epoch);
			// After a pause the accounts may be outdated, and another VM may have granted unnoticed.
			const isFresh = timers.nowMs() - pauses.lastPauseEndMs >= takeoverWaitMs && settings().servers !== undefined;
			this.#startSession(bucket, isFresh ? receivedHandover : undefined);
		}
	}

	/** Replies with an epoch below that of the fence if it is accepted, else with the highest epoch seen. */
	#answerFence({fence, holder}: ShareRequestBody, vm: string): ShareGrantsBody {
		const {bucket, epoch} = fence!;
		const {accepted, previousEpoch} = this.#register.accept(fence!, holder);
		if (accepted) {
			this.#directory.record({
				bucket, vm, incarnation: holder, epoch,
			});
		}

		if (accepted && holder !== incarnationId(this.#options.peers.incarnation)) {
			this.#stepDown(bucket, `superseded by ${holder} with epoch ${fence!.epoch}`);
		}

		return {epoch: accepted ? Math.min(previousEpoch, fence!.epoch - 1) : Math.max(previousEpoch, fence!.epoch), grants: []};
	}

	#receiveDemand(body: SliceDemandBody): {accepted: boolean} {
		this.#options.pauses.check();
		const session = this.#sessions.get(body.bucket);
		session?.receiveDemand(body);
		return {accepted: session !== undefined};
	}

	#handleReturn(body: ShareReturnBody): {accepted: boolean} {
		this.#options.pauses.check();
		for (const {kind, resource, tokens} of body.returned) {
			this.#sessions.get(bucketOf(kind, resource))?.returnShare(body.holder, kind, resource, tokens);
		}

		return {accepted: true};
	}
}
