import {
	createSilentLogger, incarnationId, ManualTimerService, settle, type Incarnation,
} from '@fescuewick/core';
import {FakePeerHub} from '@fescuewick/membership';
import {MemoryObjectStore} from '@fescuewick/store';
import {
	ClaimState, OrderResult, type ClaimReplyBody, type StoredAnswer, type VmRecord,
} from '@fescuewick/wire';
import {type ClaimService} from '../claim-service.js';
import {defaultFleetClaimOptions, FleetClaimService, type FleetClaimDependencies} from '../fleet/fleet-claim-service.js';
import {ownerCandidates} from '../fleet/partition-owners.js';
import {defaultJournalOptions, type JournalOptions} from '../journal/journal-options.js';
import {orderId} from '../order-key/order-id.js';
import {makeOrderKeyPrefix} from '../order-key/order-key.js';
import {
	Gate, GatedPeerNetwork, GatedStore, GatedTimerService,
} from './gate.js';

/** Builds the claim service of a node. */
export type ServiceFactory = (dependencies: FleetClaimDependencies) => ClaimService;

/** A node of a `ClaimFleet`. */
export type FleetNode = {
	readonly vm: string;
	readonly gate: Gate;
	readonly peers: GatedPeerNetwork;
	readonly store: GatedStore;
	readonly service: ClaimService;
};

/** A claim call made through a node; `reply` is undefined until it arrives, `grants` counts the grants that reached the claimant. */
export type ClaimCall = {reply: ClaimReplyBody | undefined; grants: number};

/** Workspace of all orders in a `ClaimFleet`. */
export const workspace = 'notices';

/** Test fixture: claim services of several VMs with one store, in one process under manual time. */
export class ClaimFleet {
	readonly timers = new ManualTimerService();
	readonly store = new MemoryObjectStore(this.timers, 300);
	readonly hub = new FakePeerHub(this.timers);
	readonly nodes = new Map<string, FleetNode>();
	journal: JournalOptions;
	/** Incarnations of connected entry daemons by VM. A VM that has no list when it starts does not track entry daemons. */
	readonly entryIncarnations = new Map<string, readonly string[]>();
	#incarnationCount = 0;

	constructor(readonly placement: ReadonlyArray<readonly [vm: string, failureDomain: string]>, journal: Partial<JournalOptions> = {}, readonly createService?: ServiceFactory) {
		this.journal = {...defaultJournalOptions, ...journal};
		for (const [vm] of placement) {
			this.start(vm);
		}
	}

	/** Lets pending calls settle, then advances time. */
	async advance(durationMs: number): Promise<void> {
		await settle();
		await this.timers.advance(durationMs);
	}

	/** Starts a VM's control daemon, or restarts it as a new incarnation. */
	start(vm: string): FleetNode {
		this.nodes.get(vm)?.gate.close();
		const gate = new Gate();
		const incarnation: Incarnation = {vm, startedAtMs: this.timers.wallClockMs(), nonce: `0${this.#incarnationCount++}`};
		const peers = new GatedPeerNetwork(this.hub.add(this.#record(vm), incarnation), this.timers, gate);
		const store = new GatedStore(this.store, this.timers, gate);
		const dependencies = {
			peers, store, timers: new GatedTimerService(this.timers, gate), logger: createSilentLogger(),
			...(this.entryIncarnations.has(vm) ? {entryIncarnations: () => this.entryIncarnations.get(vm)!} : {}),
		};
		const service = this.createService?.(dependencies) ?? new FleetClaimService(dependencies, {
			journal: this.journal, tickets: {...defaultFleetClaimOptions.tickets, repeatWindowMs: this.journal.repeatWindowMs},
		});
		if (service instanceof FleetClaimService) {
			service.start();
		}

		const node = {
			vm, gate, peers, store, service,
		};
		this.nodes.set(vm, node);
		return node;
	}

	/** Kills a VM: none of its pending work continues. */
	kill(vm: string): void {
		this.node(vm).gate.close();
		this.hub.kill(vm);
	}

	node(vm: string): FleetNode {
		return this.nodes.get(vm)!;
	}

	/** Claims an order through a node without waiting for the reply. */
	startClaim(vm: string, orderKey: string, claimant: string, contentHash = 1): ClaimCall {
		const call: ClaimCall = {reply: undefined, grants: 0};
		const node = this.node(vm);
		void (async () => {
			const reply = await node.service.claim({
				workspace, orderKey, claimant, contentHash, repeatWindowMs: this.journal.repeatWindowMs,
			});
			await node.gate.waitUntilOpen();
			call.reply = reply;
			call.grants += reply.state === ClaimState.granted ? 1 : 0;
		})();

		return call;
	}

	/** Claims an order and advances time until the reply arrives, for at most `limitMs`; undefined if there was none. */
	async claim(vm: string, orderKey: string, claimant: string, limitMs = 4000): Promise<ClaimState | undefined> {
		const reply = await this.claimReply(vm, orderKey, claimant, limitMs);
		return reply?.state;
	}

	async claimReply(vm: string, orderKey: string, claimant: string, limitMs = 4000): Promise<ClaimReplyBody | undefined> {
		const call = this.startClaim(vm, orderKey, claimant);
		for (let passedMs = 0; passedMs < limitMs && call.reply === undefined; passedMs += 50) {
			await this.advance(50);
		}

		return call.reply;
	}

	/** Reports the end of an order and advances time until it is written. */
	async complete(vm: string, orderKey: string, claimant: string, answer?: StoredAnswer): Promise<void> {
		void this.node(vm).service.complete({
			workspace, orderKey, claimant, result: OrderResult.done, answer,
		});
		await this.advance(1000);
	}

	/** Reports that an order ended without a complete answer and advances time until it is written. */
	async completeUnknown(vm: string, orderKey: string, claimant: string): Promise<void> {
		void this.node(vm).service.complete({
			workspace, orderKey, claimant, result: OrderResult.unknown, answer: undefined,
		});
		await this.advance(1000);
	}

	async release(vm: string, orderKey: string, claimant: string): Promise<void> {
		void this.node(vm).service.release({workspace, orderKey, claimant});
		await this.advance(1000);
	}

	/** The VM that owns an order's partition in the membership view of a node. */
	ownerOf(orderKey: string, viewer = [...this.nodes.keys()][0]): string {
		const partition = orderId(workspace, orderKey).words[3] % this.journal.partitions;
		return ownerCandidates(this.node(viewer).peers, partition, undefined)[0];
	}

	/** A caller key whose partition is owned by a VM. */
	keyOwnedBy(vm: string): string {
		for (let index = 0; ; index++) {
			const key = `order-${index}`;
			if (this.ownerOf(key, vm) === vm) {
				return key;
			}
		}
	}

	/** A ticket issued by a VM's current incarnation. */
	ticket(vm: string, suffix: string): string {
		return makeOrderKeyPrefix(vm, incarnationId(this.node(vm).peers.incarnation), this.timers.wallClockMs()) + suffix;
	}

	#record(vm: string): VmRecord {
		const failureDomain = this.placement.find(([name]) => name === vm)![1];
		return {
			vm, failureDomain, region: failureDomain, controlAddress: '', entryUrl: '', lookupUrl: '', adminUrl: '', leaving: false,
		};
	}
}
