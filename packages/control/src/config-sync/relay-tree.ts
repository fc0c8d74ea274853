import {rendezvousOrder} from '@fescuewick/core';

/** Number of nodes of a failure domain that watch the head in the store. */
export const readersPerDomain = 2;
/** Maximum number of nodes that each node relays a new head to. */
export const relayFanOut = 4;

const rendezvousKey = 'config-readers';

/** Position of a node in the relay tree of its failure domain, according to its own view of live nodes. */
export type RelayPosition = {readonly isReader: boolean; readonly children: readonly string[]};

/** The nodes of a failure domain in the order of its relay tree; the first ones are its roots, which read the store. */
export function relayOrder(liveVms: Iterable<string>): string[] {
	return rendezvousOrder(rendezvousKey, liveVms);
}

/** The roots of a relay tree. */
export function relayRoots(order: readonly string[]): readonly string[] {
	return order.slice(0, readersPerDomain);
}

/** The children of a node: for index i, the `relayFanOut` nodes from index `readersPerDomain + relayFanOut * i` on. */
export function relayChildren(order: readonly string[], vm: string): readonly string[] {
	const index = order.indexOf(vm);
	const first = readersPerDomain + (relayFanOut * index);
	return index === -1 ? [] : order.slice(first, first + relayFanOut);
}

/** The position of a node among the live nodes of its failure domain. */
export function relayPosition(vm: string, liveVms: Iterable<string>): RelayPosition {
	const order = relayOrder(liveVms);
	return {isReader: relayRoots(order).includes(vm), children: relayChildren(order, vm)};
}
