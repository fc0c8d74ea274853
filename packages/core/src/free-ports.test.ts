import test from 'ava';
import {freePorts, portCandidates} from './free-ports.js';

// Guards against two processes or threads that choose the same port while it is still free: one of them then cannot listen.
test('processes and threads with consecutive ids choose from different ports first', t => {
	const first = new Set([...portCandidates(100)].slice(0, 1000));
	const second = [...portCandidates(101)].slice(0, 1000);
	t.false(second.some(port => first.has(port)));
	t.is(new Set(portCandidates(100)).size, 20_000);
});

// Guards against a process that gives one port to two daemons, also when it starts them at the same time.
test('no port is picked twice by a process', async t => {
	const ports = await Promise.all(Array.from({length: 20}, async () => freePorts(20)));
	t.is(new Set(ports.flat()).size, 400);
});
