import {Buffer} from 'node:buffer';
import test, {type ExecutionContext} from 'ava';
import fc from 'fast-check';
import {encode} from 'cbor-x';
import {FescuewickError, ResultCode} from '@fescuewick/core';
import {fieldNumbers} from './field-names.js';
import {
	encodeFrame, FrameDecoder, maxFrameBytes, MessageType, type Frame,
} from './index.js';

function assertThrowsCode(t: ExecutionContext, code: ResultCode, run: () => unknown): void {
	try {
		run();
		t.fail('did not throw');
	} catch (error) {
		t.true(error instanceof FescuewickError);
		t.is((error as FescuewickError).code, code);
	}
}

function withLengthPrefix(payload: Uint8Array): Buffer {
	const header = Buffer.alloc(4);
	header.writeUInt32BE(payload.length, 0);
	return Buffer.concat([header, payload]);
}

const bodies = fc.jsonValue({maxDepth: 3, stringUnit: 'grapheme'});
const types = fc.constantFrom(MessageType.hello, MessageType.configHead, MessageType.reply);

// Guards against frames that are lost, merged or changed when the network splits or joins them.
test('frames survive any division into chunks', t => {
	fc.assert(fc.property(fc.array(fc.tuple(types, fc.nat(2 ** 31), bodies), {minLength: 1, maxLength: 5}), fc.array(fc.integer({min: 1, max: 40}), {minLength: 1}), (frames, sizes) => {
		const bytes = Buffer.concat(frames.map(([type, id, body]) => encodeFrame(type, id, body)));
		const decoder = new FrameDecoder();
		const decoded: Frame[] = [];
		for (let offset = 0, chunkIndex = 0; offset < bytes.length; chunkIndex++) {
			const end = offset + sizes[chunkIndex % sizes.length];
			decoded.push(...decoder.push(bytes.subarray(offset, end)));
			offset = end;
		}

		t.deepEqual(decoded.map(({type, id, body}) => [type, id, JSON.stringify(body)]), frames.map(([type, id, body]) => [type, id, JSON.stringify(body)]));
	}), {seed: 7, numRuns: 200});
	t.pass();
});

// Guards against keys that are decoded as numbers or as other names, because they are sent by number or look like a number.
test('objects keep their keys, whether these are names of fields, numbers or any text', t => {
	const names = fc.oneof(fc.constantFrom(...Object.keys(fieldNumbers)), fc.nat(300).map(String), fc.string({maxLength: 12}).filter(name => name !== '__proto__'));
	fc.assert(fc.property(fc.dictionary(names, fc.oneof(fc.nat(), fc.dictionary(names, fc.boolean()))), body => {
		const [frame] = new FrameDecoder().push(encodeFrame(MessageType.reply, 1, body));
		t.deepEqual(frame.body, {...body});
	}), {seed: 31, numRuns: 500});
	t.true(Object.values(fieldNumbers).every((number, index) => number === index));
	// If a number changed, processes of two versions would misread each other's messages.
	t.like(fieldNumbers, {
		kind: 0, seenEpoch: 12, nonce: 23, accepted: 24, workspace: 133,
	});
});

// Guards against a peer that makes this process buffer without limit, or crash on malformed bytes.
test('oversized and malformed frames are refused with their codes', t => {
	assertThrowsCode(t, ResultCode.frameTooLarge, () => encodeFrame(MessageType.reply, 1, Buffer.alloc(maxFrameBytes)));
	const decode = (bytes: Buffer) => () => [...new FrameDecoder().push(bytes)];
	const announced = Buffer.alloc(4);
	announced.writeUInt32BE(maxFrameBytes + 1, 0);
	assertThrowsCode(t, ResultCode.frameTooLarge, decode(announced));
	assertThrowsCode(t, ResultCode.frameMalformed, decode(withLengthPrefix(Buffer.from([0x9F, 0x01]))));
	assertThrowsCode(t, ResultCode.frameMalformed, decode(withLengthPrefix(Buffer.alloc(0))));
	for (const value of [7, 'text', [], [1, 2], ['1', 2, 3], {type: 1}, undefined]) {
		assertThrowsCode(t, ResultCode.frameMalformed, decode(withLengthPrefix(encode(value))));
	}

	assertThrowsCode(t, ResultCode.messageUnknown, decode(withLengthPrefix(encode([9999, 0, {}]))));
	fc.assert(fc.property(fc.uint8Array({maxLength: 64}), payload => {
		try {
			for (const {type} of new FrameDecoder().push(withLengthPrefix(payload))) {
				t.truthy(MessageType[type]);
			}
		} catch (error) {
			t.true(error instanceof FescuewickError);
		}
	}), {seed: 7, numRuns: 500});
});
