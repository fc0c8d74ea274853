import {createSilentLogger, type TimerService} from '@fescuewick/core';
import {type BackendRecord} from '../model/records.js';
import {type Backend} from '../placement/backend.js';
import {Placer, type PlacementRequest} from '../placement/placer.js';
import {type FleetState} from '../state/fleet-state.js';
import {backendRecord} from './fixtures.js';

export {PlacementFailure} from '../placement/placer.js';

/** Service of the servers of a placer fixture. */
export const fixtureService = 'stock';

export type PlacerFixtureOptions = {
	readonly timers: TimerService;
	/** Region of the VM. */
	readonly region: string;
	/** Region and slots of each server. */
	readonly servers: ReadonlyArray<Pick<BackendRecord, 'id' | 'slots'> & {readonly region: string}>;
	/** VMs that send to the servers of a region. */
	readonly limitSharersIn?: (region: string) => readonly string[];
};

/** A placer of one VM whose servers are known, without a store or network; regions have the names of failure domains. */
export function createPlacerFixture({timers, region, servers, limitSharersIn = () => ['vm-1', 'vm-2']}: PlacerFixtureOptions): Placer {
	const handlers = new Map<string, () => void>();
	const state = {
		backends: new Map(servers.map(({id, slots, region: failureDomain}) => [id, {record: backendRecord(id, {slots, failureDomain}), receivedAtMs: timers.nowMs()}])),
		events: {
			on(name: string, handler: () => void) {
				handlers.set(name, handler);
			},
		},
		isEvacuated: () => false,
	} as unknown as FleetState;
	const placer = new Placer({
		state,
		timers,
		logger: createSilentLogger(),
		region,
		regions: [...new Set(servers.map(server => server.region))],
		regionOf: failureDomain => failureDomain,
		bounds: () => ({shiftMost: 0.15, coldOvershoot: 1.5, coldSlack: 2}),
		vm: 'vm-1',
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
