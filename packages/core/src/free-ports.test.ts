import {once} from 'node:events';
import {Worker} from 'node:worker_threads';
import test from 'ava';
import {freePorts} from './free-ports.js';

// Guards against two daemons of a process that get the same port, also if their calls run concurrently.
test('a process never gets the same port twice', async t => {
	const ports = await Promise.all(Array.from({length: 20}, async () => freePorts(20)));
	t.is(new Set(ports.flat()).size, 400);
});

test('workers that run at once get different ports', async t => {
	// Guards against two test files that start daemons on one port, of which one then fails to listen.
	const script = `
		const {freePorts} = await import(${JSON.stringify(new URL('free-ports.js', import.meta.url).href)});
		const {parentPort} = await import('node:worker_threads');
		parentPort.postMessage(await freePorts(1000));
		setTimeout(() => undefined, 60_000);
	`;
	const workers = Array.from({length: 4}, () => new Worker(new URL(`data:text/javascript,${encodeURIComponent(script)}`)));
	const ports = await Promise.all(workers.map(async worker => {
		const [message] = await once(worker, 'message') as [number[]];
		return message;
	}));
	await Promise.all(workers.map(async worker => worker.terminate()));
	t.is(new Set(ports.flat()).size, 4000);
});
