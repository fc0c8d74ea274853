import test from 'ava';
import {orderId} from '../order-key/order-id.js';
import {BloomFilter, filterCapacity, filterFalsePositiveRate} from './bloom-filter.js';

// Guards against false negatives, which would let an old order run again, and against false positives above the configured rate, which refuse new orders.
test('a full filter contains every order and stays near its false-positive rate', t => {
	const filter = new BloomFilter();
	for (let index = 0; index < filterCapacity; index++) {
		filter.add(orderId('w', `old-${index}`).words);
	}

	let falseNegatives = 0;
	let falsePositives = 0;
	for (let index = 0; index < filterCapacity; index++) {
		falseNegatives += filter.has(orderId('w', `old-${index}`).words) ? 0 : 1;
		falsePositives += filter.has(orderId('w', `new-${index}`).words) ? 1 : 0;
	}

	t.is(falseNegatives, 0);
	// 0.1 false positives are expected; more than 3 occur with a probability of 4e-6.
	t.true(falsePositives <= 3 && filterFalsePositiveRate * filterCapacity <= 0.1, `${falsePositives} false positives`);
});
