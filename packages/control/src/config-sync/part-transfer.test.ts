import {Buffer} from 'node:buffer';
import test from 'ava';
import {
	createIncarnation, ManualTimerService, ResultCode, sha256Hex, type FescuewickError,
} from '@fescuewick/core';
import {splitDocument} from '@fescuewick/config';
import {FakePeerHub, memoryRecord} from '@fescuewick/membership';
import {MessageType} from '@fescuewick/wire';
import {testDocument} from './cluster-fixture.js';
import {HeldConfiguration} from './held-configuration.js';
import {fetchPeerPart, sectionOf} from './part-transfer.js';

async function fetchResult(content: Buffer, hash = sha256Hex(content.toString('utf8'))): Promise<Buffer | ResultCode> {
	const timers = new ManualTimerService();
	const hub = new FakePeerHub(timers);
	const [holder, requester] = ['a', 'b'].map(vm => hub.add(memoryRecord(vm, 'd'), createIncarnation(vm, timers)));
	holder.handle(MessageType.configPartRequest, async body => sectionOf(content, body));
	const [result] = await Promise.all([Promise.allSettled([fetchPeerPart(requester, 'a', hash)]), timers.advance(1000)]);
	return result[0].status === 'fulfilled' ? result[0].value : (result[0].reason as FescuewickError).code;
}

// Guards against corruption of a part that needs several frames, where a section may end within a multi-byte character.
test('a part of the maximum size arrives complete', async t => {
	const content = Buffer.from('áb'.repeat(349_525));
	t.is(content.length, (1024 * 1024) - 1);
	t.deepEqual(await fetchResult(content), content);
	t.deepEqual(await fetchResult(Buffer.alloc(0)), Buffer.alloc(0));
});

// Guards against contents that were altered by a peer or in the store.
test('a part that does not match its hash is rejected', async t => {
	t.is(await fetchResult(Buffer.from('[]'), '0'.repeat(64)), ResultCode.configurationUnreadable);
	const {parts, contents} = splitDocument(testDocument());
	const buffers = new Map([...contents].map(([hash, text]) => [hash, Buffer.from(text)]));
	const held = new HeldConfiguration();
	const changed = new Map(buffers).set(parts.classes, Buffer.from(JSON.stringify(testDocument([], 2).classes)));
	const incomplete = new Map(buffers);
	incomplete.delete(parts.classes);
	for (const invalidContents of [changed, incomplete]) {
		t.throws(() => held.adopt({revision: 1, parts, recentChanges: []}, invalidContents), {any: true});
		t.is(held.revision, 0);
	}

	t.throws(() => held.adopt({revision: 1, parts: {keys: parts.keys}, recentChanges: []}, buffers), {any: true});
	t.true(held.adopt({revision: 1, parts, recentChanges: []}, buffers));
});
