import {sha256Hex, type Incarnation} from '@fescuewick/core';
import {documentSchema, type ConfigurationDocument} from '@fescuewick/config';
import {type SnapshotBody, type VmRecord} from '@fescuewick/wire';

/** Creates a VM record whose names and addresses are as long as those of a real fleet. */
export function vmRecord(index: number, domains: number, controlAddress = `10.${index % 250}.${Math.floor(index / 250)}.7:7100`): VmRecord {
	const domain = index % domains;
	const host = controlAddress.split(':')[0];
	return {
		vm: `vm-${String(index).padStart(5, '0')}`,
		failureDomain: `region-${domain % 12}-${Math.floor(domain / 12)}`,
		region: `region-${domain % 12}`,
		controlAddress,
		entryUrl: `http://${host}:8080`,
		lookupUrl: `http://${host}:8081`,
		adminUrl: `http://${host}:7101`,
		leaving: false,
	};
}

export function vmRecords(count: number, domains: number): VmRecord[] {
	return Array.from({length: count}, (_, index) => vmRecord(index, domains));
}

export function incarnationOf(vm: string, startedAtMs = 1_790_000_000_000): Incarnation {
	return {vm, startedAtMs, nonce: '9f3a6c1d'};
}

/** Creates a configuration document with the given number of workspaces and one key for each. */
export function documentOf(workspaces: number, services = 2): ConfigurationDocument {
	const names = Array.from({length: workspaces}, (_, index) => `workspace-${String(index).padStart(4, '0')}`);
	return documentSchema.parse({
		classes: [{
			name: 'check', latenessTargetMs: 100, deadlineMs: 1000, safety: 'repeatable',
		}],
		services: Array.from({length: services}, (_, index) => ({
			name: `service-${index}`, routes: [{
				method: 'GET', pathPrefix: `/service-${index}`, class: 'check', access: 'keyed',
			}],
		})),
		workspaces: names.map(name => ({name, ratePerS: 10, burst: 20})),
		keys: names.map(name => ({id: `key-${name}`, workspace: name, sha256: sha256Hex(name)})),
	});
}

/** Creates a snapshot of a fleet with `workspaces` workspaces and one key for each. */
export function snapshotOf(members: readonly VmRecord[], workspaces: number): SnapshotBody {
	return {
		revision: 1,
		configuration: documentOf(workspaces),
		members,
		backends: [],
		revokedKeyHashes: [],
		keysAgeMs: 100,
		loads: [],
		shiftGrants: [],
		controlIncarnation: `${members[0]?.vm ?? 'vm'}.mg1x7a2k.9f3a6c1d`,
		vmStates: members.map(({vm}) => ({vm, ready: true, incarnation: `${vm}.mg1x7a2k.9f3a6c1d`})),
	};
}
