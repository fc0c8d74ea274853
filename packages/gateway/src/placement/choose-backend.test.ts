import test from 'ava';
import {
	ChoiceReason, chooseByAffinity, chooseLeastLoaded, type Candidate,
} from './choose-backend.js';

const server = (id: string, changes: Partial<Candidate> = {}): Candidate => ({
	id, load: 0, slots: 4, isDeprioritized: false, canAccept: true, ...changes,
});

test('an object stays with its first server while the queue there is short, and then goes to the next one in its order', t => {
	// Guards against spreading an object over servers: one that has not handled it recently takes several times as long.
	t.like(chooseByAffinity([server('a', {load: 5}), server('b')]), {server: {id: 'a'}, reason: ChoiceReason.home});
	t.like(chooseByAffinity([server('a', {load: 6}), server('b', {load: 2}), server('c')]), {server: {id: 'b'}, reason: ChoiceReason.next});
	t.like(chooseByAffinity([server('a', {load: 6}), server('b', {load: 4}), server('c')]), {server: {id: 'c'}, reason: ChoiceReason.next});
});

test('servers that fail many requests, are cold or are full are skipped', t => {
	t.is(chooseByAffinity([server('a', {isDeprioritized: true}), server('b')])?.server.id, 'b');
	t.is(chooseByAffinity([server('a', {canAccept: false}), server('b')])?.server.id, 'b');
	t.is(chooseByAffinity([server('a', {load: 6}), server('b', {canAccept: false})]), undefined);
});

test('a server that fails many requests is used if no other can accept the request', t => {
	t.is(chooseByAffinity([server('a', {isDeprioritized: true}), server('b', {load: 4})])?.server.id, 'a');
});

test('requests without an affinity key go to the least loaded server', t => {
	t.is(chooseLeastLoaded([server('a', {load: 2}), server('b', {load: 3, slots: 8}), server('c', {load: 3})])?.server.id, 'b');
});

test('servers after the chosen one are not evaluated', t => {
	// Guards against evaluating each of hundreds of servers for every request.
	const visited: string[] = [];
	const servers = function * () {
		for (const id of ['a', 'b', 'c', 'd']) {
			visited.push(id);
			yield server(id, {load: id === 'a' ? 6 : 0});
		}
	};

	t.is(chooseByAffinity(servers())?.server.id, 'b');
	t.deepEqual(visited, ['a', 'b']);
});
