import test from 'ava';
import {
	type FescuewickError, ManualTimerService, ResultCode, SystemTimerService,
} from '@fescuewick/core';
import {
	MemoryNetwork, MessageType, TcpTransport, Transport, type Link, type LinkOptions, type Listener, type VmRecord,
} from '@fescuewick/wire';
import {createMesh, memoryRecord, startMeshes} from './mesh-fixture.js';
import {MemberState, type PeerMesh} from './index.js';

function createMemoryNetwork(delayMs = 5) {
	const timers = new ManualTimerService();
	const network = new MemoryNetwork(timers);
	network.delayMs = delayMs;
	return {timers, network};
}

function states(mesh: PeerMesh): string {
	return mesh.members().map(member => `${member.record.vm}:${member.state}`).sort((a, b) => a.localeCompare(b)).join(' ');
}

const fourRecords = [memoryRecord('a1', 'x1'), memoryRecord('a2', 'x1'), memoryRecord('b1', 'x2'), memoryRecord('b2', 'x2')];

// Guards against nodes that find each other only through the platform's list: during a store outage one seed must be enough.
test('nodes learn the fleet from one seed', async t => {
	const {timers, network} = createMemoryNetwork();
	const meshes = await startMeshes(network, fourRecords);
	await timers.advance(2000);
	for (const mesh of meshes) {
		t.is(states(mesh), 'a1:alive a2:alive b1:alive b2:alive');
		t.is(mesh.linkCount, 3);
		t.deepEqual(mesh.liveVms('x2').sort((a, b) => a.localeCompare(b)), ['b1', 'b2']);
	}
});

// Guards against look-ups that still return a VM whose entry daemon stopped, or do not return it again after its restart.
test('a leaving mark and its removal reach all nodes, also when the platform\'s list differs', async t => {
	const {timers, network} = createMemoryNetwork();
	const meshes = await startMeshes(network, fourRecords);
	for (const mesh of meshes) {
		mesh.applyPlatformList(fourRecords.filter(record => record.failureDomain === mesh.self.failureDomain));
	}

	await timers.advance(2000);
	const leavingMarks = () => meshes.map(mesh => mesh.members().find(member => member.record.vm === 'a2')?.record.leaving);
	meshes[1].setLeaving(true);
	await timers.advance(1000);
	t.deepEqual(leavingMarks(), [true, true, true, true]);
	meshes[1].setLeaving(false);
	await timers.advance(1000);
	t.deepEqual(leavingMarks(), [false, false, false, false]);
	for (const mesh of meshes.slice(0, 2)) {
		mesh.applyPlatformList([fourRecords[0], {...fourRecords[1], leaving: true}]);
	}

	await timers.advance(1000);
	t.deepEqual(leavingMarks(), [true, true, true, true]);
});

// Guards against a member that is reported alive after it died, or dead before `deadAfterMs`.
test('a killed node becomes suspect, then dead, and its restart replaces it', async t => {
	const {timers, network} = createMemoryNetwork();
	const [first, second] = await startMeshes(network, fourRecords.slice(0, 2));
	await timers.advance(2000);
	network.cut('a1', 'a2');
	// The last message before the cut is up to one heartbeat interval old.
	await timers.advance(950);
	t.is(states(first), 'a1:alive a2:alive');
	await timers.advance(1000);
	t.is(states(first), 'a1:alive a2:suspect');
	await timers.advance(1500);
	t.is(states(first), 'a1:alive a2:dead');
	const previousNonce = second.incarnation.nonce;
	network.kill('a2');
	network.heal();
	const restarted = createMesh(network, fourRecords[1], {seeds: ['a1:1'], run: 1});
	await restarted.start();
	await timers.advance(3000);
	t.is(states(first), 'a1:alive a2:alive');
	const currentNonce = first.members().find(member => member.record.vm === 'a2')?.incarnation?.nonce;
	t.is(currentNonce, restarted.incarnation.nonce);
	t.not(currentNonce, previousNonce);
});

// Guards against handling messages of a process that was replaced, for example while it was paused.
test('messages of an older incarnation are ignored', async t => {
	const {timers, network} = createMemoryNetwork();
	const [first, replaced] = await startMeshes(network, fourRecords.slice(0, 2));
	await timers.advance(2000);
	const received: string[] = [];
	first.on(MessageType.revocations, body => {
		received.push(...body.keyHashes);
	});
	const restarted = createMesh(network, {...fourRecords[1], controlAddress: 'a2:2'}, {seeds: ['a1:1'], run: 1});
	await restarted.start();
	await timers.advance(1000);
	replaced.send('a1', MessageType.revocations, {keyHashes: ['old']});
	restarted.send('a1', MessageType.revocations, {keyHashes: ['new']});
	await timers.advance(3000);
	t.deepEqual(received, ['new']);
	t.is(first.members().find(member => member.record.vm === 'a2')?.incarnation?.nonce, restarted.incarnation.nonce);
});

// Guards against waiting without limit on a connection that no longer carries data but was not closed, for example after a network device lost its state.
test('a silent connection is replaced within 2 s', async t => {
	const {timers, network} = createMemoryNetwork();
	const [first] = await startMeshes(network, fourRecords.slice(0, 2));
	// The offsets let the silence begin at different times between two heartbeats.
	for (const offsetMs of [2000, 2010, 2130, 2260, 2490]) {
		await timers.advance(offsetMs);
		network.silence('a1', 'a2');
		await timers.advance(2000);
		const answer = t.throwsAsync(first.request('a2', MessageType.revocations, {keyHashes: []}, 200), {any: true}) as Promise<FescuewickError>;
		await timers.advance(200);
		const error = await answer;
		t.is(error.code, ResultCode.messageUnknown, `link works again after silence at ${offsetMs}`);
	}
});

// Guards against both nodes closing links so that none is left, and against duplicate links that stay open.
test('links opened from both ends at once are reduced to one', async t => {
	const {timers, network} = createMemoryNetwork(20);
	const meshes = fourRecords.slice(0, 2).map(record => createMesh(network, record));
	for (const mesh of meshes) {
		await mesh.start();
		mesh.applyPlatformList(fourRecords.slice(0, 2));
	}

	// Views are compared more often at the start, so frames are counted after it.
	await timers.advance(12_000);
	const framesSentBefore = network.framesSent;
	await timers.advance(10_000);
	t.is(meshes[0].linkCount, 1);
	// One link: one heartbeat each way per 500 ms, and the comparisons of views.
	t.true(network.framesSent - framesSentBefore <= 48, `${network.framesSent - framesSentBefore} frames`);
});

// Guards against a full mesh in large failure domains: the number of links would grow with the square of the number of nodes.
test('a large failure domain links only some nodes, and requests to others open links that close when idle', async t => {
	const {timers, network} = createMemoryNetwork();
	const records = Array.from({length: 34}, (_, index) => memoryRecord(`n${index}`, 'x1'));
	const meshes = await startMeshes(network, records);
	for (const mesh of meshes) {
		mesh.handle(MessageType.revocations, async body => ({known: body.keyHashes.length}));
	}

	await timers.advance(35_000);
	const [first] = meshes;
	// Views that do not converge would be exchanged again and again.
	const addresses = (mesh: PeerMesh) => mesh.members().map(member => member.record.controlAddress).sort((a, b) => a.localeCompare(b));
	for (const mesh of meshes) {
		t.deepEqual(addresses(mesh), records.map(record => record.controlAddress).sort((a, b) => a.localeCompare(b)));
	}

	t.is(first.members().filter(member => member.state === MemberState.alive).length, 34);
	t.true(first.linkCount < 33, `${first.linkCount} links`);
	const linked = new Set(first.members().filter(member => (member.heardAgeMs ?? 10_000) < 1000).map(member => member.record.vm));
	const target = records.find(record => !linked.has(record.vm))!;
	const linkCountBefore = first.linkCount;
	const answer = first.request(target.vm, MessageType.revocations, {keyHashes: ['k']}, 1000);
	await timers.advance(100);
	t.deepEqual(await answer, {known: 1});
	t.is(first.linkCount, linkCountBefore + 1);
	await timers.advance(31_000);
	t.is(first.linkCount, linkCountBefore);
	t.is(first.members().filter(member => member.state === MemberState.alive).length, 34);
	network.kill('n20');
	await meshes[20].stop();
	await timers.advance(4000);
	for (const mesh of meshes) {
		if (mesh !== meshes[20]) {
			t.is(mesh.members().find(member => member.record.vm === 'n20')?.state, MemberState.dead);
		}
	}
});

// Guards against a node that declares its peers dead because it was paused itself.
test('a paused node does not declare its peers dead when it continues', async t => {
	const {timers, network} = createMemoryNetwork();
	const meshes = await startMeshes(network, fourRecords);
	await timers.advance(2000);
	timers.pause(5000);
	// The first check is 1 ms after the pause, before any message can have arrived.
	for (let step = 0; step < 500; step++) {
		await timers.advance(step === 0 ? 1 : 10);
		t.is(states(meshes[0]), 'a1:alive a2:alive b1:alive b2:alive');
	}
});

class CountingTransport extends Transport {
	attemptsAtMs: number[] = [];

	constructor(readonly network: MemoryNetwork, readonly inner: Transport) {
		super();
	}

	connect(address: string, options: LinkOptions): Link {
		this.attemptsAtMs.push(this.network.timers.nowMs());
		return this.inner.connect(address, options);
	}

	async listen(address: string, options: () => LinkOptions): Promise<Listener> {
		return this.inner.listen(address, options);
	}
}

// Guards against a node that reconnects too often to an address that refuses connections, or stops trying.
test('reconnect attempts back off up to 2 s and never stop', async t => {
	const {timers, network} = createMemoryNetwork();
	const transport = new CountingTransport(network, network.transport('a1'));
	const mesh = createMesh(network, fourRecords[0], {transport});
	await mesh.start();
	mesh.applyPlatformList(fourRecords.slice(0, 2));
	await timers.advance(60_000);
	const gaps = transport.attemptsAtMs.slice(1).map((atMs, index) => atMs - transport.attemptsAtMs[index]);
	t.true(gaps[0] < 200, `first gap ${gaps[0]} ms`);
	t.true(gaps.slice(6).every(gap => gap >= 900 && gap <= 2500), `gaps ${gaps.join(' ')}`);
	t.true(gaps.length >= 25);
});

// Guards against faults that memory links cannot show, such as addresses in use and frames split by the kernel.
test('meshes over TCP exchange members, requests and goodbyes', async t => {
	const timers = new SystemTimerService();
	const vmRecord = (vm: string): VmRecord => ({...memoryRecord(vm, 'x1'), controlAddress: ''});
	const tcp = {timers, transport: () => new TcpTransport()};
	const first = createMesh(tcp, vmRecord('a1'), {listenAddress: '127.0.0.1:0'});
	const seedAddress = await first.start();
	const second = createMesh(tcp, vmRecord('a2'), {listenAddress: '127.0.0.1:0', seeds: [seedAddress]});
	await second.start();
	second.handle(MessageType.revocations, async body => ({known: body.keyHashes.length}));
	await until(timers, () => first.members().some(member => member.record.vm === 'a2' && member.record.controlAddress !== ''));
	t.deepEqual(await first.request('a2', MessageType.revocations, {keyHashes: Array.from({length: 10_000}, (_, index) => String(index).padStart(64, '0'))}, 2000), {known: 10_000});
	await second.stop();
	const stoppedAtMs = timers.nowMs();
	await until(timers, () => states(first) === 'a1:alive a2:dead');
	t.true(timers.nowMs() - stoppedAtMs < 1000, 'the goodbye arrived; without it the member is dead only after 3 s');
	await first.stop();
});

async function until(timers: SystemTimerService, condition: () => boolean): Promise<void> {
	for (let attempt = 0; attempt < 200 && !condition(); attempt++) {
		await timers.sleep(20);
	}
}
