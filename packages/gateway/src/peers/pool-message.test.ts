import test from 'ava';
import {encode} from 'cbor-x';
import fc from 'fast-check';
import {
	decodePoolMessage, encodePoolMessage, PoolMessageKind, type PoolMessage,
} from './pool-message.js';

const vm = fc.string();
const workspace = fc.string();
const count = fc.nat();
const messageArbitrary: fc.Arbitrary<PoolMessage> = fc.oneof(
	fc.record({
		kind: fc.constant(PoolMessageKind.tokenRequest as const), vm, workspace, id: count,
	}),
	fc.record({
		kind: fc.constant(PoolMessageKind.tokenReply as const), vm, id: count, isGranted: fc.boolean(),
	}),
	fc.record({
		kind: fc.constant(PoolMessageKind.grantReport as const), vm, workspace, incarnation: count, passed: count,
	}),
	fc.record({
		kind: fc.constant(PoolMessageKind.grantConfirmation as const), vm, workspace, passed: count,
	}),
);

test('messages about pools are decoded as they were encoded', t => {
	fc.assert(fc.property(messageArbitrary, message => {
		t.deepEqual(decodePoolMessage(encodePoolMessage(message)), message);
	}));
});

test('a datagram that is no message about a pool is not decoded', t => {
	// Guards against a VM that counts or grants tokens, or ends, because of a malformed datagram.
	fc.assert(fc.property(fc.uint8Array({maxLength: 60}), bytes => {
		const message = decodePoolMessage(bytes);
		t.true(message === undefined || typeof message.vm === 'string');
	}));
	for (const fields of [[], [0], [0, 'a1'], [0, 1, 'acme', 1], [0, 'a1', 2, 1], [0, 'a1', 'acme', -1], [0, 'a1', 'acme', 1.5], [0, 'a1', 'acme', Number.NaN], [1, 'a1', 'yes', 1], [2, 'a1', 'acme', 1], [2, 'a1', 'acme', 1, 'x'], [3, 'a1', true, 1], [4, 'a1', 'acme', 1], ['leaving', 's1', 1]]) {
		t.is(decodePoolMessage(encode(fields)), undefined, `${JSON.stringify(fields)} is decoded`);
	}
});
