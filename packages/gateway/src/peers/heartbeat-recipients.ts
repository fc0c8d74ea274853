import {type VmRecord} from '../model/records.js';

/** A region with more VMs than this is large: heartbeats inside it come at the interval of other regions, and those from other regions through a relay. Below, a relay saves little. */
const smallRegionVms = 8;
/** Peers a VM must have for each heartbeat between two full ones. A starting VM needs one full heartbeat within about a second. */
const peersPerPartialHeartbeat = 8;

/** Who gets a heartbeat. */
export type Recipients = {
	/** Own region, and small other regions. */
	readonly direct: readonly VmRecord[];
	/** One VM of each other large region, which sends it on to the others there. */
	readonly relays: readonly VmRecord[];
};

/** Whether a region has so many VMs that heartbeats are sent less often. */
export function isLargeRegion(region: string, peers: Iterable<VmRecord>): boolean {
	return [...peers].filter(peer => peer.region === region).length > smallRegionVms;
}

/** Whether a heartbeat says what peers know already; one in some, more rarely in a larger fleet. */
export function isFullHeartbeat(sequence: number, peerCount: number): boolean {
	return sequence % Math.max(1, Math.floor(peerCount / peersPerPartialHeartbeat)) === 0;
}

/**
Whom to send a heartbeat to.

Sent to every VM, heartbeats between regions grew with the square of the fleet: 60 VMs sent 2,400 a second, 97 MB in 42 s. Each goes to one VM of a large region instead, another one each time, so that a VM that has ended costs one heartbeat in many and nobody has to notice its end.
*/
export function recipients(ownRegion: string, peers: readonly VmRecord[], alive: ReadonlySet<string>, sequence: number): Recipients {
	const direct: VmRecord[] = [];
	const relays: VmRecord[] = [];
	const regions = new Map<string, VmRecord[]>();
	for (const peer of peers) {
		regions.set(peer.region, [...(regions.get(peer.region) ?? []), peer]);
	}

	for (const [region, members] of regions) {
		if (region === ownRegion || members.length <= smallRegionVms) {
			direct.push(...members);
			continue;
		}

		const heard = members.filter(({vm}) => alive.has(vm));
		// A region that was cut off is found again by trying all its VMs in turn.
		const candidates = heard.length > 0 ? heard : members;
		relays.push(candidates[sequence % candidates.length]);
	}

	return {direct, relays};
}
