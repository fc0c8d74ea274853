import {Buffer} from 'node:buffer';
import {createSocket} from 'node:dgram';
import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {freePorts, rendezvousOrder} from '@fescuewick/core';
import {Collection} from '@fescuewick/store';
import {configuration, vmRecord, workspace} from '../testing/fixtures.js';
import {
	addBackend, start, statusOf, waitUntil,
} from '../testing/gateway-steps.js';
import {storeWith} from '../testing/start-gateway.js';
import {encodeHeartbeat} from './heartbeat.js';
import {
	decodePoolMessage, encodePoolMessage, PoolMessageKind, poolMessageMark, type PoolMessage,
} from './pool-message.js';
import {StoreAccess} from './store-readers.js';

type TokenRequest = PoolMessage & {readonly kind: PoolMessageKind.tokenRequest};

/** A stand-in for the VM that owns the pool of `acme` in the failure domain of a gateway. */
async function startWithOwner(t: ExecutionContext, onRequest: (reply: (isGranted: boolean) => void) => void) {
	const store = storeWith(configuration(1, {workspaces: [workspace('acme', {ratePerS: 4, burst: 4})]}));
	const backend = await addBackend(t, store, {id: 's1'});
	const {settings, lines, call} = await start(t, {store});
	const vm = Array.from({length: 20}, (_, index) => `b${index}`).find(name => rendezvousOrder('acme', ['a1', name])[0] === name)!;
	const [port] = await freePorts(1);
	const [gatewayHost, gatewayPort] = settings.listen.heartbeats.split(':');
	const socket = createSocket('udp4');
	socket.bind(port, '127.0.0.1');
	await once(socket, 'listening');
	const send = (firstByte: number, content: Buffer) => {
		socket.send([Buffer.of(firstByte), content], Number(gatewayPort), gatewayHost);
	};

	const requests: TokenRequest[] = [];
	socket.on('message', datagram => {
		const message = datagram[0] === poolMessageMark ? decodePoolMessage(datagram.subarray(1)) : undefined;
		if (message?.kind === PoolMessageKind.tokenRequest) {
			requests.push(message);
			onRequest(isGranted => {
				send(poolMessageMark, encodePoolMessage({
					kind: PoolMessageKind.tokenReply, vm, id: message.id, isGranted,
				}));
			});
		}
	});
	let sequence = 0;
	const sendHeartbeat = () => {
		sequence++;
		send(0, encodeHeartbeat({
			record: vmRecord(vm, settings.location.failureDomain, port),
			incarnation: 1,
			sequence,
			isReady: true,
			storeAccess: StoreAccess.idle,
			storeEra: 0,
			revisions: {
				[Collection.configurations]: {valid: -1, changed: -1}, [Collection.backends]: {valid: -1, changed: -1}, [Collection.evacuations]: {valid: -1, changed: -1},
			},
			storeReadings: {},
			buckets: {},
			slotDemand: {free: {}, bound: {}},
			shiftedFractions: {},
		}));
	};

	const timer = setInterval(sendHeartbeat, 250);
	t.teardown(() => {
		clearInterval(timer);
		socket.close();
	});
	// Until then the bucket has refilled from its start.
	await sleep(3500);
	const refusals = () => lines.filter(({event, status}) => event === 'request' && status === 429);
	const departures = () => lines.filter(({event, outcome}) => event === 'request' && outcome === 'callerLeft');
	return {
		settings, call, requests, refusals, departures, backend,
	};
}

test('a VM without tokens of its own gets one from the owner of the pool', async t => {
	// Guards against refusals at VMs whose share is smaller than a request.
	const {call, requests, backend} = await startWithOwner(t, reply => {
		reply(true);
	});
	t.is(await statusOf(call('/check/1')), 200);
	t.is(requests.length, 1);
	t.is(backend.requests.filter(({head}) => head.startsWith('GET /check')).length, 1);
});

test('a refusal says that the pool was asked and had no token', async t => {
	const {call, requests, refusals} = await startWithOwner(t, reply => {
		reply(false);
	});
	t.is(await statusOf(call('/check/1')), 429);
	t.is(requests.length, 1);
	t.is(refusals()[0].pool, 'denied');
});

test('a VM uses its own share while the owner does not reply', async t => {
	// Guards against a frozen owner that stops the requests of its failure domain, or delays each of them.
	const {call, requests} = await startWithOwner(t, () => undefined);
	const statuses: number[] = [];
	for (let index = 0; index < 2; index++) {
		statuses.push(await statusOf(call('/check/1')));
	}

	t.deepEqual(statuses, [200, 200]);
	t.is(requests.length, 1);
});

test('the request of a caller that leaves while a token is borrowed is not forwarded', async t => {
	// Guards against work for callers whose close arrives together with the token.
	const callers: Socket[] = [];
	const {settings, call, requests, backend, departures} = await startWithOwner(t, reply => {
		callers[0]?.destroy();
		reply(true);
	});
	// The connection to the server is open by then, so that a request could be sent at once.
	t.is(await statusOf(call('/check/1')), 200);
	const [host, port] = settings.listen.entry.split(':');
	const caller = connect(Number(port), host);
	callers.push(caller);
	await once(caller, 'connect');
	caller.write('GET /check/2 HTTP/1.1\r\nhost: 127.0.0.1\r\ntest-key: key-acme\r\n\r\n');
	await waitUntil(() => requests.length === 2);
	await waitUntil(() => departures().length > 0);
	t.is(departures()[0].attempts, 0);
	await sleep(300);
	t.is(backend.requests.filter(({head}) => head.startsWith('GET /check/2')).length, 0);
});
