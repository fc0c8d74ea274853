import {Buffer} from 'node:buffer';
import test from 'ava';
import {encode} from 'cbor-x';
import {Collection} from '@fescuewick/store';
import {vmRecord} from '../testing/fixtures.js';
import {StoreAccess} from './store-readers.js';
import {decodeHeartbeat, encodeHeartbeat, type Heartbeat} from './heartbeat.js';

const heartbeat: Heartbeat = {
	record: vmRecord('a1', 'north-1'),
	incarnation: 7,
	sequence: 12,
	isReady: true,
	storeAccess: StoreAccess.reading,
	storeEra: 3,
	revisions: {
		[Collection.configurations]: {valid: 9, changed: 4}, [Collection.backends]: {valid: 9, changed: 9}, [Collection.evacuations]: {valid: -1, changed: -1},
	},
	storeReadings: {[Collection.configurations]: {changedBy: 9, ageMs: 340}, [Collection.backends]: {changedBy: 9, ageMs: 0}},
	buckets: {acme: {passed: 812, askedPerS: 12.5, tokens: 30}, other: {passed: 0, askedPerS: 1, tokens: undefined}},
	slotDemand: {free: {stock: 3.5}, bound: {south: {stock: 0.5, list: 2}, west: {list: 1}}},
	shiftedFractions: {stock: {south: 0.25, west: 0.1}, list: {south: 0.05}},
};

test('a decoded heartbeat equals the encoded one', t => {
	t.deepEqual(decodeHeartbeat(encodeHeartbeat(heartbeat)), heartbeat);
});

test('a configuration that the store has lost is named in heartbeats, and costs no byte otherwise', t => {
	const held = {...heartbeat, heldVersion: 12};
	t.deepEqual(decodeHeartbeat(encodeHeartbeat(held)), held);
	t.is(encodeHeartbeat({...heartbeat, storeEra: 23}).length, encodeHeartbeat({...heartbeat, storeEra: 0}).length);
	t.is(encodeHeartbeat(held).length, encodeHeartbeat(heartbeat).length + 2);
});

test('a datagram of another format is not decoded as a heartbeat', t => {
	// Guards against a foreign datagram that ends the process with an exception.
	for (const datagram of [Buffer.alloc(0), Buffer.from('hello'), encode([3, 2]), encode([3, 1, 1, true, 0, [], [], [], [], [], []]), encode([4, 1, 1, true, 0, [], [], [], [], [], [], []]), encode([5, 'x', 1, true, 0, [], [], [], [], [], [], [], 1])]) {
		t.is(decodeHeartbeat(datagram), undefined);
	}
});
