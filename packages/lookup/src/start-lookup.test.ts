import {once} from 'node:events';
import {connect} from 'node:net';
import process from 'node:process';
import test from 'ava';
import {
	createIncarnation, createMemoryLogger, errorBody, incarnationId, ManualTimerService, ResultCode, settle,
} from '@fescuewick/core';
import {OrderKeyForm, parseOrderKey, ticketIncarnation} from '@fescuewick/orders';
import {
	MemoryNetwork, MessageType, Role, fullSnapshotPages, type Link, type LinkOptions, type LoadEntry, type ReplyBodies, type SnapshotBody, type VmRecord,
} from '@fescuewick/wire';
import {
	BlockTable, encodeBlocks, lookupSettingsSchema, startLookup,
} from './index.js';

const vmRecord = (vm: string, failureDomain: string, region: string, leaving = false): VmRecord => ({
	vm, failureDomain, region, leaving, controlAddress: '', entryUrl: `http://${vm}`, lookupUrl: '', adminUrl: '',
});

const configuration = {
	classes: [{
		name: 'fast', latenessTargetMs: 100, deadlineMs: 1000, safety: 'repeatable',
	}],
	services: [{name: 'booking', routes: [{method: 'GET', pathPrefix: '/', class: 'fast'}]}],
};

const snapshot: SnapshotBody = {
	revision: 3,
	configuration,
	members: [vmRecord('a1', 'addis-1', 'addis'), vmRecord('a2', 'addis-2', 'addis'), vmRecord('t1', 'tigray-1', 'tigray')],
	backends: [],
	revokedKeyHashes: [],
	keysAgeMs: 0,
	loads: [],
	shiftGrants: [],
	controlIncarnation: 'inc-self',
	vmStates: [{vm: 'a1', ready: true, incarnation: 'inc-a1'}, {vm: 't1', ready: true, incarnation: 'inc-t1'}],
};

const table = encodeBlocks([{block: '10.1.0.0/16', region: 'tigray'}], 1, 1);

async function startDaemon(lines: Array<Record<string, unknown>> = [], blocks?: BlockTable, loads: readonly LoadEntry[] = []) {
	const timers = new ManualTimerService();
	const network = new MemoryNetwork(timers);
	const links: Link[] = [];
	const location = {vm: 'a1', failureDomain: 'addis-1', region: 'addis'};
	const listener = await network.transport('control').listen('control:1', (): LinkOptions => ({
		timers,
		hello: {role: Role.control, location, incarnation: {vm: 'a1', startedAtMs: 1, nonce: 'n'}},
		heartbeat: () => ({revision: 0, freshnessAgeMs: undefined, storeReachable: true}),
		onMessage() {/* Messages are ignored. */},
		async onRequest(type) {
			if (type === MessageType.loadsRequest) {
				const reply: ReplyBodies[MessageType.loadsRequest] = {entries: loads};
				return reply as never;
			}

			const {hash, content} = table.chunks[0];
			const bytes = new TextEncoder().encode(content);
			return (type === MessageType.configPartRequest ? {hash, content: bytes, sizeBytes: bytes.length} : {controlIncarnation: 'inc-self'}) as never;
		},
		onOpen(_peer, link) {
			links.push(link);
		},
		onClose() {/* Nothing to clean up. */},
	}));
	const settings = lookupSettingsSchema.parse({location, listen: {host: '127.0.0.1', port: 0}, controlAddress: listener.address});
	const daemon = await startLookup(settings, {
		timers, transport: network.transport('lookup'), logger: createMemoryLogger(lines), blocks,
	});
	await timers.advance(10);
	const send = async (body: SnapshotBody) => {
		for (const page of fullSnapshotPages(body)) {
			links.at(-1)!.send(MessageType.snapshotDelta, page);
		}

		await timers.advance(10);
	};

	return {
		daemon, timers, send, network,
	};
}

type Body = {code?: number; ttlMs?: number; orderKeyPrefix?: string; revision?: number; endpoints?: Array<{vm: string; region: string}>};

async function get(url: string): Promise<{status: number; headers: Headers; body: Body}> {
	const response = await fetch(url);
	return {status: response.status, headers: response.headers, body: await response.json() as Body};
}

test.before(() => {
	process.setMaxListeners(0);
});

// Guards against malformed answers, wrong home regions and order keys with the wrong control daemon.
test('answers look-ups from the snapshot and continues without a control daemon', async t => {
	const lines: Array<Record<string, unknown>> = [];
	const {daemon, send, timers, network} = await startDaemon(lines);
	const early = await get(`${daemon.url}/v1/lookup?service=booking&from=10.1.2.3`);
	t.is(early.body.code, ResultCode.lookupNotReady);
	const unready = await get(`${daemon.url}/readyz`);
	t.is(unready.status, 503);
	await send({...snapshot, blocks: table.index});
	await timers.advance(2000);
	const matched = await get(`${daemon.url}/v1/lookup?service=booking&from=10.1.2.3`);
	t.is(matched.status, 200);
	t.is(matched.headers.get('x-fescuewick-code'), '1000');
	t.deepEqual(matched.body.endpoints!.map(endpoint => endpoint.vm), ['t1']);
	t.is(matched.body.orderKeyPrefix, `fw1.t1.inc-t1.${Math.floor(timers.wallClockMs() / 1000) * 1000}.`);
	t.is(matched.body.ttlMs, 5000);
	t.is(matched.body.revision, 3);
	network.kill('control');
	await timers.advance(60_000);
	const unknown = await get(`${daemon.url}/v1/lookup?service=booking&from=2001:db8::1`);
	t.deepEqual(unknown.body.endpoints!.map(endpoint => endpoint.region), ['addis', 'addis']);
	t.is(lines.filter(line => line.decision === 'lookup').length, 3);
	const ready = await get(`${daemon.url}/readyz`);
	t.is(ready.status, 200);
	await daemon.stop();
});

// Guards against a planned stop that interrupts a partially received request or waits for keep-alive connections.
test('a stop answers the request in progress and closes its connection', async t => {
	const {daemon, send} = await startDaemon([], new BlockTable());
	await send(snapshot);
	const socket = connect(Number(new URL(daemon.url).port), '127.0.0.1');
	const received: string[] = [];
	socket.on('data', chunk => {
		received.push(chunk.toString());
	});
	socket.write('GET /v1/lookup?service=booking&from=10.0.0.1 HTTP/1.1\r\nHost: a\r\n');
	await once(socket, 'connect');
	await settle(20);
	const stopped = daemon.stop();
	await settle(20);
	const ended = once(socket, 'close');
	socket.write('\r\n');
	await Promise.all([stopped, ended]);
	t.regex(received.join(''), /^HTTP\/1\.1 200 .*\r\nConnection: close\r\n.*"endpoints":\[/s);
	await t.throwsAsync(fetch(`${daemon.url}/healthz`));
});

// Guards against malformed input that is answered without an error code.
test('rejects malformed look-ups with error codes', async t => {
	const {daemon, send} = await startDaemon([], new BlockTable());
	await send(snapshot);
	const malformedQueries = [
		'service=booking&from=',
		'from=10.0.0.1',
		'service=&from=10.0.0.1',
		'service=booking&service=booking&from=10.0.0.1',
		'service=booking&from=10.0.0.1&from=10.0.0.2',
		'service=booking&from=10.0.0.256',
		'service=booking&from=010.0.0.1',
		'service=booking&from=10.0.0.0/33',
		'service=booking&from=::1/129',
		'service=booking&from=fe80::1%25eth0',
		'service=booking&from=10.0.0.0/',
		`service=${'x'.repeat(65)}&from=10.0.0.1`,
		'service=booking&from=10.0.0.1&weight=3',
	];
	for (const query of malformedQueries) {
		const {status, headers, body} = await get(`${daemon.url}/v1/lookup?${query}`);
		t.is(status, 400, `for ${query}`);
		t.is(body.code, ResultCode.malformedRequest, `for ${query}`);
		t.is(headers.get('x-fescuewick-code'), '1100', `for ${query}`);
	}

	const unknown = await get(`${daemon.url}/v1/lookup?service=other&from=10.0.0.1`);
	t.like(unknown.body, errorBody(ResultCode.serviceUnknown, 'service other is not configured'));
	const nowhere = await get(`${daemon.url}/nowhere`);
	t.is(nowhere.body.code, ResultCode.noRoute);
	for (const from of ['10.0.0.1', '10.0.0.0/24', '::1', '2001:db8::/32', '::ffff:10.0.0.1', '2001:db8::10.0.0.1']) {
		const {status} = await get(`${daemon.url}/v1/lookup?service=booking&from=${from}`);
		t.is(status, 200, `for ${from}`);
	}

	const metrics = await fetch(`${daemon.url}/metrics`);
	t.regex(await metrics.text(), /fescuewick_lookups_total{reason="malformedRequest"[^}]*} 13/);
	await daemon.stop();
	await settle();
});

// Guards against a prefix that entry VMs reject as malformed: the look-up daemon and the claim authority must use the same format.
test('a completed order key prefix contains the VM and the incarnation of its control daemon', async t => {
	const {daemon, send, timers} = await startDaemon([], new BlockTable());
	const incarnation = createIncarnation('a1', timers);
	await send({
		...snapshot, controlIncarnation: incarnationId(incarnation), vmStates: [{vm: 'a1', ready: true, incarnation: incarnationId(incarnation)}], members: [snapshot.members[0]],
	});
	const {body} = await get(`${daemon.url}/v1/lookup?service=booking&from=10.0.0.1`);
	const {form, ticket} = parseOrderKey(`${body.orderKeyPrefix}77`);
	t.is(form, OrderKeyForm.ticket);
	t.deepEqual(ticket, {vm: 'a1', incarnation: ticketIncarnation(incarnationId(incarnation)), issuedAtMs: Math.floor(timers.wallClockMs() / 1000) * 1000});
	await daemon.stop();
});

// Guards against loads that reach the look-up daemon only with snapshots, which are sent only when something else changes: loads then became older than 5 s, and a recovering region was not admitted again.
test('loads are requested between snapshots', async t => {
	const load: LoadEntry = {
		service: 'booking', failureDomain: 'addis-1', region: 'addis', capacityPerS: 100, loadPerS: 10, cold: false, bytesPerRequest: 1000, ageMs: 0,
	};
	const {daemon, send, timers} = await startDaemon([], undefined, [load]);
	const snapshotWith = (ready: boolean): SnapshotBody => ({
		...snapshot, members: snapshot.members.slice(0, 1), loads: [load], vmStates: [{vm: 'a1', ready, incarnation: 'inc-a1'}],
	});
	const countServed = async () => {
		const answers = await Promise.all(Array.from({length: 20}, async (_, index) => get(`${daemon.url}/v1/lookup?service=booking&from=10.0.${index}.1`)));
		return answers.filter(({status}) => status === 200).length;
	};

	await send(snapshotWith(true));
	t.is(await countServed(), 20);
	await send(snapshotWith(false));
	await timers.advance(1000);
	await send(snapshotWith(true));
	t.is(await countServed(), 0);
	await timers.advance(15_000);
	t.is(await countServed(), 20);
	await daemon.stop();
});
