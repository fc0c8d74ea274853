import test from 'ava';
import {freePorts} from './free-ports.js';

// Guards against a process that gives one port to two daemons, also when it starts them at the same time.
test('no port is picked twice by a process', async t => {
	const ports = await Promise.all(Array.from({length: 20}, async () => freePorts(20)));
	t.is(new Set(ports.flat()).size, 400);
});
