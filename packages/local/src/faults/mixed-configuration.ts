import {sha256Hex} from '@fescuewick/core';
import {documentSchema, type ConfigurationDocument} from '@fescuewick/config';
import {type Topology} from '../topology.js';
import {faultConfiguration} from './fixture.js';

/** Time for which a backend server works on a request; long enough for callers to disconnect before the response. */
export const mixedServiceMs = 40;

/** Time for which a backend server works on checks whose callers disconnect; only a cancellation ends them sooner. */
export const uncancelledWorkMs = 5000;

/** Servers with few slots, so that requests wait for them and a slot that is used twice is noticed. */
export const mixedTopology: Topology = {
	domains: [
		{name: 'north-a', region: 'north', vms: 2},
		{name: 'south-a', region: 'south', vms: 2},
	],
	services: [{
		name: 'booking', servers: 6, slots: 4, connections: 330, serviceMs: mixedServiceMs,
	}],
};

/** A workspace whose load is several times its rate; its burst is large enough that each VM gets a token soon after the start. */
export const smallWorkspace = {name: 'small', ratePerS: 10, burst: 60};

/** API key of a workspace. */
export const keyOf = (workspace: string): string => `key-of-${workspace}`;

/** The configuration of the fault tests plus the small workspace, a workspace whose key is withdrawn (`gone`) and one whose key is issued during the run (`fresh`). */
export function mixedConfiguration(): ConfigurationDocument {
	const base = faultConfiguration();
	const highRateWorkspaces = ['gone', 'fresh'].map(name => ({name, ratePerS: 2000, burst: 2000}));
	return documentSchema.parse({
		...base,
		workspaces: [...base.workspaces, smallWorkspace, ...highRateWorkspaces],
		keys: [...base.keys, ...['small', 'gone'].map(name => ({id: `${name}-1`, workspace: name, sha256: sha256Hex(keyOf(name))}))],
	});
}

/** Configuration entry of the key that is issued during a run. */
export const freshKey = {id: 'fresh-1', workspace: 'fresh', sha256: sha256Hex(keyOf('fresh'))};
