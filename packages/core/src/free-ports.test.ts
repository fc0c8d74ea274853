import {readFileSync} from 'node:fs';
import test from 'ava';
import {freePorts} from './free-ports.js';

// Guards against daemons of tests that do not start because a connection of another test has taken their port meanwhile.
test('free ports are different and outside the range that the system gives to connections', async t => {
	const [firstGiven] = readFileSync('/proc/sys/net/ipv4/ip_local_port_range', 'utf8').trim().split(/\s+/u).map(Number);
	const ports = await freePorts(50);
	t.is(new Set(ports).size, 50);
	t.true(ports.every(port => port >= 1024 && port < firstGiven));
});
