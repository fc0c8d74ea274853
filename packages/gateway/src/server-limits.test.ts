import {setTimeout as sleep} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {Collection} from '@fescuewick/store';
import {headerOf, type FakeBackendServer, type RequestListener} from './testing/fake-backend-server.js';
import {type BackendRecord} from './model/records.js';
import {configuration, route} from './testing/fixtures.js';
import {
	addBackend, resultCodeOf, start, waitUntil,
} from './testing/gateway-steps.js';
import {type MemoryCollectionStore} from './testing/memory-collection-store.js';
import {type StartedGateway, storeWith} from './testing/start-gateway.js';

/** Answers with a limit on the server's requests; without a header if it is undefined. */
const answerWithLimit = (limit: number | string | undefined): RequestListener => (socket, request) => {
	const limitHeader = limit === undefined ? '' : `test-limit: ${limit}\r\n`;
	socket.write(`HTTP/1.1 200 OK\r\ntest-id: ${headerOf(request, 'test-id')}\r\ntest-proof: 1\r\n${limitHeader}content-length: 2\r\n\r\nok`);
};

function shopStore(): MemoryCollectionStore {
	return storeWith(configuration(1, {routes: [route(), route({name: 'reserve', pathPrefix: '/reserve/', isRepeatable: false})]}));
}

const callOrder = async ({call}: StartedGateway) => call('/reserve/1', {method: 'POST', body: 'x'});
const hasEvent = ({lines}: StartedGateway, event: string, source: string) => lines.some(line => line.event === event && line.source === source);

/** Two VMs of a region that know each other. */
async function startPair(t: ExecutionContext, store: MemoryCollectionStore): Promise<readonly [StartedGateway, StartedGateway]> {
	const first = await start(t, {store});
	const second = await start(t, {store, vm: 'a2', failureDomain: 'north-2'});
	await waitUntil(() => [first, second].every(({lines}) => lines.some(({event}) => event === 'peer-regained')));
	return [first, second];
}

/** Sends requests through all VMs, each one after the other, for a time; returns how many reached a server in its last `countedMs`. */
async function countArrivals(server: FakeBackendServer, gateways: readonly StartedGateway[], {durationMs, countedMs}: {readonly durationMs: number; readonly countedMs: number}): Promise<number> {
	const startedAtMs = performance.now();
	let before = 0;
	const timer = setTimeout(() => {
		before = server.requests.length;
	}, durationMs - countedMs);
	await Promise.all(gateways.map(async ({call}, index) => {
		while (performance.now() - startedAtMs < durationMs) {
			await (index % 2 === 0 ? call('/check/1') : call('/reserve/1', {method: 'POST', body: 'x'}));
			await sleep(5);
		}
	}));
	clearTimeout(timer);
	return server.requests.length - before;
}

// The platform's bound for 4 s is one and a half times the limit and five requests.
const limitPerS = 5;

test.serial('a server that names a limit gets no more than that from all VMs together', async t => {
	// Guards against a server in need that gets many times what it said it takes.
	const store = shopStore();
	const limited = await addBackend(t, store, {id: 's1', onRequest: answerWithLimit(limitPerS)});
	await addBackend(t, store, {id: 's2'});
	const gateways = await startPair(t, store);
	const arrivals = await countArrivals(limited, gateways, {durationMs: 4600, countedMs: 4000});
	t.true(arrivals <= limitPerS * 5, `${arrivals}`);
	t.true(arrivals >= limitPerS * 2, `${arrivals}`);
	t.like(gateways[0].lines.find(({event}) => event === 'backend-limited'), {server: 's1', limitPerS});
});

test.serial('peers learn of a limit and of its end without asking the server', async t => {
	const store = shopStore();
	const server = await addBackend(t, store, {id: 's1', onRequest: answerWithLimit(0)});
	const [first, second] = await startPair(t, store);
	const answer = await callOrder(first);
	t.is(answer.status, 200);
	await waitUntil(() => hasEvent(second, 'backend-limited', 'peer'));
	const refusal = await callOrder(second);
	t.is(refusal.status, 503);
	t.is(resultCodeOf(refusal), '1202');
	t.is(server.requests.length, 1);
	server.onRequest = answerWithLimit(20);
	// A restarted server knows nothing of the limit before.
	store.set(Collection.backends, 's1', {...store.recordValue(Collection.backends, 's1') as BackendRecord, startedAtMs: 2});
	await waitUntil(async () => {
		const {status} = await callOrder(first);
		return status === 200;
	});
	await waitUntil(() => second.lines.some(({event, source, limitPerS}) => event === 'backend-limited' && source === 'peer' && limitPerS === 20));
	server.onRequest = answerWithLimit(undefined);
	await waitUntil(async () => {
		await callOrder(first);
		return hasEvent(second, 'backend-limit-ended', 'peer');
	});
});

test.serial('a request that waits is sent when the limit of a server allows another one', async t => {
	// So much time that a stall of a busy machine does not end the wait.
	const store = storeWith(configuration(1, {routes: [route({targetMs: 10_000, timeoutMs: 20_000})]}));
	await addBackend(t, store, {id: 's1', onRequest: answerWithLimit(4)});
	const {call, lines} = await start(t, {store});
	await call('/check/1');
	const responses = await Promise.all([call('/check/1'), call('/check/1')]);
	t.deepEqual(responses.map(({status}) => status), [200, 200]);
	t.true(lines.some(({waitedMs, serverLimitPerS}) => Number(waitedMs) > 100 && serverLimitPerS === 4));
});

test.serial('a limit that cannot be read, and an answer to another request, change nothing', async t => {
	const store = shopStore();
	const server = await addBackend(t, store, {id: 's1', onRequest: answerWithLimit(4)});
	const gateway = await start(t, {store});
	await gateway.call('/check/1');
	server.onRequest = answerWithLimit('few');
	await sleep(300);
	await gateway.call('/check/1');
	server.onRequest = socket => {
		socket.write('HTTP/1.1 200 OK\r\ntest-id: other\r\ntest-proof: 1\r\ncontent-length: 2\r\n\r\nok');
	};

	await sleep(300);
	await callOrder(gateway);
	t.false(gateway.lines.some(({event}) => event === 'backend-limit-ended'));
	t.is(gateway.lines.filter(({event}) => event === 'backend-limited').length, 1);
});
