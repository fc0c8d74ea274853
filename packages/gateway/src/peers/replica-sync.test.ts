import test from 'ava';
import {createSilentLogger, ManualTimerService} from '@fescuewick/core';
import {Collection, type StorePosition} from '@fescuewick/store';
import {configuration, vmRecord} from '../testing/fixtures.js';
import {FleetState} from '../state/fleet-state.js';
import {type Heartbeat} from './heartbeat.js';
import {ReplicaSync} from './replica-sync.js';
import {StoreAccess} from './store-readers.js';

/** A VM with the state of a store, and its heartbeats. */
function createVm(timers: ManualTimerService, vm: string, listing?: StorePosition) {
	const state = new FleetState({
		timers, logger: createSilentLogger(), mayHaveExpired: () => false, drainMs: () => 2500,
	});
	if (listing !== undefined) {
		state.storeEra.observeAnswer(listing);
		for (const replica of Object.values(state.replicas)) {
			replica.applyListing({...listing, records: [{name: `of-${vm}`, revision: listing.revision, value: undefined}]});
			replica.confirmRead(timers.nowMs(), listing.era);
		}
	}

	const heartbeat = (): Heartbeat => ({
		...state.advertised(), record: vmRecord(vm, 'north-1'), incarnation: 1, sequence: timers.nowMs(), isReady: true, storeAccess: StoreAccess.reading, buckets: {}, slotDemand: {free: {}, bound: {}}, shiftedFractions: {},
	});
	return {state, heartbeat};
}

/** A VM that fetches from a peer. */
function connect(own: StorePosition, peer: StorePosition) {
	const timers = new ManualTimerService();
	const ownVm = createVm(timers, 'a1', own);
	const peerVm = createVm(timers, 'a2', peer);
	const fetched: Collection[] = [];
	const sync = new ReplicaSync({
		state: ownVm.state,
		client: {
			async readCollection(_address, collection, {revision, era}) {
				fetched.push(collection);
				return peerVm.state.replicas[collection].changesSince(revision, era);
			},
			async readHeldConfiguration() {
				return peerVm.state.heldConfiguration!;
			},
		},
		timers,
		logger: createSilentLogger(),
		region: 'north',
		isReading: () => false,
		onAdopted: () => undefined,
	});
	return {
		timers, own: ownVm.state, peer: peerVm.state, peerHeartbeat: peerVm.heartbeat, sync, fetched,
	};
}

const names = (state: FleetState) => [...state.replicas[Collection.backends].records.keys()];

test('a VM takes its state from a peer in a higher era although the revisions there are lower', async t => {
	// Guards against a VM cut off from the store that takes its state from before the restore for the newer one.
	const {timers, own, peerHeartbeat, sync, fetched} = connect({revision: 90, era: 1}, {revision: 40, era: 2});
	sync.onHeartbeat(peerHeartbeat());
	t.is(own.storeEra.value, 2);
	await timers.advance(1000);
	t.is(fetched.length, 3);
	t.deepEqual(names(own), ['of-a2']);
	t.deepEqual(own.replicas[Collection.backends].position, {revision: 40, era: 2});
	sync.onHeartbeat(peerHeartbeat());
	await timers.advance(1000);
	t.is(fetched.length, 3, 'it lacks nothing more');
});

test('a peer that has not noticed the restore confirms nothing and is not fetched from', async t => {
	// Guards against a VM that goes back to the state from before the restore, and counts it as confirmed.
	const {timers, own, peerHeartbeat, sync, fetched} = connect({revision: 40, era: 2}, {revision: 90, era: 1});
	const {confirmedAtMs} = own.replicas[Collection.backends];
	await timers.advance(500);
	sync.onHeartbeat(peerHeartbeat());
	await timers.advance(1000);
	t.deepEqual(fetched, []);
	t.deepEqual(names(own), ['of-a1']);
	t.is(own.replicas[Collection.backends].confirmedAtMs, confirmedAtMs);
	t.is(own.replicas[Collection.backends].position.revision, 40);
});

test('a peer that knows of the restore and has not listed the store yet is not fetched from', async t => {
	// Guards against fetches from each peer that has only heard of the restore.
	const {timers, own, peer, peerHeartbeat, sync, fetched} = connect({revision: 90, era: 1}, {revision: 90, era: 1});
	peer.storeEra.observePeer({revision: 30, era: 2}, 'a3');
	sync.onHeartbeat(peerHeartbeat());
	await timers.advance(1000);
	t.is(own.storeEra.value, 2);
	t.deepEqual(fetched, []);
	t.deepEqual(names(own), ['of-a1'], 'the old content stays in use');
});

test('a peer of the same era confirms and is fetched from as before', async t => {
	const {timers, own, peer, peerHeartbeat, sync, fetched} = connect({revision: 40, era: 2}, {revision: 40, era: 2});
	await timers.advance(500);
	peer.replicas[Collection.backends].applyChanges({changes: [{record: {name: 'next', revision: 45, value: undefined}, isRemoved: false}], revision: 45, era: 2});
	sync.onHeartbeat(peerHeartbeat());
	await timers.advance(1000);
	t.deepEqual(fetched, [Collection.backends]);
	t.deepEqual(names(own), ['of-a1', 'next'], 'only the change is fetched');
});

test('a configuration that the store has lost is fetched from a peer that holds it', async t => {
	// Guards against VMs on which a withdrawn key works again because they know only the copy.
	const {timers, own, peer, peerHeartbeat, sync} = connect({revision: 40, era: 2}, {revision: 40, era: 2});
	sync.onHeartbeat(peerHeartbeat());
	await timers.advance(100);
	t.is(own.configuration, undefined);
	peer.adoptHeldConfiguration(configuration(8));
	sync.onHeartbeat(peerHeartbeat());
	await timers.advance(100);
	t.is(own.configuration?.configuration.version, 8);
});
