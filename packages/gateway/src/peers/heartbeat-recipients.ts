import {groupBy} from 'es-toolkit';
import {hashFraction} from '@fescuewick/core';
import {type VmRecord} from '../model/records.js';

/** VMs to which a heartbeat is sent or relayed; in a datagram, those to which its recipient relays it. */
export enum HeartbeatScope {
	/** None. */
	vm = 0,
	/** The other VMs of its failure domain. */
	failureDomain = 1,
	/** All VMs of its region. */
	region = 2,
	/** All VMs. */
	fleet = 3,
}

/** Regions and failure domains with more VMs than this get heartbeats from outside through one of their VMs as a relay; in smaller ones a relay saves little traffic. */
const maxDirectRegionVms = 8;
const maxDirectDomainVms = 3;
/** Every n-th heartbeat is full, n being the number of peers divided by this number, at least 1. A starting VM needs one full heartbeat within about a second. */
const fullHeartbeatPeerDivisor = 8;

/** A VM to send a heartbeat to, and the scope within which it relays the heartbeat. */
export type Recipient = {readonly record: VmRecord; readonly scope: HeartbeatScope};

/** A heartbeat to be sent or relayed. */
export type HeartbeatDelivery = {
	/** VM that sends or relays the heartbeat. */
	readonly own: VmRecord;
	readonly peers: readonly VmRecord[];
	/** Names of the peers that are alive. */
	readonly alive: ReadonlySet<string>;
	readonly sequence: number;
	readonly scope: HeartbeatScope;
};

/** Whether a region has so many VMs that heartbeats inside it are sent less often. */
export function isLargeRegion(region: string, peers: readonly VmRecord[]): boolean {
	return peers.filter(peer => peer.region === region).length > maxDirectRegionVms;
}

/** Whether a heartbeat repeats what peers know already; the larger the fleet, the fewer heartbeats do. */
export function isFullHeartbeat(sequence: number, peerCount: number): boolean {
	return sequence % Math.max(1, Math.floor(peerCount / fullHeartbeatPeerDivisor)) === 0;
}

/**
Returns the VMs to send a heartbeat to.

When each VM sent its heartbeats to every other VM, the traffic between regions grew with the square of the fleet: 60 VMs sent 2,400 heartbeats a second, 97 MB in 42 s. Therefore each heartbeat goes to one VM of a large region or failure domain, which relays it. Relays rotate with the sequence, so a relay that has stopped loses one heartbeat in many, without any failure detection. Each sender begins at another relay: VMs that started together have about the same sequence, and one relay for all of them cannot send so many datagrams at once.
*/
export function * recipients(delivery: HeartbeatDelivery): Generator<Recipient> {
	const {own, peers, scope} = delivery;
	const ownDomain = peers.filter(({failureDomain}) => failureDomain === own.failureDomain);
	yield * sendDirectly(ownDomain);
	if (scope < HeartbeatScope.region) {
		return;
	}

	const ownRegion = peers.filter(({region, failureDomain}) => region === own.region && failureDomain !== own.failureDomain);
	for (const members of Object.values(groupBy(ownRegion, ({failureDomain}) => failureDomain))) {
		yield * members.length > maxDirectDomainVms ? sendThroughRelay(members, HeartbeatScope.failureDomain, delivery) : sendDirectly(members);
	}

	if (scope < HeartbeatScope.fleet) {
		return;
	}

	const otherRegions = peers.filter(({region}) => region !== own.region);
	for (const members of Object.values(groupBy(otherRegions, ({region}) => region))) {
		yield * members.length > maxDirectRegionVms ? sendThroughRelay(members, HeartbeatScope.region, delivery) : sendDirectly(members);
	}
}

function * sendDirectly(members: readonly VmRecord[]): Generator<Recipient> {
	for (const record of members) {
		yield {record, scope: HeartbeatScope.vm};
	}
}

function * sendThroughRelay(members: readonly VmRecord[], scope: HeartbeatScope, {own, alive, sequence}: HeartbeatDelivery): Generator<Recipient> {
	const aliveMembers = members.filter(({vm}) => alive.has(vm));
	// Without a live member, all members are tried in turn, so that a region is found again after a partition.
	const candidates = aliveMembers.length > 0 ? aliveMembers : members;
	const offset = Math.floor(hashFraction(own.vm) * candidates.length);
	yield {record: candidates[(sequence + offset) % candidates.length], scope};
}
