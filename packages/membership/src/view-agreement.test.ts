import test from 'ava';
import {incarnationId, ManualTimerService} from '@fescuewick/core';
import {MemoryNetwork} from '@fescuewick/wire';
import {createMesh, memoryRecord} from './mesh-fixture.js';

// Guards against members whose record stays the placeholder made from a hello: no node can connect to them, and nodes whose views differ exchange full views again and again.
test('all nodes learn the addresses of members that they have no link to', async t => {
	const timers = new ManualTimerService();
	const network = new MemoryNetwork(timers);
	network.delayMs = 1;
	const records = Array.from({length: 18}, (_, index) => memoryRecord(`n${index}`, `${'xyz'[index % 3]}1`));
	const meshes = records.map((record, index) => createMesh(network, record, {seeds: [index === 0 ? 'n1:1' : 'n0:1']}));
	for (const mesh of meshes) {
		await mesh.start();
	}

	await timers.advance(15_000);
	const views = meshes.map(mesh => mesh.members()
		.map(({record, incarnation, state}) => `${JSON.stringify(record)} ${incarnationId(incarnation!)} ${state}`)
		.sort((a, b) => (a < b ? -1 : 1)));
	t.deepEqual(views[0].map(line => JSON.parse(line.split(' ')[0]) as unknown), [...records].sort((a, b) => (JSON.stringify(a) < JSON.stringify(b) ? -1 : 1)));
	for (const view of views) {
		t.deepEqual(view, views[0]);
	}

	for (const mesh of meshes) {
		await mesh.stop();
	}
});
