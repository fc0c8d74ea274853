import {connect, createServer, type AddressInfo} from 'node:net';
import {Buffer} from 'node:buffer';
import test from 'ava';
import {
	createIncarnation, FescuewickError, ManualTimerService, ResultCode, SystemTimerService, type TimerService,
} from '@fescuewick/core';
import {
	MemoryNetwork, MessageType, Role, TcpTransport, type HeartbeatBody, type Link, type LinkOptions,
} from './index.js';

type Endpoint = {options: LinkOptions; opened: Link[]; closed: ResultCode[]; heartbeats: HeartbeatBody[]; received: MessageType[]};

function createEndpoint(vm: string, timers: TimerService, onRequest: LinkOptions['onRequest'] = neverAnswers): Endpoint {
	const result: Endpoint = {
		opened: [], closed: [], heartbeats: [], received: [], options: undefined as never,
	};
	result.options = {
		timers,
		hello: {role: Role.control, location: {vm, failureDomain: 'd', region: 'r'}, incarnation: createIncarnation(vm, timers)},
		heartbeat: () => ({revision: 3, freshnessAgeMs: 120, storeReachable: true}),
		onMessage(type, body) {
			result.received.push(type);
			if (type === MessageType.heartbeat) {
				result.heartbeats.push(body as HeartbeatBody);
			}
		},
		onRequest,
		onOpen(_peer, link) {
			result.opened.push(link);
		},
		onClose(reason) {
			result.closed.push(reason.code);
		},
	};
	return result;
}

function replyWith(body: (timers: TimerService) => Promise<unknown>): (timers: TimerService) => LinkOptions['onRequest'] {
	return timers => (async () => body(timers)) as LinkOptions['onRequest'];
}

async function connectPair(onRequest: (timers: TimerService) => LinkOptions['onRequest'] = () => neverAnswers) {
	const timers = new ManualTimerService();
	const network = new MemoryNetwork(timers);
	network.delayMs = 10;
	const [first, second] = [createEndpoint('a', timers), createEndpoint('b', timers, onRequest(timers))];
	await network.transport('b').listen('b:1', () => second.options);
	const link = network.transport('a').connect('b:1', first.options);
	await timers.advance(50);
	return {
		timers, network, first, second, link,
	};
}

/** Leaves requests pending while the link is open. */
const neverAnswers: LinkOptions['onRequest'] = async (_type, _body, link) => new Promise<never>((_resolve, reject) => {
	if (link.closed) {
		reject(new Error('link is closed'));
	}
});

async function rejectionCode(promise: Promise<unknown>): Promise<ResultCode | undefined> {
	try {
		await promise;
		return undefined;
	} catch (error) {
		return error instanceof FescuewickError ? error.code : undefined;
	}
}

// Guards against a link that stays open though nothing arrives, and against requests that stay pending on it forever.
test('a link to a silent peer is closed at the silence timeout, and its requests are rejected', async t => {
	const {timers, network, first, link} = await connectPair();
	network.silence('a', 'b');
	const code = rejectionCode(link.request(MessageType.revocations, {keyHashes: []}, 60_000));
	await timers.advance(1600);
	t.true(link.closed);
	t.deepEqual(first.closed, [ResultCode.peerSilent]);
	t.is(await code, ResultCode.peerSilent);
});

// Guards against matching an answer that arrives after its request timed out to another request.
test('a late answer is dropped', async t => {
	const answers = [400, 600];
	const {timers, link} = await connectPair(replyWith(async timers => {
		const delayMs = answers.shift() ?? 0;
		await timers.sleep(delayMs);
		return {known: delayMs};
	}));
	const late = rejectionCode(link.request(MessageType.revocations, {keyHashes: []}, 100));
	await timers.advance(150);
	t.is(await late, ResultCode.requestToPeerTimeout);
	const next = link.request(MessageType.revocations, {keyHashes: []}, 1000);
	await timers.advance(1000);
	t.deepEqual(await next, {known: 600});
});

// Guards against requests that stay pending after the peer closed the link, and against new requests on a closed link.
test('requests are rejected when the peer closes the link, and later ones too', async t => {
	const {timers, first, second, link} = await connectPair();
	const code = rejectionCode(link.request(MessageType.revocations, {keyHashes: []}, 60_000));
	second.opened[0].send(MessageType.goodbye, {reason: 'shutdown'});
	second.opened[0].close();
	await timers.advance(20);
	t.is(await code, ResultCode.peerClosed);
	t.true(first.received.includes(MessageType.goodbye), 'the goodbye arrives before the link closes');
	t.is(await rejectionCode(link.request(MessageType.revocations, {keyHashes: []}, 100)), ResultCode.peerClosed);
	t.deepEqual(first.closed, [ResultCode.peerClosed]);
});

// Guards against an answer that exceeds the frame limit: the peer got no reply, and the process had an unhandled rejection.
test('an answer larger than a frame becomes an error answer', async t => {
	const {timers, link} = await connectPair(replyWith(async () => ({hash: '', content: Buffer.alloc(2 ** 21), sizeBytes: 0})));
	const code = rejectionCode(link.request(MessageType.configPartRequest, {hash: '', offsetBytes: 0}, 1000));
	await timers.advance(100);
	t.is(await code, ResultCode.frameTooLarge);
	t.false(link.closed);
});

// Guards against treating heartbeats that waited in a buffer as recent: `transitMs` must never be less than the transit time.
test('the transit bound of a heartbeat covers its transit time', async t => {
	const {timers, network, first} = await connectPair();
	await timers.advance(1200);
	const normal = first.heartbeats.at(-1)?.transitMs ?? Number.NaN;
	t.true(normal >= 10 && normal <= 25, `${normal} ms for 10 ms each way`);
	t.like(first.heartbeats.at(-1), {
		revision: 3, freshnessAgeMs: 120, storeReachable: true, epochs: undefined,
	});
	network.pause('a');
	await timers.advance(900);
	const count = first.heartbeats.length;
	network.resume('a');
	t.true(first.heartbeats.length > count);
	// The first buffered heartbeat waited for at least 400 ms: it was sent within one interval of the pause.
	t.true((first.heartbeats[count].transitMs ?? Number.NaN) >= 400);
});

// Guards against closing links whose frames wait to be read because this process was stalled.
test('a delayed silence check does not close the link before waiting frames are read', async t => {
	const {timers, link} = await connectPair();
	timers.pause(1800);
	await timers.advance(300);
	t.false(link.closed);
	await timers.advance(3000);
	t.false(link.closed);
});

// Guards against malformed bytes on a socket that crash the process instead of closing the connection.
test('a TCP peer that sends no frames, or nothing, is closed', async t => {
	const timers = new SystemTimerService();
	const accepted = createEndpoint('b', timers);
	const transport = new TcpTransport();
	const listener = await transport.listen('127.0.0.1:0', () => accepted.options);
	const socket = connect({host: '127.0.0.1', port: Number(listener.address.split(':')[1])});
	socket.on('error', () => 0);
	socket.write(Buffer.from('GET / HTTP/1.1\r\n\r\n'));
	const silentServer = createServer();
	await new Promise<void>(resolve => {
		silentServer.listen(0, '127.0.0.1', resolve);
	});
	const connecting = createEndpoint('a', timers);
	transport.connect(`127.0.0.1:${(silentServer.address() as AddressInfo).port}`, connecting.options);
	await timers.sleep(2000);
	t.deepEqual(accepted.closed, [ResultCode.frameTooLarge]);
	t.deepEqual(connecting.closed, [ResultCode.peerSilent]);
	socket.destroy();
	silentServer.close();
	await listener.close();
});

// Guards against heartbeats that run forever, and keep the process alive, for a link that was closed before its connection was up.
test('a link that is closed while it connects starts no heartbeat', async t => {
	let running = 0;
	class CountingTimers extends SystemTimerService {
		override repeat(intervalMs: number, callback: () => void) {
			const cancel = super.repeat(intervalMs, callback);
			running++;
			return () => {
				running--;
				cancel();
			};
		}
	}
	const timers = new CountingTimers();
	const transport = new TcpTransport();
	const listener = await transport.listen('127.0.0.1:0', () => createEndpoint('b', new SystemTimerService()).options);
	const link = transport.connect(listener.address, createEndpoint('a', timers).options);
	link.close();
	await timers.sleep(100);
	t.is(running, 0);
	await listener.close();
});
