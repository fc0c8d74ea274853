import {incarnationId, rendezvousOrder, type TimerService} from '@fescuewick/core';
import {MemberState, type PeerNetwork} from '@fescuewick/membership';
import {MessageType, type ShareAllocator} from '@fescuewick/wire';
import {takeoverWaitMs} from '../limits.js';
import {allocatorKey} from '../settings.js';

const queryTimeoutMs = 400;
/** Answers older than this are not used to claim a bucket. */
const queryFreshMs = 100;

type Entry = ShareAllocator & {readonly recordedAtMs: number};

/**
The allocator of each bucket of the failure domain, as known to this VM.

A bucket stays with its allocator while that VM is alive, because each move suspends new grants for one grant lifetime. Entries only decide where requests are routed and which VM claims a bucket. If an entry is wrong, fences and epochs still prevent double grants.
*/
export class AllocatorDirectory {
	readonly #peers: PeerNetwork;
	readonly #timers: TimerService;
	readonly #entries = new Map<number, Entry>();
	/** Incarnations that were queried. */
	#queried = new Set<string>();
	#query: Promise<void> | undefined;
	#queriedAtMs = Number.NEGATIVE_INFINITY;

	constructor(peers: PeerNetwork, timers: TimerService) {
		this.#peers = peers;
		this.#timers = timers;
	}

	/** Entries of all buckets with a known allocator. */
	get entries(): ShareAllocator[] {
		return [...this.#entries.keys()].map(bucket => this.entryOf(bucket)!);
	}

	entryOf(bucket: number): ShareAllocator | undefined {
		const entry = this.#entries.get(bucket);
		return entry && {
			bucket, vm: entry.vm, incarnation: entry.incarnation, epoch: entry.epoch,
		};
	}

	/** Records an allocator unless one with the same or a higher epoch is known; rising epochs prevent referral cycles. */
	record(allocator: ShareAllocator): void {
		if (allocator.epoch > (this.#entries.get(allocator.bucket)?.epoch ?? -1)) {
			this.#entries.set(allocator.bucket, {...allocator, recordedAtMs: this.#timers.nowMs()});
		}
	}

	/** Records this VM as the allocator. */
	recordSelf(bucket: number, epoch: number): void {
		const {self, incarnation} = this.#peers;
		this.record({
			bucket, vm: self.vm, incarnation: incarnationId(incarnation), epoch,
		});
	}

	/** The VM that allocates a bucket, or that must claim it if there is none. */
	allocatorOf(bucket: number): string {
		const entry = this.#entries.get(bucket);
		if (entry !== undefined && this.#isUsable(entry)) {
			return entry.vm;
		}

		return this.#ranked(bucket)[0] ?? this.#peers.self.vm;
	}

	/** Whether this VM ranks first among the VMs that may claim the bucket. */
	isFirstChoice(bucket: number): boolean {
		return this.#ranked(bucket)[0] === this.#peers.self.vm;
	}

	/** The VM to hand a bucket over to; undefined if no other VM is alive. */
	successorOf(bucket: number): string | undefined {
		return this.#ranked(bucket).find(vm => vm !== this.#peers.self.vm);
	}

	/** Whether the last query of the other VMs ended within `queryFreshMs`. */
	get isQueryRecent(): boolean {
		return this.#timers.nowMs() - this.#queriedAtMs < queryFreshMs;
	}

	/** Makes the next `queryPeers` query every VM again; used when this VM may have missed a takeover. */
	resetQueries(): void {
		this.#queried = new Set();
	}

	/** Whether a query is running, or a VM of the failure domain was not queried yet. */
	get isQueryDue(): boolean {
		return this.#query !== undefined || this.#unqueried().length > 0;
	}

	/** Queries the VMs of the failure domain that were not queried yet; never rejects. */
	async queryPeers(): Promise<void> {
		if (this.#query === undefined && this.isQueryDue) {
			this.#query = this.#queryUnqueried();
		}

		await this.#query;
	}

	/** Live VMs in rendezvous order; those that are leaving come last. */
	#ranked(bucket: number): string[] {
		const live = rendezvousOrder(allocatorKey(bucket), this.#peers.liveVms(this.#peers.self.failureDomain));
		const isLeaving = (vm: string) => this.#peers.member(vm)?.record.leaving === true;
		return [...live.filter(vm => !isLeaving(vm)), ...live.filter(vm => isLeaving(vm))];
	}

	async #queryUnqueried(): Promise<void> {
		const unqueried = this.#unqueried();
		for (const {key} of unqueried) {
			this.#queried.add(key);
		}

		const body = {holder: incarnationId(this.#peers.incarnation), epoch: 0, demands: []};
		await Promise.allSettled(unqueried.map(async ({vm}) => {
			const {allocators} = await this.#peers.request(vm, MessageType.shareRequest, body, queryTimeoutMs);
			for (const allocator of allocators ?? []) {
				this.record(allocator);
			}
		}));
		this.#query = undefined;
		this.#queriedAtMs = this.#timers.nowMs();
	}

	#unqueried(): Array<{vm: string; key: string}> {
		const {self} = this.#peers;
		return this.#peers.members()
			.filter(({record, state}) => record.failureDomain === self.failureDomain && record.vm !== self.vm && state !== MemberState.dead)
			.map(({record, incarnation}) => ({vm: record.vm, key: incarnation === undefined ? record.vm : incarnationId(incarnation)}))
			.filter(({key}) => !this.#queried.has(key));
	}

	#isUsable({vm, incarnation, recordedAtMs}: Entry): boolean {
		const {self} = this.#peers;
		if (vm === self.vm) {
			return incarnation === incarnationId(this.#peers.incarnation);
		}

		const member = this.#peers.member(vm);
		if (member === undefined || member.state === MemberState.dead) {
			return false;
		}

		if (member.incarnation !== undefined && incarnationId(member.incarnation) !== incarnation) {
			return false;
		}

		// A VM that has just started has no heartbeats from peers yet, so a listed peer is trusted for a limited time; a peer that stays silent must not keep the bucket.
		return member.state !== MemberState.listed || this.#timers.nowMs() - recordedAtMs < takeoverWaitMs;
	}
}
