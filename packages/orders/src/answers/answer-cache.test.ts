import test from 'ava';
import {AnswerCache} from './answer-cache.js';

const answer = (size: number) => ({status: 200, headers: {a: 'b'}, body: new Uint8Array(size)});

// Guards against unbounded memory use, and against a later answer replacing the first one of an order.
test('the cache stays within `maxBytes` and keeps the first answer of an order', t => {
	const cache = new AnswerCache(1000, 500);
	t.true(cache.add('first', answer(100)));
	t.false(cache.add('first', answer(7)));
	t.is(cache.get('first')?.body.length, 100);
	t.false(cache.add('large', answer(500)));
	for (let index = 0; index < 20; index++) {
		t.true(cache.add(`k${index}`, answer(200)));
		t.true(cache.sizeBytes <= 1000);
	}

	t.is(cache.get('first'), undefined);
	t.is(cache.get('k19')?.body.length, 200);
});
