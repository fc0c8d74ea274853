import {Buffer} from 'node:buffer';
import {createSocket} from 'node:dgram';
import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {encode} from 'cbor-x';
import fc from 'fast-check';
import {createSilentLogger, ManualTimerService} from '@fescuewick/core';
import {vmRecord} from '../testing/fixtures.js';
import {startGateway} from '../testing/start-gateway.js';
import {decodeHeartbeat} from './heartbeat.js';
import {PeerTable} from './peer-table.js';

/** Records that other versions, other programs or faulty VMs may send. */
const recordArbitrary = fc.oneof(
	fc.jsonValue(),
	fc.record(Object.fromEntries(Object.keys(vmRecord('a2', 'north-1')).map(field => [field, fc.oneof(fc.constant('x'), fc.constant('1.2.3.4:99999'), fc.jsonValue())]))),
);

test('malformed records of VMs are not added', t => {
	// Guards against a process that ends because it sends a heartbeat to an address that is none.
	fc.assert(fc.property(recordArbitrary, record => {
		const table = new PeerTable({self: vmRecord('a1', 'north-1'), timers: new ManualTimerService(), logger: createSilentLogger()});
		table.addDiscovered(record);
		t.is(table.size, 0);
	}));
});

const well: unknown[] = [5, 1, 1, true, 'reading', [1, 1, 1, 1, 1, 1], ['a2', 'north-1', 'north', '127.0.0.1:9', '127.0.0.1:9', '127.0.0.1:9'], [], [], [], [], [34, 0, null, 0, 0, 5], 2];

test('a heartbeat with a field of another type is not decoded', t => {
	t.not(decodeHeartbeat(encode(well)), undefined);
	fc.assert(fc.property(fc.integer({min: 0, max: 5}), fc.oneof(fc.constant('127.0.0.1:99999'), fc.constant('x:y'), fc.jsonValue().filter(value => typeof value !== 'string')), (index, value) => {
		const record = [...well[6] as unknown[]];
		record[index] = index < 3 && typeof value === 'string' ? 5 : value;
		t.is(decodeHeartbeat(encode(well.with(6, record))), undefined);
	}));
	for (const revisions of [['x', 1, 1, 1, 1, 1], [1], [null, null, null, null, null, null]]) {
		t.is(decodeHeartbeat(encode(well.with(5, revisions))), undefined);
	}

	for (const era of [-1, 1.5, '2', null, Number.NaN, Number.POSITIVE_INFINITY, [], 2 ** 60]) {
		t.is(decodeHeartbeat(encode(well.with(12, era))), undefined);
	}
});

test('a malformed reading of the store in a heartbeat is left out', t => {
	// Guards against a VM that takes its state for current because of a message that says nothing.
	t.deepEqual(decodeHeartbeat(encode(well))?.storeReadings, {configurations: {changedBy: 1, ageMs: 340}, evacuations: {changedBy: 6, ageMs: 0}});
	for (const age of [[], '', true, -1, null, {}, Number.NaN]) {
		t.deepEqual(decodeHeartbeat(encode(well.with(11, [age, 0])))?.storeReadings, {});
	}
});

test('a VM lives on when it receives malformed datagrams', async t => {
	const {gateway, settings, call} = await startGateway();
	const [host, port] = settings.listen.heartbeats.split(':');
	const socket = createSocket('udp4');
	const samples = [
		...fc.sample(fc.uint8Array({maxLength: 40}), 200).map(bytes => Buffer.from(bytes)),
		...fc.sample(fc.tuple(fc.integer({min: 4, max: 12}), fc.jsonValue()), 300).map(([index, value]) => Buffer.concat([Buffer.of(3), encode(well.with(index, value))])),
		Buffer.concat([Buffer.of(9), encode(['leaving', 's1', 1])]),
	];
	for (const sample of samples) {
		socket.send(sample, Number(port), host);
	}

	await sleep(1500);
	const {status} = await call('/check/1');
	t.is(status, 503);
	socket.close();
	await gateway.stop();
});
