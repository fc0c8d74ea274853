import {hash64} from '@fescuewick/core';
import {MemberState, type Member} from './peer-network.js';

/** Largest failure domain whose nodes are all linked to each other. */
export const maxFullMeshSize = 32;
/** Links of a node inside a larger failure domain. */
export const neighbourLinkCount = 4;
/** Links of a node to each other failure domain. */
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
		const linksToAll = isOwnDomain && domain.length < maxFullMeshSize;
		for (const vm of linksToAll ? domain.map(member => member.record.vm) : chooseMembers(self.vm, domain, isOwnDomain ? neighbourLinkCount : linksPerDomain)) {
			chosen.add(vm);
		}
	}

	return chosen;
}

/** Chooses dead members only if there are too few others, so that a failure domain is tried again after a partition. */
function chooseMembers(vm: string, domain: readonly Member[], count: number): string[] {
	const usable = domain.filter(member => member.state !== MemberState.dead).map(member => member.record.vm);
	const chosen = highestWeights(vm, usable, count);
	if (chosen.length < count) {
		const dead = domain.filter(member => member.state === MemberState.dead).map(member => member.record.vm);
		chosen.push(...highestWeights(vm, dead, count - chosen.length));
	}

	return chosen;
}

/** Rendezvous hashing with a weight for each pair of nodes, so that nodes often choose each other and share a link; a random graph of this kind with three or more choices is connected with high probability. */
function highestWeights(vm: string, members: readonly string[], count: number): string[] {
	return members
		.map(member => ({member, weight: hash64(vm < member ? `${vm}\u0000${member}` : `${member}\u0000${vm}`)}))
		.sort((a, b) => (a.weight === b.weight ? (a.member < b.member ? -1 : 1) : (a.weight > b.weight ? -1 : 1)))
		.slice(0, count)
		.map(({member}) => member);
}
