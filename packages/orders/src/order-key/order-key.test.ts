import test from 'ava';
import {FescuewickError, ResultCode} from '@fescuewick/core';
import {makeOrderKeyPrefix, parseOrderKey, OrderKeyForm} from './order-key.js';
import {orderId} from './order-id.js';

const incarnation = 'vm.a.l8xk2q.0a1b2c3d4e5f';

// Guards against a ticket being routed to another VM or incarnation than the one that issued it.
test('a completed prefix names the VM, incarnation and time it was made from', t => {
	const key = parseOrderKey(`${makeOrderKeyPrefix('vm.a', incarnation, 1_700_000_000_123)}order.7`);
	t.is(key.form, OrderKeyForm.ticket);
	t.deepEqual(key.ticket, {vm: 'vm.a', incarnation: 'l8xk2q-0a1b2c3d4e5f', issuedAtMs: 1_700_000_000_123});
	t.is(parseOrderKey('invoice-2024-7').form, OrderKeyForm.caller);
});

// Guards against a malformed ticket being treated as a caller key, so that two authorities would decide one order.
test('malformed keys are refused as invalid', t => {
	const prefix = makeOrderKeyPrefix('a', incarnation, 5);
	for (const text of ['', 'a b', 'schlüssel', 'x\n', 'y'.repeat(256), 'fw1.', prefix, 'fw1.a.b.5.x', 'fw1.%E0%A4%A.l8xk2q-0a.5.x', 'fw1.a.l8xk2q-0a.5e3.x']) {
		const error = t.throws(() => parseOrderKey(text), {any: true, instanceOf: FescuewickError});
		t.is((error as FescuewickError).code, ResultCode.orderKeyInvalid);
	}
});

// Guards against orders of two workspaces sharing an id.
test('order ids differ between workspaces and between splits of the same text', t => {
	t.not(orderId('a', 'bc').hex, orderId('ab', 'c').hex);
	t.not(orderId('a', 'k').hex, orderId('b', 'k').hex);
	t.is(orderId('a', 'k').hex, orderId('a', 'k').hex);
	t.is(orderId('a', 'k').hex.length, 32);
});
