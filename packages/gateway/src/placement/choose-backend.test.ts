import test from 'ava';
import {
	ChoiceReason, firstInOrder, leastLoaded, type Candidate,
} from './choose-backend.js';

const server = (id: string, changes: Partial<Candidate> = {}): Candidate => ({
	id, load: 0, slots: 4, isAvoided: false, hasAllowance: true, ...changes,
});

test('an object stays with its first server while its wait there is short, and then has a steady second one', t => {
	// Guards against spreading an object: a server that has not handled it lately takes several times as long.
	t.like(firstInOrder([server('a', {load: 5}), server('b')]), {server: {id: 'a'}, reason: ChoiceReason.home});
	t.like(firstInOrder([server('a', {load: 6}), server('b', {load: 2}), server('c')]), {server: {id: 'b'}, reason: ChoiceReason.next});
	t.like(firstInOrder([server('a', {load: 6}), server('b', {load: 4}), server('c')]), {server: {id: 'c'}, reason: ChoiceReason.next});
});

test('servers that fail many requests, are cold or full are passed over', t => {
	t.is(firstInOrder([server('a', {isAvoided: true}), server('b')])?.server.id, 'b');
	t.is(firstInOrder([server('a', {hasAllowance: false}), server('b')])?.server.id, 'b');
	t.is(firstInOrder([server('a', {load: 6}), server('b', {hasAllowance: false})]), undefined);
});

test('a server that fails many requests is still better than none', t => {
	t.is(firstInOrder([server('a', {isAvoided: true}), server('b', {load: 4})])?.server.id, 'a');
});

test('requests without an object go to the least loaded server', t => {
	t.is(leastLoaded([server('a', {load: 2}), server('b', {load: 3, slots: 8}), server('c', {load: 3})])?.server.id, 'b');
});

test('servers behind the chosen one are not looked at', t => {
	// Guards against work for each of hundreds of servers with every request.
	const looked: string[] = [];
	const servers = function * () {
		for (const id of ['a', 'b', 'c', 'd']) {
			looked.push(id);
			yield server(id, {load: id === 'a' ? 6 : 0});
		}
	};

	t.is(firstInOrder(servers())?.server.id, 'b');
	t.deepEqual(looked, ['a', 'b']);
});
