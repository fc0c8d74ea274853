import {hash64} from '@fescuewick/core';
import {MemberState, type Member} from './peer-network.js';

/** Maximum number of nodes of a failure domain in which each node is linked to all others. */
export const maxFullMeshSize = 32;
/** Number of links of a node inside a larger failure domain. */
export const neighbourLinkCount = 4;
/** Number of links of a node to each other failure domain. */
export const linksPerDomain = 2;

/** Names of the members to which a node keeps links open. */
export function persistentPeers(self: {readonly vm: string; readonly failureDomain: string}, members: readonly Member[]): Set<string> {
	const domains = new Map<string, Member[]>();
	for (const member of members) {
		if (member.record.vm === self.vm) {
			continue;
		}

		const domain = domains.get(member.record.failureDomain) ?? [];
		domain.push(member);
		domains.set(member.record.failureDomain, domain);
	}

	const chosen = new Set<string>();
	for (const [failureDomain, domain] of domains) {
		const isOwnDomain = failureDomain === self.failureDomain;
		// The node itself counts towards the size of its failure domain.
		const isFullMesh = isOwnDomain && domain.length < maxFullMeshSize;
		for (const vm of isFullMesh ? domain.map(member => member.record.vm) : chooseMembers(self.vm, domain, isOwnDomain ? neighbourLinkCount : linksPerDomain)) {
			chosen.add(vm);
		}
	}

	return chosen;
}

/** Chooses members that are not dead, and dead ones if there are too few, so that a node reconnects to a failure domain after a partition in which all its members were considered dead. */
function chooseMembers(vm: string, domain: readonly Member[], count: number): string[] {
	const notDead = domain.filter(member => member.state !== MemberState.dead).map(member => member.record.vm);
	const chosen = membersByWeight(vm, notDead, count);
	if (chosen.length < count) {
		const dead = domain.filter(member => member.state === MemberState.dead).map(member => member.record.vm);
		chosen.push(...membersByWeight(vm, dead, count - chosen.length));
	}

	return chosen;
}

/** The `count` members of highest weight (rendezvous hashing). The weight belongs to the pair of nodes, so two nodes often choose each other and share a link; a random graph of this kind with three or more choices is connected with high probability. */
function membersByWeight(vm: string, members: readonly string[], count: number): string[] {
	return members
		.map(member => ({member, weight: hash64(vm < member ? `${vm}\u0000${member}` : `${member}\u0000${vm}`)}))
		.sort((a, b) => (a.weight === b.weight ? (a.member < b.member ? -1 : 1) : (a.weight > b.weight ? -1 : 1)))
		.slice(0, count)
		.map(({member}) => member);
}
