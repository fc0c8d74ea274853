import test from 'ava';
import {
	ChoiceReason, chooseByAffinity, chooseFastest, chooseLeastLoaded, type Candidate,
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

test('where servers report their slowness, requests without an affinity key go to the server with the least expected time', t => {
	// Guards against requests that wait for a slow machine while others are free, and against full servers that are chosen because their machine is fast.
	const choose = (...servers: Candidate[]) => chooseFastest(servers, 0)?.server.id;
	t.is(choose(server('a', {slowness: 2.5}), server('b', {load: 3})), 'b');
	t.is(choose(server('a', {slowness: 1.2, load: 1}), server('b', {slowness: 1.2})), 'b');
	t.is(choose(server('a', {slowness: 1, load: 4}), server('b', {slowness: 2.5})), 'b');
	t.is(choose(server('a', {slowness: 1, canAccept: false}), server('b', {slowness: 2.5})), 'b');
	t.is(choose(server('a', {slowness: 1, isDeprioritized: true}), server('b', {slowness: 2.5}), server('c', {slowness: 1, isDeprioritized: true})), 'b');
	t.is(choose(server('a', {slowness: 2.5, isDeprioritized: true}), server('b', {slowness: 1, isDeprioritized: true})), 'b');
	t.is(choose(server('a', {load: 4})), undefined);
	t.is(choose(), undefined);
});

test('a server that has just reported the usual speed is preferred to an equal one of which nothing is known', t => {
	// Guards against a preference for servers that have not answered for a while, whose load is not known either.
	t.is(chooseFastest([server('a'), server('b', {slowness: 1})], 0)?.server.id, 'b');
	t.is(chooseFastest([server('a'), server('b', {slowness: 1.9})], 0)?.server.id, 'a');
});

test('equally fast servers are chosen by where the search starts', t => {
	// Guards against all VMs sending to the first of several idle servers.
	const servers = ['a', 'b', 'c', 'd'].map(id => server(id, {slowness: 1}));
	t.deepEqual([0, 0.3, 0.5, 0.99].map(start => chooseFastest(servers, start)?.server.id), ['a', 'b', 'c', 'd']);
});
