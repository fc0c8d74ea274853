import {type SnapshotBody} from '@fescuewick/wire';

/** Size of the fleet in a measurement. */
export type FleetSize = {readonly regions: number; readonly vms: number; readonly services: number};

const regionName = (index: number): string => `region-${String(index).padStart(2, '0')}`;

/** Creates a snapshot of a fleet with two failure domains per region, all at 70 % of their capacity, except in the first region, whose load equals its capacity. */
export function makeSnapshot({regions, vms, services}: FleetSize): SnapshotBody {
	const domains = Array.from({length: regions * 2}, (_, index) => ({failureDomain: `${regionName(Math.floor(index / 2))}-${(index % 2) + 1}`, region: regionName(Math.floor(index / 2))}));
	const members = Array.from({length: vms}, (_, index) => ({
		vm: `vm-${index}`, ...domains[index % domains.length], controlAddress: `10.0.0.${index}:7000`, entryUrl: `http://10.0.0.${index}:8080`, lookupUrl: `http://10.0.0.${index}:8081`, adminUrl: '', leaving: false,
	}));
	const serviceNames = Array.from({length: services}, (_, index) => `service-${index}`);
	return {
		revision: 1,
		configuration: {
			classes: [{
				name: 'fast', latenessTargetMs: 100, deadlineMs: 1000, safety: 'repeatable',
			}],
			services: serviceNames.map(name => ({name, routes: [{method: 'GET', pathPrefix: '/', class: 'fast'}]})),
		},
		members,
		backends: [],
		revokedKeyHashes: [],
		keysAgeMs: 0,
		loads: serviceNames.flatMap(service => domains.map((domain, index) => ({
			service, ...domain, capacityPerS: 1000, loadPerS: index < 2 ? 1000 : 700, cold: false, bytesPerRequest: 2000, ageMs: 100,
		}))),
		shiftGrants: serviceNames.flatMap(service => domains.slice(2).map(({failureDomain, region}) => ({
			service, fromRegion: regionName(0), toDomain: failureDomain, toRegion: region, grantedPerS: 100, expiresInMs: 10_000,
		}))),
		controlIncarnation: 'incarnation',
		vmStates: members.map(({vm}) => ({vm, ready: true, incarnation: 'incarnation'})),
	};
}
