import test from 'ava';
import {createMemoryLogger, ManualTimerService, ResultCode} from '@fescuewick/core';
import {
	ControlClient, MemoryNetwork, Role, type SnapshotBody, type VmRecord,
} from '@fescuewick/wire';
import {DaemonHub} from './daemon-hub.js';

const location = {vm: 'a1', failureDomain: 'x1', region: 'x'};
const incarnation = {vm: 'a1', startedAtMs: 1, nonce: '0a'};

function snapshot(members: number): SnapshotBody {
	const member = (index: number): VmRecord => ({
		...location,
		vm: `vm-${index}`,
		controlAddress: '10.0.0.1:7100',
		entryUrl: 'http://10.0.0.1:8080', lookupUrl: 'http://10.0.0.1:8081', adminUrl: 'http://10.0.0.1:7101', leaving: false,
	});
	return {
		revision: members, configuration: {},
		members: Array.from({length: members}, (_, index) => member(index)), backends: [], revokedKeyHashes: [], keysAgeMs: 0, loads: [], shiftGrants: [], controlIncarnation: 'i',
	};
}

/** A hub with a connected entry daemon; `publish` replaces the snapshot and waits until it has arrived. */
async function startHub(first: SnapshotBody) {
	const timers = new ManualTimerService();
	const network = new MemoryNetwork(timers);
	const lines: Array<Record<string, unknown>> = [];
	const received: number[] = [];
	let current = first;
	const hub = new DaemonHub({
		timers,
		transport: network.transport('control'),
		logger: createMemoryLogger(lines),
		location,
		incarnation,
		address: 'control:1',
		heartbeat: () => ({revision: 0, freshnessAgeMs: 0, storeReachable: true}),
		snapshot: () => current,
		handlers: {},
		onMessage() {/* The entry daemon sends no messages. */},
		onRolesChange() {/* The test does not depend on roles. */},
	});
	await hub.start();
	const client = new ControlClient({
		timers,
		transport: network.transport('entry'),
		logger: createMemoryLogger([]),
		address: 'control:1',
		role: Role.entry,
		location,
		incarnation,
		onSnapshot({members}) {
			received.push(members.length);
		},
	});
	await timers.advance(100);
	return {
		lines,
		received,
		async publish(snapshot: SnapshotBody) {
			current = snapshot;
			hub.publish();
			// In the first step the publisher handles its message, in the second the frames are delivered.
			await timers.advance(50);
			await timers.advance(50);
		},
		async stop() {
			client.stop();
			await hub.stop();
		},
	};
}

// Guards against a fleet whose snapshot exceeds the size of a frame, so that its daemons would keep an old snapshot indefinitely.
test('a snapshot longer than a frame reaches the daemons, as do the changes after it', async t => {
	const {received, lines, publish, stop} = await startHub(snapshot(2));
	await publish(snapshot(7600));
	await publish(snapshot(3));
	t.deepEqual(received, [2, 7600, 3]);
	t.is(lines.filter(line => line.code === ResultCode.frameTooLarge).length, 0);
	await stop();
});

// Guards against a control daemon that terminates with an uncaught error, and against deltas applied to a snapshot that was not delivered.
test('a single row longer than a frame is logged, and the daemons keep the last snapshot and receive the next one completely', async t => {
	const {received, lines, publish, stop} = await startHub(snapshot(2));
	await publish({...snapshot(5), configuration: {services: ['x'.repeat(2 * 1024 * 1024)]}});
	t.is(lines.filter(line => line.code === ResultCode.frameTooLarge).length, 1);
	await publish({...snapshot(3), configuration: {services: []}});
	t.deepEqual(received, [2, 3]);
	await stop();
});
