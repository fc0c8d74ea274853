import test, {type ExecutionContext} from 'ava';
import {SystemTimerService} from '@fescuewick/core';
import {
	absentVersion, HttpObjectStore, MemoryObjectStore,
} from '@fescuewick/store';
import {startStoreServer, type StoreServer} from './store-server.js';

type Setup = {readonly store: MemoryObjectStore; readonly server: StoreServer; readonly client: HttpObjectStore};

const timeoutMs = 300;

async function setUp(t: ExecutionContext, connections = 2): Promise<Setup> {
	const store = new MemoryObjectStore(new SystemTimerService(), 50);
	const server = await startStoreServer(store, {host: '127.0.0.1', port: 0});
	const client = new HttpObjectStore({url: server.url, timeoutMs, connections});
	t.teardown(async () => {
		await client.close();
		await server.close();
	});
	return {store, server, client};
}

async function codeOf(t: ExecutionContext, work: () => Promise<unknown>): Promise<number> {
	const error = await t.throwsAsync(work, {any: true});
	return (error as {code: number}).code;
}

// Guards against a client and a stand-in that disagree on the protocol.
test('objects are written, listed, watched and removed under their version', async t => {
	const {client} = await setUp(t);
	const version = await client.write('a/b c', {n: 1}, absentVersion);
	t.deepEqual(await client.read('a/b c'), {key: 'a/b c', value: {n: 1}, version});
	t.is(await codeOf(t, async () => client.write('a/b c', 2, absentVersion)), 3002);
	const watching = client.watch('a/b c', version, 2000);
	const next = await client.write('a/b c', {n: 2}, version);
	const changed = await watching;
	t.is(changed?.version, next);
	const objects = await client.list('a/');
	t.is(objects.length, 1);
	await client.remove('a/b c', next);
	t.is(await client.read('a/b c'), undefined);
});

// Guards against a pool that keeps reusing connections on which nothing arrives any more.
test('silent connections are closed after one timeout and replaced', async t => {
	const {server, client} = await setUp(t, 4);
	await Promise.all(Array.from({length: 4}, async (_, index) => client.write(`k${index}`, 1, undefined)));
	server.silenceOpenConnections();
	t.is(await codeOf(t, async () => client.read('k0')), 3001);
	for (let index = 0; index < 4; index++) {
		await t.notThrowsAsync(async () => client.read('k0'));
	}

	await new SystemTimerService().sleep(100);
	t.true(server.connectionCount() <= 2, 'the silent connections are closed');
});

// Guards against operator commands that fail because an idle connection has gone silent, and against endless repeats.
test('a read that times out is repeated once if `repeatsTimedOutReads` is set', async t => {
	const {server, store} = await setUp(t);
	const client = new HttpObjectStore({
		url: server.url, timeoutMs, connections: 1, repeatsTimedOutReads: true,
	});
	t.teardown(async () => client.close());
	await client.write('k', 1, absentVersion);
	server.silenceOpenConnections();
	const object = await client.read('k');
	t.is(object?.value, 1);
	store.faults.slowMs = timeoutMs * 3;
	const startedMs = performance.now();
	t.is(await codeOf(t, async () => client.read('k')), 3001);
	t.true(performance.now() - startedMs < timeoutMs * 2.9, 'at most two attempts');
});

// Guards against reporting a write whose answer was lost as failed, or one whose answer timed out as successful.
test('lost and slow answers of writes leave the outcome unknown', async t => {
	const {store, client} = await setUp(t);
	store.faults.loseAnswers = 1;
	t.is(await codeOf(t, async () => client.write('k', 1, absentVersion)), 3003);
	const object = await client.read('k');
	t.is(object?.value, 1);
	store.faults.slowMs = timeoutMs * 3;
	t.is(await codeOf(t, async () => client.write('k', 2, undefined)), 3003);
	t.is(await codeOf(t, async () => client.read('k')), 3001);
});

// Guards against answers that cannot be read being passed on as values.
test('malformed answers are refused', async t => {
	const {server, client} = await setUp(t);
	await client.write('k', 1, undefined);
	server.serverFaults.malformed = 2;
	t.is(await codeOf(t, async () => client.read('k')), 3006);
	t.is(await codeOf(t, async () => client.write('k', 2, undefined)), 3003);
});

// Guards against reporting a refused write as one of unknown outcome, and against dropping the `retry-after` header.
test('refused calls report that nothing was written and when to retry', async t => {
	const {store, server, client} = await setUp(t);
	server.serverFaults.refuse = 1;
	const error = await t.throwsAsync(async () => client.write('k', 1, undefined), {any: true});
	t.like(error, {code: 3000, retryAfterMs: 1000});
	t.is(await client.read('k'), undefined);
	store.faults.down = true;
	t.is(await codeOf(t, async () => client.write('k', 1, undefined)), 3000);
	await server.close();
	// Until the client has noticed that its idle connections are closed, a write on one has an unknown outcome.
	await new SystemTimerService().sleep(50);
	t.is(await codeOf(t, async () => client.write('k', 1, undefined)), 3000);
});

// Guards against an abandoned watch that keeps its connection, or that ends in an error at shutdown.
test('an aborted watch ends at once and frees its connection', async t => {
	const {server, client} = await setUp(t, 1);
	const version = await client.write('k', 1, undefined);
	const abort = new AbortController();
	const watching = client.watch('k', version, 60_000, abort.signal);
	await new SystemTimerService().sleep(50);
	await t.notThrowsAsync(async () => client.read('k'), 'a waiting watch delays no read');
	abort.abort();
	t.is(await watching, undefined);
	t.is(await client.watch('k', version, 60_000, abort.signal), undefined);
	await t.notThrowsAsync(async () => client.read('k'));
	t.true(server.connectionCount() <= 2);
});
