import test from 'ava';
import {createSilentLogger, ManualTimerService} from '@fescuewick/core';
import {type FleetState} from '../state/fleet-state.js';
import {backendRecord} from '../testing/fixtures.js';
import {PlacementFailure, Placer} from './placer.js';
import {RegionalDemand} from './slot-demand-meter.js';

/** Placer of a VM in region and failure domain `small`, by default with 12 slots there and 48 in region `large`. */
function createPlacer(timers: ManualTimerService, failureDomains = ['small', 'large', 'large', 'large', 'large']): Placer {
	const handlers = new Map<string, () => void>();
	const backends = new Map(failureDomains.map((failureDomain, index) => [`s${index}`, {record: backendRecord(`s${index}`, {slots: 12, failureDomain}), receivedAtMs: 0}]));
	const state = {
		backends,
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
		region: 'small',
		regions: ['small', 'large'],
		regionOf: failureDomain => failureDomain.split('-')[0],
		bounds: () => ({shiftMost: 0.15, coldOvershoot: 1.5, coldSlack: 2}),
		vm: 'a1',
		failureDomain: 'small',
		limitSharersIn: () => ['a1', 'a2'],
		maxAnswerHeadBytes: 16_384,
		onSlotAvailable: () => undefined,
		typicalMs: () => 400,
		onLeaving: () => undefined,
		onLimit: () => undefined,
	});
	handlers.get('backends')!();
	return placer;
}

function demandOf(smallSlots: number): RegionalDemand {
	const demand = new RegionalDemand();
	demand.add('small', {free: {stock: smallSlots}, bound: {}});
	demand.add('large', {free: {stock: 5}, bound: {}});
	return demand;
}

const stepMs = 500;
const shiftedFraction = (placer: Placer) => placer.shiftedFractions().stock?.large ?? 0;

test('VMs of a region that start together do not adopt each other\'s first measurements', t => {
	// Guards against a small region whose VMs all restart: each adopted the fractions of the others, and callers were refused for ten seconds.
	const timers = new ManualTimerService();
	const vms = [createPlacer(timers), createPlacer(timers)];
	for (const smallSlots of [9, 14, 20, 24, 24, 24, 24, 24]) {
		timers.pause(stepMs);
		const reported = vms.map(vm => vm.shiftedFractions());
		for (const [index, vm] of vms.entries()) {
			const peer = reported[1 - index];
			vm.steer(demandOf(smallSlots), stepMs, Object.keys(peer).length > 0 ? peer : undefined);
		}
	}

	// The demand is 24 slots, and the region's own callers use 0.6 of 12.
	for (const vm of vms) {
		t.true(shiftedFraction(vm) > 0.65, `${shiftedFraction(vm)}`);
	}
});

test('a VM that starts alone adopts the fractions of the other VMs of its region', t => {
	// Guards against a traffic shift on each restart of a VM.
	const timers = new ManualTimerService();
	const vm = createPlacer(timers);
	for (let step = 0; step < 8; step++) {
		timers.pause(stepMs);
		vm.steer(demandOf(24), stepMs, {stock: {large: 0.2}});
	}

	t.true(shiftedFraction(vm) > 0.15 && shiftedFraction(vm) < 0.35, `${shiftedFraction(vm)}`);
});

test('an object that an overloaded home region does not admit runs in another home region', t => {
	// Guards against refusals while another home region has capacity, and against refusing at random instead of by object.
	const timers = new ManualTimerService();
	const vm = createPlacer(timers);
	for (const backend of vm.backends) {
		backend.inFlight = backend.region === 'small' ? 30 : 0;
	}

	for (let step = 0; step < 12; step++) {
		timers.pause(stepMs);
		vm.steer(demandOf(24), stepMs, undefined);
	}

	const place = (object: string, homeRegions: readonly string[]) => vm.place({
		service: 'stock', affinityKey: object, homeRegions, boundRegion: 'small', region: undefined, excluded: new Set(),
	});
	const refused = Array.from({length: 100}, (_, index) => `figure-${index}`).filter(object => place(object, ['small']) === PlacementFailure.notAdmitted);
	t.true(refused.length >= 60 && refused.length <= 90, `${refused.length} of 100`);
	for (const object of refused) {
		const placement = place(object, ['small', 'large']);
		t.is(typeof placement === 'string' ? placement : placement.backend.region, 'large');
	}
});

test('requests with large bodies stay in the failure domain of the VM while their first server there has a free slot', t => {
	// Guards against uploads and downloads of which half cross between the failure domains of a region.
	const vm = createPlacer(new ManualTimerService(), ['small', 'small', 'small-2', 'small-2', 'small-2']);
	const domainsOf = (prefersOwnDomain: boolean) => [...new Set(Array.from({length: 40}, (_, index) => {
		const placement = vm.place({
			service: 'stock', affinityKey: `figure-${index}`, homeRegions: undefined, boundRegion: undefined, region: undefined, prefersOwnDomain, excluded: new Set(),
		});
		return typeof placement === 'string' ? placement : placement.backend.record.failureDomain;
	}))].sort();
	t.deepEqual(domainsOf(true), ['small']);
	t.deepEqual(domainsOf(false), ['small', 'small-2']);
	for (const backend of vm.backends) {
		backend.inFlight = backend.record.failureDomain === 'small' ? 30 : 0;
	}

	t.deepEqual(domainsOf(true), ['small-2']);
});
