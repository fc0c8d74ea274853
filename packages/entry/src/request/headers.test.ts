import test from 'ava';
import fc from 'fast-check';
import {answerHeaders, forwardHeaders, readKey} from './headers.js';

const token = fc.stringMatching(/^[\w-]{1,20}$/);
const key = fc.stringMatching(/^[a-zA-Z\d]{12,24}$/);
const systemNames = [
	'x-fescuewick-workspace',
	'X-Fescuewick-Class',
	'x_fescuewick_deadline_ms',
	'Authorization',
	'X-API-KEY',
	'x_api_key',
	'Connection',
	'TE',
	'Host',
	'Upgrade',
	'Transfer-Encoding',
	'Content-Length',
];
const header = fc.tuple(fc.oneof(token, fc.constantFrom(...systemNames)), fc.string({unit: 'grapheme-ascii', maxLength: 30}));

// Guards against forwarding keys, hop-by-hop headers and headers that only the system may set.
test('forwarded headers contain no key, no hop-by-hop header and no header that only the system may set', t => {
	fc.assert(fc.property(fc.array(header, {maxLength: 12}), key, (headers, presented) => {
		const raw = [...headers, ['Cookie', `a=${presented}`], ['x-api-key', presented]].flat();
		const forwarded = forwardHeaders(raw, true, value => value.includes(presented));
		t.is(forwarded.length % 2, 0);
		for (let index = 0; index < forwarded.length; index += 2) {
			const name = forwarded[index].replaceAll('_', '-');
			t.notRegex(name, /^(?:x-fescuewick-.*|authorization|x-api-key|connection|te|host|upgrade|transfer-encoding|content-length|cookie)$/);
			t.false(forwarded[index + 1].includes(presented));
		}
	}), {seed: 41, numRuns: 300});
});

// Guards against dropping or changing headers that callers and backend servers exchange.
test('other headers are forwarded unchanged and in order', t => {
	fc.assert(fc.property(fc.array(fc.tuple(token.map(name => `x-app-${name.toLowerCase()}`), fc.string({unit: 'grapheme-ascii', maxLength: 30})), {maxLength: 12}), headers => {
		t.deepEqual(forwardHeaders(headers.flat(), true, () => false), headers.flat());
		t.deepEqual(answerHeaders(Object.fromEntries(headers)), Object.fromEntries(headers));
	}), {seed: 42, numRuns: 100});
});

// Guards against missing a key because of the letter case of its header, and against accepting two keys.
test('a key is read in any letter case and only once', t => {
	t.is(readKey(['AUTHORIZATION', 'BEARER abc']), 'abc');
	t.is(readKey(['X-Api-KEY', 'abc']), 'abc');
	t.is(readKey([]), undefined);
	t.throws(() => readKey(['x-api-key', 'a', 'X-API-Key', 'b']), {any: true, message: /more than once/});
	t.throws(() => readKey(['x-api-key', 'a', 'authorization', 'Bearer b']), {any: true, message: /two headers/});
});
