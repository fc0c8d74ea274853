import test from 'ava';
import fc from 'fast-check';
import {AddressFamily, makeBlock, parseClientBlock} from '../blocks/address.js';
import {blockPosition, isInAllocation, placeBlock} from './placement.js';

// Guards against a hash that clusters neighbouring blocks or depends on the client instead of its block.
test('positions of blocks are uniformly distributed and equal within a block', t => {
	const counts = Array.from({length: 16}, () => 0);
	const buckets = new Set<number>();
	for (let index = 0; index < 16_000; index++) {
		const position = blockPosition(makeBlock(AddressFamily.v4, (10 * (2 ** 24)) + (index * 256), 0, 32), 16);
		counts[Math.floor(position * 16)]++;
		buckets.add(Math.floor(position * (2 ** 53)) % 1024);
	}

	t.true(counts.every(count => count > 850 && count < 1150));
	t.is(buckets.size, 1024);
	const position = (text: string, length: number) => blockPosition(parseClientBlock(text)!, length);
	t.is(position('10.1.2.3', 8), position('10.1.2.200', 8));
	t.is(position('10.1.2.0/24', 8), position('10.1.2.200', 24));
	t.not(position('10.1.2.3', 30), position('10.1.2.200', 30));
	t.is(position('2001:db8:1:2::1', 32), position('2001:db8:1:ff::1', 32));
	t.not(position('2001:db8:1::', 32), position('2001:db8:2::', 32));
});

// Guards against VMs with different fractions that together shift more than the largest of them.
test('allocations of a target are nested and have the size of their fraction, whatever the fractions of other targets are', t => {
	const fraction = fc.double({min: 0, max: 1, noNaN: true});
	fc.assert(fc.property(fraction, fc.tuple(fraction, fraction), fc.integer({min: 1, max: 24}), fc.nat(), (position, [first, second], targetCount, seed) => {
		const rank = seed % targetCount;
		const [small, large] = [Math.min(first, second), Math.max(first, second)];
		return !isInAllocation(position, rank, targetCount, small) || isInAllocation(position, rank, targetCount, large);
	}), {seed: 11, numRuns: 2000});
	for (const [rank, targetCount] of [[0, 4], [1, 4], [2, 4], [3, 4], [22, 23]]) {
		const inside = Array.from({length: 10_000}, (_, index) => (index + 0.5) / 10_000).filter(position => isInAllocation(position, rank, targetCount, 0.3)).length;
		t.is(inside, 3000);
	}

	const allocation = (domain: string, size: number) => ({
		domain, region: domain, fraction: size, standbyFraction: size + 0.2,
	});
	const placed = Array.from({length: 1000}, (_, index) => placeBlock((index + 0.5) / 1000, [allocation('a', 0.4), allocation('b', 0.3)]));
	t.is(placed.filter(({shifted}) => shifted?.domain === 'a').length, 400);
	t.is(placed.filter(({shifted}) => shifted?.domain === 'b').length, 300);
	t.is(placed.filter(({standby}) => standby !== undefined).length, 300);
	const allocations = ['a', 'b', 'c', 'd'].map(domain => allocation(domain, 0.2));
	const shiftedDomains = Array.from({length: 1000}, (_, index) => placeBlock((index + 0.5) / 1000, allocations).shifted?.domain);
	t.deepEqual(allocations.map(({domain}) => shiftedDomains.filter(name => name === domain).length), [200, 200, 200, 200]);
});
