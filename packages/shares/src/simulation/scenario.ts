import {type ManualTimerService} from '@fescuewick/core';
import {type ShareService} from '../share-service.js';
import {StaticShareService} from '../static-share-service.js';
import {Fleet} from './fleet.js';

/** Where the demand of a workspace arrives during a phase. */
export enum DemandShape {
	/** Equal demand at every VM. */
	even = 'even',
	/** All demand of a workspace at one VM, which differs between workspaces. */
	skewed = 'skewed',
	/** Like `skewed`, but moving to a VM in another failure domain every 20 s. */
	moving = 'moving',
}

/** Phase of a scenario, with constant demand. */
export type Phase = {
	readonly name: string;
	readonly shape: DemandShape;
	/** Demand as a multiple of each workspace's rate. */
	readonly load: number;
	readonly durationS: number;
	readonly storeDown: boolean;
	/** VM that is killed when the phase starts. */
	readonly kill?: string;
	/** VM that is replaced by a new incarnation when the phase starts. */
	readonly replace?: string;
	/** VM that stops as planned when the phase starts. */
	readonly stop?: string;
};

/** Measurements of a phase. */
export type PhaseResult = {
	readonly name: string;
	/** Tokens taken as a fraction of rate × time, over all workspaces. */
	readonly usedFraction: number;
	/** The same for the workspace with the lowest fraction. */
	readonly worstFraction: number;
	/** Fraction of the requests that were refused. */
	readonly refusedFraction: number;
	/** Store calls per second and failure domain; a watch would count as one. */
	readonly storeCallsPerS: number;
};

const stepMs = 50;
const moveIntervalMs = 20_000;

/** Typical rates of eight workspaces: two large, two medium and four small. */
export function typicalRates(): Map<string, {ratePerS: number; burst: number}> {
	return new Map([400, 400, 100, 100, 20, 20, 20, 20].map((ratePerS, index) => [`workspace-${index}`, {ratePerS, burst: ratePerS}]));
}

/** Creates a fleet of six failure domains; `isStatic` selects the static baseline with the correct VM count. */
export function createFleet(timers: ManualTimerService, vmCount: number, isStatic: boolean): Fleet {
	const domains: Record<string, number> = {};
	for (let index = 0; index < vmCount; index++) {
		const domain = `domain-${index % 6}`;
		domains[domain] = (domains[domain] ?? 0) + 1;
	}

	const createService = (fleet: Fleet): ShareService => new StaticShareService(() => ({
		fleetVms: vmCount, domainVms: 2, rateOf: workspace => fleet.settings.rates.get(workspace), slotsOf: server => fleet.settings.servers.get(server),
	}));
	return new Fleet({
		timers, domains, settings: {revision: 1, rates: typicalRates(), servers: new Map()}, ...(isStatic ? {createService} : {}),
	});
}

/** Runs a phase and returns its measurements. */
export async function runPhase(fleet: Fleet, timers: ManualTimerService, phase: Phase): Promise<PhaseResult> {
	fleet.store.faults.down = phase.storeDown;
	if (phase.kill !== undefined) {
		fleet.kill(phase.kill);
	}

	if (phase.replace !== undefined) {
		fleet.add(phase.replace, phase.replace.replace(/-\d+$/, ''));
	}

	if (phase.stop !== undefined) {
		await stopAsPlanned(fleet, timers, phase.stop);
	}

	const startMs = timers.nowMs();
	const calls = () => fleet.store.calls.reads + fleet.store.calls.writes;
	const callsBefore = calls();
	const workspaces = [...fleet.settings.rates];
	const dueRequests = new Map<string, number>();
	let requested = 0;
	let refused = 0;
	for (let elapsedMs = 0; elapsedMs < phase.durationS * 1000; elapsedMs += stepMs) {
		await timers.advance(stepMs);
		for (const [index, [workspace, {ratePerS}]] of workspaces.entries()) {
			for (const {vm, fraction} of receivingVms(fleet, phase.shape, index, timers.nowMs())) {
				const key = `${workspace}/${vm}`;
				let due = (dueRequests.get(key) ?? 0) + (ratePerS * phase.load * fraction * stepMs / 1000);
				for (; due >= 1; due--) {
					requested++;
					refused += fleet.take(vm, workspace) ? 0 : 1;
				}

				dueRequests.set(key, due);
			}
		}
	}

	const fractions = workspaces.map(([workspace, {ratePerS}]) =>
		fleet.checks.get(workspace)!.takenIn(startMs, timers.nowMs() + 1) / (ratePerS * phase.durationS));
	let used = 0;
	let total = 0;
	for (const [index, [, {ratePerS}]] of workspaces.entries()) {
		used += fractions[index] * ratePerS;
		total += ratePerS;
	}

	return {
		name: phase.name,
		usedFraction: used / total,
		worstFraction: Math.min(...fractions),
		refusedFraction: refused / Math.max(1, requested),
		storeCallsPerS: (calls() - callsBefore) / phase.durationS / 6,
	};
}

/** Stops the entry daemon of a VM, then its control daemon. */
async function stopAsPlanned(fleet: Fleet, timers: ManualTimerService, vm: string): Promise<void> {
	const node = fleet.vms.get(vm)!;
	void node.holder.stop();
	await timers.advance(stepMs);
	void node.leased?.stop();
	await timers.advance(stepMs);
	fleet.kill(vm);
}

function receivingVms(fleet: Fleet, shape: DemandShape, index: number, nowMs: number): Array<{vm: string; fraction: number}> {
	const vms = [...fleet.vms.keys()];
	if (shape === DemandShape.even) {
		return vms.map(vm => ({vm, fraction: 1 / vms.length}));
	}

	const names = [...new Set([...fleet.vms.values()].map(({domain}) => domain))];
	const domain = names[(index + (shape === DemandShape.moving ? Math.floor(nowMs / moveIntervalMs) : 0)) % names.length];
	return [{vm: `${domain}-0`, fraction: 1}];
}
