import process from 'node:process';
import {readdirSync, readFileSync} from 'node:fs';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import test, {registerCompletionHandler} from 'ava';
import {call, waitUntil} from './caller.js';
import {ProcessFleet} from './process-fleet.js';

// Connections that stay open after the tests would keep the test process running.
registerCompletionHandler(() => {
	process.exit();
});

type LookupAnswer = {endpoints: Array<{url: string}>};

// Guards against daemons that work only when they share a process, and against an order that is run again when it is repeated at another VM.
test.serial('daemons in separate processes serve a look-up, a check, a reservation and its repeat at the other VM', async t => {
	const fleet = await ProcessFleet.start(t);
	// During the ramp-up of a region that has just started only a growing fraction of its client blocks is admitted, so the first look-ups may be rejected.
	let endpoints: LookupAnswer['endpoints'] = [];
	await waitUntil('a look-up names both VMs', async () => {
		const response = await fetch(`${fleet.vms[0].record.lookupUrl}/v1/lookup?service=booking`);
		const answer = await response.json() as Partial<LookupAnswer>;
		endpoints = answer.endpoints ?? [];
		return endpoints.length === fleet.vms.length;
	}, 35_000);
	t.deepEqual(endpoints.map(({url}) => url).sort(), fleet.vms.map(({record}) => record.entryUrl).sort());
	const check = await call(endpoints[0].url);
	t.is(check.status, 200);
	t.is(check.body.workspace, 'shop-merkato');
	const first = await call(endpoints[0].url, {orderKey: 'order-1'});
	t.is(first.status, 200, `answer was ${JSON.stringify(first)}`);
	const repeat = await call(endpoints[1].url, {orderKey: 'order-1'});
	t.true(repeat.replayed || [1304, 1305, 1306].includes(repeat.code), `answer was ${JSON.stringify(repeat)}`);
	const runs = await fleet.runsByOrder();
	t.is(runs.get('order-1'), 1);
	const observations = await fleet.observations();
	t.deepEqual(observations.flatMap(({keyHeadersSeen}) => keyHeadersSeen), []);
});

// Guards against daemons that start child processes.
test.serial('no daemon starts a child process', async t => {
	const fleet = await ProcessFleet.start(t);
	const {status} = await call(fleet.vms[0].record.entryUrl, {orderKey: 'order-1'});
	t.is(status, 200);
	for (const daemon of fleet.daemons()) {
		t.deepEqual(daemon.childPids(), [], `children of ${daemon.name}`);
	}
});

// Guards against imports that make a daemon package depend on child processes, worker threads or shared memory.
test.serial('no source of a daemon package uses child processes, worker threads or shared memory', t => {
	const forbidden = /["'](?:node:)?(?:child_process|cluster|worker_threads)["']|SharedArrayBuffer/;
	for (const name of ['control', 'entry', 'lookup', 'core', 'wire', 'store', 'config', 'membership', 'shares', 'orders', 'cli', 'emulator', 'local', 'gateway', '../platform']) {
		const folder = fileURLToPath(new URL(`../../../${name}/src`, import.meta.url));
		const files = readdirSync(folder, {recursive: true, encoding: 'utf8'}).filter(file => file.endsWith('.ts') && !file.endsWith('.test.ts'));
		t.true(files.length > 0);
		t.deepEqual(files.filter(file => forbidden.test(readFileSync(join(folder, file), 'utf8'))), [], `package ${name}`);
	}
});
