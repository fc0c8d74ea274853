import {setTimeout as sleep} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {type Gateway} from './gateway.js';
import {
	answerOk, headerOf, type FakeBackendServer, type ReceivedRequest,
} from './testing/fake-backend-server.js';
import {configuration, route, workspace} from './testing/fixtures.js';
import {addBackend, waitUntil} from './testing/gateway-steps.js';
import {RawClient, requestText} from './testing/raw-client.js';
import {startGateway, storeWith} from './testing/start-gateway.js';

const waitMs = 5000;

type Started = {readonly gateway: Gateway; readonly server: FakeBackendServer; readonly openClient: () => Promise<RawClient>};

/** Starts a gateway, and a server that works for the milliseconds of the query `ms` and answers with `bytes` bytes. */
async function startWith(t: ExecutionContext, {checkTimeoutMs = 5000}: {readonly checkTimeoutMs?: number} = {}): Promise<Started> {
	const store = storeWith(configuration(1, {
		routes: [
			route({name: 'check', pathPrefix: '/check/', timeoutMs: checkTimeoutMs}),
			route({name: 'browse', pathPrefix: '/browse/', timeoutMs: 5000}),
			route({
				name: 'upload', pathPrefix: '/upload/', isRepeatable: false, timeoutMs: 5000,
			}),
		],
		workspaces: [workspace('acme')],
	}));
	const numberIn = ({head}: ReceivedRequest, name: string) => Number(new RegExp(`${name}=(\\d+)`).exec(head)?.[1] ?? 0);
	const server = await addBackend(t, store, {
		id: 's1', slots: 64, onRequest(socket, request) {
			setTimeout(() => {
				answerOk(socket, request, 'x'.repeat(numberIn(request, 'bytes')));
			}, numberIn(request, 'ms'));
		},
	});
	const {gateway, settings} = await startGateway({store, bounds: {graceMs: 6000}});
	t.teardown(async () => gateway.stop());
	return {
		gateway, server, async openClient() {
			const client = await RawClient.open(t, settings.listen.entry);
			client.request('GET', '/check/1?ms=1', {id: 'first'});
			await client.waitFor(1, waitMs);
			client.responses.length = 0;
			return client;
		},
	};
}

const idsOf = (client: RawClient) => client.responses.map(({id}) => id);

/** Ids of the requests that the server got and their client has no response to. */
function lostIds(server: FakeBackendServer, client: RawClient): string[] {
	const answered = new Set(['first', ...idsOf(client)]);
	return server.requests.map(request => headerOf(request, 'test-id')).filter(id => !answered.has(id));
}

test.serial('requests that were sent ahead are all answered when their VM is stopped', async t => {
	// Guards against a connection that is closed behind one response while servers run the requests behind it.
	const {gateway, server, openClient} = await startWith(t);
	const client = await openClient();
	for (const [index, ms] of [600, 800, 1000].entries()) {
		client.request('GET', `/check/1?ms=${ms}`, {id: `r-${index}`});
	}

	await waitUntil(() => server.requests.length === 4);
	const stopped = gateway.stop();
	await client.waitFor(3, waitMs);
	t.deepEqual(idsOf(client), ['r-0', 'r-1', 'r-2']);
	t.deepEqual(client.responses.map(({isClosing}) => isClosing), [false, false, true]);
	await waitUntil(() => client.isEnded);
	await stopped;
});

test.serial('requests behind one that the stopping VM fails itself are answered', async t => {
	// Guards against an error answer that closes the connection of requests which run.
	const {gateway, server, openClient} = await startWith(t, {checkTimeoutMs: 500});
	const client = await openClient();
	client.request('GET', '/check/1?ms=3000', {id: 'r-0'});
	client.request('GET', '/browse/1?ms=1000', {id: 'r-1'});
	client.request('GET', '/browse/1?ms=1200', {id: 'r-2'});
	await waitUntil(() => server.requests.length === 4);
	const stopped = gateway.stop();
	await client.waitFor(3, waitMs);
	t.deepEqual(client.responses.map(({id, status}) => [id, status]), [['r-0', 504], ['r-1', 200], ['r-2', 200]]);
	await stopped;
});

test.serial('requests behind one with a long answer are answered by a stopping VM', async t => {
	// Guards against a streamed answer that closes the connection of requests which run.
	const {gateway, server, openClient} = await startWith(t);
	const client = await openClient();
	client.request('GET', '/check/1?ms=300&bytes=300000', {id: 'r-0'});
	client.request('GET', '/check/1?ms=800', {id: 'r-1'});
	await waitUntil(() => server.requests.length === 3);
	const stopped = gateway.stop();
	await client.waitFor(2, waitMs);
	t.deepEqual(client.responses.map(({id, body}) => [id, body.length]), [['r-0', 300_000], ['r-1', 0]]);
	await stopped;
});

test.serial('no request that comes during a stop behind one that runs is lost', async t => {
	// Guards against requests that are passed on behind a response which has announced the end of the connection.
	const {gateway, server, openClient} = await startWith(t);
	const client = await openClient();
	client.request('GET', '/check/1?ms=1500', {id: 'r-0'});
	await waitUntil(() => server.requests.length === 2);
	const stopped = gateway.stop();
	for (const [index, path] of ['/none/1', '/check/1?ms=10', '/none/1', '/check/1?ms=900'].entries()) {
		await sleep(100);
		client.request('GET', path, {id: `late-${index}`});
	}

	await waitUntil(() => client.isEnded);
	t.is(client.responses[0].id, 'r-0');
	t.true(client.responses.at(-1)!.isClosing);
	t.deepEqual(lostIds(server, client), []);
	await stopped;
});

test.serial('a client that still sends an upload when its answer closes the connection gets the whole answer', async t => {
	// Guards against an answer that is lost because a connection with unread data is reset.
	const {gateway, server, openClient} = await startWith(t);
	const client = await openClient();
	server.onHead = (socket, head) => {
		if (head.startsWith('POST ')) {
			answerOk(socket, {head, body: ''}, 'x'.repeat(200_000));
		}
	};

	let error: Error | undefined;
	client.socket.on('error', failure => {
		error = failure;
	});
	client.request('POST', '/upload/1', {id: 'upload', headers: 'content-length: 600000\r\n'});
	const stopped = gateway.stop();
	for (let part = 0; part < 30; part++) {
		client.socket.write('x'.repeat(20_000));
		await sleep(20);
	}

	await waitUntil(() => client.isEnded);
	t.deepEqual(client.responses.map(({id, body, isClosing}) => [id, body.length, isClosing]), [['upload', 200_000, true]]);
	t.is(error, undefined);
	await stopped;
});

test.serial('a request is answered although malformed data follows it and it runs for longer than connections linger', async t => {
	// Guards against a connection that is closed as lingering while a server runs its requests.
	const {openClient} = await startWith(t);
	const client = await openClient();
	client.socket.write(`${requestText('GET', '/check/1?ms=3500', {id: 'r-0'})}not HTTP\r\n\r\n`);
	await client.waitFor(2, waitMs);
	t.deepEqual(client.responses.map(({status}) => status), [200, 400]);
});
