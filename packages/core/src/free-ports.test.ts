import test from 'ava';
import {freePorts} from './free-ports.js';

// Guards against one port for two daemons that a process starts, also when concurrent calls find their ports.
test('a process never gets the same port twice', async t => {
	const ports = await Promise.all(Array.from({length: 20}, async () => freePorts(20)));
	t.is(new Set(ports.flat()).size, 400);
});
