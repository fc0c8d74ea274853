import test from 'ava';
import {freePorts} from './free-ports.js';

// Guards against two daemons of a process that get the same port, also if their calls run concurrently.
test('a process never gets the same port twice', async t => {
	const ports = await Promise.all(Array.from({length: 20}, async () => freePorts(20)));
	t.is(new Set(ports.flat()).size, 400);
});
