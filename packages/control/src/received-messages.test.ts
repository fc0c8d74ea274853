import test from 'ava';
import {ManualTimerService} from '@fescuewick/core';
import {createMesh, memoryRecord, PeerMesh} from '@fescuewick/membership';
import {MemoryNetwork, MessageType} from '@fescuewick/wire';
import {KeyFreshness} from './keys/key-freshness.js';
import {LoadReports} from './shifts/index.js';

// Guards against work per message that grows with the fleet: with 7,600 members a list of all of them takes about 1 ms, and a node receives hundreds of messages per second.
test('heartbeats and load sums are processed without a list of all members', async t => {
	const timers = new ManualTimerService();
	const network = new MemoryNetwork(timers);
	const first = createMesh(network, memoryRecord('a1', 'x1'));
	const second = createMesh(network, memoryRecord('b1', 'y1'), {seeds: ['a1:1']});
	const freshness = new KeyFreshness(first, timers);
	first.on(MessageType.heartbeat, (body, from) => {
		freshness.recordHeartbeat(from, body);
	});
	const loads = new LoadReports(first, timers);
	await first.start();
	await second.start();
	await timers.advance(3000);
	let memberLists = 0;
	let received = 0;
	first.on(MessageType.heartbeat, () => {
		received++;
	});
	const {members} = PeerMesh.prototype;
	first.members = () => {
		memberLists++;
		return members.call(first);
	};

	void second.request('a1', MessageType.domainLoads, {
		sums: [{
			failureDomain: 'y1',
			region: 'y',
			source: 1,
			sequence: 1,
			vms: 1,
			entries: [{
				service: 's', failureDomain: 'y1', region: 'y', capacityPerS: 1, loadPerS: 1, cold: false, bytesPerRequest: 1, ageMs: 0,
			}],
		}],
	}, 500);
	// Three heartbeats arrive; the mesh lists the members only when they change.
	await timers.advance(1500);
	t.is(received, 3);
	t.is(memberLists, 0);
	t.is(loads.entries().length, 1);
	t.true(freshness.heartbeatAgeMs()! < 1000);
	t.is(first.member('b1')?.record.failureDomain, 'y1');
	t.is(first.member('a1')?.record.failureDomain, 'x1');
	t.is(first.member('c1'), undefined);
	await first.stop();
	await second.stop();
});
