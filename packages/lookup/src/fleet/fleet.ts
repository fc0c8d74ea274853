import {DrainKind, type ConfigurationDocument} from '@fescuewick/config';
import {rendezvousOrder} from '@fescuewick/core';
import {type SnapshotBody} from '@fescuewick/wire';

/** Availability of an entry VM for look-up answers, most preferred first. */
export enum Availability {
	serving = 'serving',
	/** Drained by the configuration, but still serving; used only if no other VM of its region serves. */
	drained = 'drained',
	/** About to stop; used only if no other VM serves in any region. */
	leaving = 'leaving',
}

/** A ready entry VM. */
export type FleetVm = {
	readonly vm: string;
	readonly failureDomain: string;
	readonly region: string;
	readonly url: string;
	readonly availability: Availability;
	/** Incarnation of its control daemon; undefined if unknown to this VM. */
	readonly incarnation: string | undefined;
};

/** The entry VMs of a region. */
export type FleetRegion = {
	readonly name: string;
	/** All failure domains of the region, whatever their state. */
	readonly domains: readonly string[];
	/** VMs that look-up answers may contain: the serving ones, or the drained ones if none serves; empty if all VMs of the region are lost or leaving. */
	readonly eligibleVms: readonly FleetVm[];
	/** Whether the region has a serving VM that is not drained. */
	readonly isServing: boolean;
	/** Whether drained VMs are the only eligible ones. */
	readonly isDrained: boolean;
};

/** The entry VMs according to the latest snapshot. */
export type Fleet = {
	readonly regions: ReadonlyMap<string, FleetRegion>;
	/** VMs to use while no region has an eligible one; empty otherwise. */
	readonly lastResortVms: readonly FleetVm[];
	/** Equal for fleets that lead to the same answers. */
	readonly signature: string;
};

/** Groups the ready members of a snapshot by region and derives their availability from drains and leaving flags; without a reported state a member counts as ready. */
export function buildFleet(snapshot: SnapshotBody, document: Pick<ConfigurationDocument, 'drains'>): Fleet {
	const states = new Map((snapshot.vmStates ?? []).map(state => [state.vm, state]));
	const drains = new Set(document.drains.map(drain => `${drain.kind}/${drain.name}`));
	const vms = snapshot.members
		.filter(member => states.get(member.vm)?.ready ?? true)
		.map((member): FleetVm => {
			const isDrained = drains.has(`${DrainKind.vm}/${member.vm}`) || drains.has(`${DrainKind.failureDomain}/${member.failureDomain}`);
			return {
				vm: member.vm,
				failureDomain: member.failureDomain,
				region: member.region,
				url: member.entryUrl,
				availability: member.leaving ? Availability.leaving : (isDrained ? Availability.drained : Availability.serving),
				incarnation: states.get(member.vm)?.incarnation,
			};
		})
		.sort((a, b) => (a.vm < b.vm ? -1 : 1));
	const names = [...new Set([...snapshot.members.map(member => member.region), ...snapshot.loads.map(load => load.region)])].sort();
	const regions = new Map(names.map(name => [name, buildRegion(name, domainsOf(snapshot, name), vms.filter(vm => vm.region === name))]));
	const hasEligibleVms = [...regions.values()].some(region => region.eligibleVms.length > 0);
	return {regions, lastResortVms: hasEligibleVms ? [] : vms, signature: JSON.stringify([[...regions.values()].map(region => [region.name, region.domains]), vms])};
}

/** Orders VMs for a bucket of client blocks by rendezvous hash, alternating between failure domains. */
export function orderVms(vms: readonly FleetVm[], bucket: number): FleetVm[] {
	const byName = new Map(vms.map(vm => [vm.vm, vm]));
	const ranked = rendezvousOrder(`bucket-${bucket}`, byName.keys()).map(name => byName.get(name)!);
	const queuesByDomain = new Map<string, FleetVm[]>();
	for (const vm of ranked) {
		queuesByDomain.set(vm.failureDomain, [...(queuesByDomain.get(vm.failureDomain) ?? []), vm]);
	}

	const ordered: FleetVm[] = [];
	while (ordered.length < ranked.length) {
		for (const queue of queuesByDomain.values()) {
			const next = queue.shift();
			if (next !== undefined) {
				ordered.push(next);
			}
		}
	}

	return ordered;
}

/** All regions other than `home`, nearest first; regions that `nearest` does not list follow by name. */
export function regionOrder(home: string, names: Iterable<string>, nearest: Readonly<Record<string, readonly string[]>>): string[] {
	const listed = nearest[home] ?? [];
	const rank = (name: string): number => (listed.includes(name) ? listed.indexOf(name) : listed.length);
	return [...names].filter(name => name !== home).sort((a, b) => rank(a) - rank(b) || (a < b ? -1 : 1));
}

function domainsOf(snapshot: SnapshotBody, region: string): string[] {
	return [...new Set([...snapshot.members, ...snapshot.loads].filter(item => item.region === region).map(item => item.failureDomain))].sort();
}

function buildRegion(name: string, domains: readonly string[], vms: readonly FleetVm[]): FleetRegion {
	const serving = vms.filter(vm => vm.availability === Availability.serving);
	const drained = vms.filter(vm => vm.availability === Availability.drained);
	return {
		name, domains, eligibleVms: serving.length > 0 ? serving : drained, isServing: serving.length > 0, isDrained: serving.length === 0 && drained.length > 0,
	};
}
