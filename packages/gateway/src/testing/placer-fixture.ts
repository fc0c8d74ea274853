import {createSilentLogger, type TimerService} from '@fescuewick/core';
import {type BackendRecord} from '../model/records.js';
import {type Backend} from '../placement/backend.js';
import {Placer, type PlacementRequest} from '../placement/placer.js';
import {type FleetState} from '../state/fleet-state.js';
import {backendRecord} from './fixtures.js';

export {PlacementFailure} from '../placement/placer.js';

/** Service of the servers of a placer fixture. */
export const fixtureService = 'stock';
/** Largest change of the fraction of requests that leave the region. */
export const fixtureShiftMost = 0.15;

export type PlacerFixtureOptions = {
	readonly timers: TimerService;
	readonly vm?: string;
	/** Region of the VM. */
	readonly region: string;
	/** Region and slots of each server. */
	readonly servers: ReadonlyArray<Pick<BackendRecord, 'id' | 'slots'> & {readonly region: string}>;
	/** Regions whose servers are evacuated. */
	readonly evacuated?: ReadonlySet<string>;
	/** VMs that send to the servers of a region. */
	readonly limitSharersIn?: (region: string) => readonly string[];
};

/** A placer of one VM whose servers are known, without a store or network; regions have the names of failure domains. */
export function createPlacerFixture({timers, vm = 'vm-1', region, servers, evacuated = new Set(), limitSharersIn = () => ['vm-1', 'vm-2']}: PlacerFixtureOptions): Placer {
	const handlers = new Map<string, () => void>();
	const state = {
		backends: new Map(servers.map(({id, slots, region: failureDomain}) => [id, {record: backendRecord(id, {slots, failureDomain}), receivedAtMs: timers.nowMs()}])),
		events: {
			on(name: string, handler: () => void) {
				handlers.set(name, handler);
			},
		},
		isEvacuated: (failureDomain: string) => evacuated.has(failureDomain),
	} as unknown as FleetState;
	const placer = new Placer({
		state,
		timers,
		logger: createSilentLogger(),
		region,
		regions: [...new Set(servers.map(server => server.region))],
		regionOf: failureDomain => failureDomain,
		bounds: () => ({shiftMost: fixtureShiftMost, coldOvershoot: 1.5, coldSlack: 2}),
		vm,
		failureDomain: region,
		limitSharersIn,
		maxAnswerHeadBytes: 16_384,
		onSlotAvailable: () => undefined,
		typicalMs: () => 400,
		onLeaving: () => undefined,
		onLimit: () => undefined,
	});
	handlers.get('backends')!();
	return placer;
}

/** A request for a server of the fixture; without an affinity key it goes to the least loaded one. */
export function fixtureRequest(affinityKey: string | undefined, excluded: ReadonlySet<string> = new Set()): PlacementRequest {
	return {
		service: fixtureService, affinityKey, homeRegions: undefined, boundRegion: undefined, region: undefined, excluded,
	};
}

/** Records at the VM that a server has answered a request which was sent to it. */
export function recordFixtureAnswer(backend: Backend, {load, latencyRatio, nowMs}: {readonly load: Parameters<Backend['recordLoad']>[0]; readonly latencyRatio: number; readonly nowMs: number}): void {
	backend.inFlight--;
	backend.recordLoad(load, nowMs);
	backend.recordOutcome(false, latencyRatio, nowMs);
}
