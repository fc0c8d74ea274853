import {groupBy} from 'es-toolkit';
import {type VmRecord} from '../model/records.js';

/** How far a heartbeat is to go from the VM that gets it. */
export enum HeartbeatScope {
	/** To that VM only. */
	vm = 0,
	/** To the other VMs of its failure domain. */
	failureDomain = 1,
	/** To all VMs of its region. */
	region = 2,
	/** To all VMs. */
	fleet = 3,
}

/** A region or failure domain with more VMs than this is large and gets heartbeats from outside through one of its VMs. For less, the way through another VM saves little. */
const maxDirectRegionVms = 8;
const maxDirectDomainVms = 3;
/** Peers a VM must have for each heartbeat between two full ones. A starting VM needs one full heartbeat within about a second. */
const peersPerPartialHeartbeat = 8;

/** A VM to send a heartbeat to, and how far it sends it on. */
export type Recipient = {readonly record: VmRecord; readonly scope: HeartbeatScope};

/** A heartbeat to be sent or sent on. */
export type HeartbeatDelivery = {
	readonly own: VmRecord;
	readonly peers: readonly VmRecord[];
	/** Names of the peers that are alive. */
	readonly alive: ReadonlySet<string>;
	readonly sequence: number;
	readonly scope: HeartbeatScope;
};

/** Whether a region has so many VMs that heartbeats are sent less often. */
export function isLargeRegion(region: string, peers: readonly VmRecord[]): boolean {
	return peers.filter(peer => peer.region === region).length > maxDirectRegionVms;
}

/** Whether a heartbeat says what peers know already; one in some, more rarely in a larger fleet. */
export function isFullHeartbeat(sequence: number, peerCount: number): boolean {
	return sequence % Math.max(1, Math.floor(peerCount / peersPerPartialHeartbeat)) === 0;
}

/**
Whom to send a heartbeat to.

Sent to every VM, heartbeats between regions grew with the square of the fleet: 60 VMs sent 2,400 a second, 97 MB in 42 s. Each goes to one VM of a large region or failure domain instead, another one each time, so that a VM that has ended costs one heartbeat in many and nobody has to notice its end.
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

function * sendThroughRelay(members: readonly VmRecord[], scope: HeartbeatScope, {alive, sequence}: HeartbeatDelivery): Generator<Recipient> {
	const aliveMembers = members.filter(({vm}) => alive.has(vm));
	// A region that was cut off is found again by trying all its VMs in turn.
	const candidates = aliveMembers.length > 0 ? aliveMembers : members;
	yield {record: candidates[sequence % candidates.length], scope};
}
