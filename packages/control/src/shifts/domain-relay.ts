import {rendezvousOrder, type Cancel} from '@fescuewick/core';
import {type PeerNetwork} from '@fescuewick/membership';
import {MessageType, type DomainLoad} from '@fescuewick/wire';
import {relayChildren, relayOrder, relayRoots} from '../config-sync/relay-tree.js';

const aggregatorKey = 'load-aggregator';
const requestTimeoutMs = 800;

/** Names of the live VMs of a failure domain in order of preference as its aggregator, or in the order of its relay tree. */
type VmOrder = readonly string[];

/** Determines the aggregator of each failure domain, and relays sums of load to the nodes of its own failure domain. */
export class DomainRelay {
	readonly #peers: PeerNetwork;
	/** Candidates for the aggregator by failure domain, the aggregator first; cached until the members change. */
	readonly #aggregatorOrders = new Map<string, VmOrder>();
	#relayOrder: VmOrder | undefined;
	readonly #cancel: Cancel;

	/** `sums` returns the sums of failure domains with their ages at the time of sending. */
	constructor(peers: PeerNetwork, private readonly sums: (domains: readonly string[]) => DomainLoad[]) {
		this.#peers = peers;
		this.#cancel = peers.onChange(() => {
			this.#aggregatorOrders.clear();
			this.#relayOrder = undefined;
		});
	}

	/** The VM that aggregates the load of a failure domain, in this node's view; `skipped` is the number of candidates to skip because they did not answer. */
	aggregator(failureDomain: string, skipped = 0): string | undefined {
		const order = this.#aggregatorOrder(failureDomain);
		return order[skipped % Math.max(1, order.length)];
	}

	/** Failure domains other than this node's. */
	otherDomains(): string[] {
		const {self} = this.#peers;
		return [...new Set(this.#peers.members().map(({record}) => record.failureDomain))].filter(domain => domain !== self.failureDomain);
	}

	/** Names of live VMs of this node's failure domain. */
	liveVms(): VmOrder {
		return this.#aggregatorOrder(this.#peers.self.failureDomain);
	}

	/** Sends the sums of failure domains to the children of this node in the relay tree; an aggregator also sends them to the roots. */
	async relayToChildren(domains: readonly string[], isAggregator: boolean): Promise<void> {
		const {vm} = this.#peers.self;
		const order = this.#currentRelayOrder();
		const targets = new Set(relayChildren(order, vm));
		for (const root of isAggregator ? relayRoots(order) : []) {
			targets.add(root);
		}

		targets.delete(vm);
		await Promise.all([...targets].map(async target => this.#sendToSubtree(target, domains)));
	}

	/** Sends the sums of failure domains to one node; resolves with true if it answered. */
	async send(vm: string, domains: readonly string[]): Promise<boolean> {
		try {
			await this.#peers.request(vm, MessageType.domainLoads, {sums: this.sums(domains)}, requestTimeoutMs);
			return true;
		} catch {
			return false;
		}
	}

	stop(): void {
		this.#cancel();
	}

	/** Sends the sums to a node, or to its children if it does not answer; this bridges the time until its failure is detected and the tree changes. */
	async #sendToSubtree(vm: string, domains: readonly string[]): Promise<void> {
		if (!await this.send(vm, domains)) {
			const children = relayChildren(this.#currentRelayOrder(), vm).filter(child => child !== this.#peers.self.vm);
			await Promise.all(children.map(async child => this.#sendToSubtree(child, domains)));
		}
	}

	#currentRelayOrder(): VmOrder {
		this.#relayOrder ??= relayOrder(this.liveVms());
		return this.#relayOrder;
	}

	#aggregatorOrder(failureDomain: string): VmOrder {
		const cached = this.#aggregatorOrders.get(failureDomain);
		if (cached !== undefined) {
			return cached;
		}

		const order = rendezvousOrder(aggregatorKey, this.#peers.liveVms(failureDomain));
		this.#aggregatorOrders.set(failureDomain, order);
		return order;
	}
}
