import process from 'node:process';
import test, {registerCompletionHandler, type ExecutionContext} from 'ava';
import {keyHeaderName} from '@fescuewick/platform/stand-ins';
import {sleep} from '../caller.js';
import {Crowd, type Sending} from './crowd.js';
import {
	GatewayUnderTest, host, key, Listener, type GatewayOptions,
} from './gateway-under-test.js';

// Connections that stay open after the tests would keep the test process running.
registerCompletionHandler(() => {
	process.exit();
});

/** Clients of a crowd; as many ended processes on the second deployment. */
const crowdSize = 24;
/** Time for which a crowd sends, in milliseconds. */
const crowdMs = 5000;
/** Memory of the smallest VM, in MB. */
const memoryMb = 202;
/** Descriptors of the process; a tenth of them is set aside, as 200 of 2,069 on the smallest VM. */
const descriptors = 400;
const usableDescriptors = 360;
/** Limit of the heap, in MB; lower than that of the deploy file, so that a few clients reach it within seconds. */
const heapMb = 64;
/** Length of the log of one crowd, in bytes. */
const maxLogBytes = 2_097_152;

type CrowdCase = Partial<GatewayOptions> & {
	/** Failure that the test guards against. */
	readonly title: string;
	readonly listener: Listener;
	readonly sending: Sending;
	readonly size?: number;
	/** Path of the ordinary request at the listener, after the one on the front address. */
	readonly ordinaryPath?: string;
};

const get = (path: string, headers = '', hostName = host) => `GET ${path} HTTP/1.1\r\nHost: ${hostName}\r\n${headers}\r\n`;
const keyHeader = `${keyHeaderName}: ${key}\r\n`;

const cases: CrowdCase[] = [
	{title: 'requests of a route without the usual headers', listener: Listener.entry, sending: {repeated: get('/check/a')}},
	{title: 'requests of the shortest form', listener: Listener.entry, sending: {repeated: 'GET / HTTP/1.1\r\nHost:\r\n\r\n'}},
	{title: 'requests without a host header', listener: Listener.entry, sending: {repeated: 'GET / HTTP/1.1\r\n\r\n'}},
	{title: 'requests of the readiness path at the front address', listener: Listener.entry, sending: {repeated: get('/ready')}},
	{title: 'requests of a path without a route', listener: Listener.entry, sending: {repeated: get(`/nowhere/${'a'.repeat(500)}`)}},
	{title: 'requests of a host without a route', listener: Listener.entry, sending: {repeated: get('/check/a', '', 'other.test')}},
	{title: 'requests with unknown keys', listener: Listener.entry, sending: {repeated: get('/check/a', `${keyHeaderName}: unknown\r\n`)}},
	{title: 'refused requests with a long request id', listener: Listener.entry, sending: {repeated: get('/nowhere', `X-Request-Id: ${'i'.repeat(8000)}\r\n`)}},
	{title: 'a body that never ends, behind refused requests', listener: Listener.entry, sending: {first: `${get('/nowhere').repeat(200)}POST /nowhere HTTP/1.1\r\nHost: ${host}\r\nTransfer-Encoding: chunked\r\n\r\n`, repeated: '1000\r\n' + 'b'.repeat(4096) + '\r\n'}},
	{title: 'bodies in pieces of a few bytes, behind refused requests', listener: Listener.entry, sending: {first: `${get('/nowhere').repeat(200)}POST /nowhere HTTP/1.1\r\nHost: ${host}\r\nTransfer-Encoding: chunked\r\n\r\n`, repeated: '1\r\nb\r\n'}},
	{
		title: 'admitted requests with large responses', listener: Listener.entry, sending: {repeated: get('/check/a', keyHeader)}, answerBytes: 200_000,
	},
	{
		title: 'refused requests behind a slow response', listener: Listener.entry, sending: {first: get('/check/a', keyHeader), repeated: get('/nowhere')}, workMs: 7000,
	},
	{
		title: 'requests of the readiness path at the readiness address', listener: Listener.readiness, sending: {repeated: get('/ready')}, ordinaryPath: '/ready',
	},
	{
		title: 'look-ups at the directory address', listener: Listener.directory, sending: {repeated: get('/resolve?zone=domain-a&region=region-a')}, ordinaryPath: '/resolve?zone=domain-a&region=region-a',
	},
	{
		title: 'requests of members at the peers address', listener: Listener.peers, sending: {repeated: get('/v1/members')}, ordinaryPath: '/v1/members',
	},
	{
		title: 'requests of a collection at the peers address', listener: Listener.peers, sending: {repeated: get('/v1/collections/configurations')}, ordinaryPath: '/v1/members',
	},
	{
		title: 'requests at the metrics address', listener: Listener.metrics, sending: {repeated: get('/metrics')}, ordinaryPath: '/metrics',
	},
	{
		title: 'connections without a request, more than descriptors', listener: Listener.entry, sending: {}, size: 500,
	},
	{
		title: 'connections without a request at the metrics address, more than descriptors', listener: Listener.metrics, sending: {}, size: 500, ordinaryPath: '/metrics',
	},
	{
		title: 'requests on as many connections as descriptors', listener: Listener.entry, sending: {repeated: get('/nowhere')}, size: 300,
	},
];

async function checkCrowd(t: ExecutionContext, {title, listener, sending, size, ordinaryPath, ...options}: CrowdCase): Promise<void> {
	const gateway = await GatewayUnderTest.start(t, {heapMb, descriptors, ...options});
	const crowd = new Crowd(gateway.ports.get(listener)!, size ?? crowdSize, sending);
	t.teardown(() => {
		crowd.end();
	});
	await sleep(crowdMs);
	crowd.stopSending();
	const front = await gateway.ordinaryRequest(Listener.entry, '/check/a');
	const other = ordinaryPath === undefined ? '200' : await gateway.ordinaryRequest(listener, ordinaryPath);
	const {peakMb, peakDescriptors, logBytes, ended} = gateway.measurements;
	t.log(`${title}: peak ${peakMb} MB, ${peakDescriptors} descriptors, ${logBytes} bytes of log, ended ${ended}, ordinary requests ${front} and ${other}`);
	t.is(ended, undefined, 'the process ended');
	t.is(front, '200', 'an ordinary request at the front address');
	t.is(other, '200', 'an ordinary request at the listener of the crowd');
	t.true(peakMb < memoryMb, `${peakMb} MB of memory`);
	t.true(peakDescriptors <= usableDescriptors, `${peakDescriptors} descriptors`);
	t.true(logBytes < maxLogBytes, `${logBytes} bytes of log`);
}

// Each case guards against a process that ends, hangs, or uses more memory, descriptors or log than a VM has, because clients send without reading the responses.
for (const crowdCase of cases) {
	test.serial(`a gateway outlives ${crowdCase.title}`, async t => {
		t.timeout(90_000);
		await checkCrowd(t, crowdCase);
	});
}

// Guards against a stop that cuts accepted requests, or that does not end, because clients hold connections without reading.
test.serial('a planned stop answers the requests in progress and ends in time while clients read nothing', async t => {
	t.timeout(90_000);
	const gateway = await GatewayUnderTest.start(t, {heapMb, descriptors, workMs: 1500});
	const crowd = new Crowd(gateway.ports.get(Listener.entry)!, crowdSize, {repeated: get('/nowhere')});
	t.teardown(() => {
		crowd.end();
	});
	await sleep(1000);
	const requests = Array.from({length: 20}, async () => gateway.ordinaryRequest(Listener.entry, '/check/a'));
	await sleep(700);
	const stopped = gateway.stop();
	t.deepEqual(await Promise.all(requests), requests.map(() => '200'));
	t.is(await stopped, 0);
});
