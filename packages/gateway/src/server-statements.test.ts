import {setTimeout as sleep} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {Collection} from '@fescuewick/store';
import {
	answerOk, headerOf, type FakeBackendServer, type RequestListener,
} from './testing/fake-backend-server.js';
import {type BackendRecord} from './model/records.js';
import {configuration, route} from './testing/fixtures.js';
import {
	addBackend, resultCodeOf, start, statusOf, waitUntil,
} from './testing/gateway-steps.js';
import {type MemoryCollectionStore} from './testing/memory-collection-store.js';
import {storeWith} from './testing/start-gateway.js';

const answerWith = (fields: string, status = '200 OK'): RequestListener => (socket, request) => {
	socket.write(`HTTP/1.1 ${status}\r\ntest-id: ${headerOf(request, 'test-id')}\r\ntest-proof: 1\r\n${fields}content-length: 2\r\n\r\nok`);
};

const answerLeaving = answerWith('test-leaving: 1\r\n');

/** Refuses a request and asks for a pause; its load shows free slots. */
const answerPausing = (pauseMs: number) => answerWith(`test-not-run: 1\r\ntest-load: 0,0\r\ntest-pause: ${pauseMs}\r\n`, '503 Pause');

/** Starts a gateway with two servers of which the first answers with `onRequest`; all requests concern one object whose home is the first server. */
async function startWith(t: ExecutionContext, onRequest: RequestListener) {
	const store = storeWith(configuration(1, {
		routes: [route(), route({
			name: 'reserve', pathPrefix: '/reserve/', isRepeatable: false,
		})],
	}));
	const first = await addBackend(t, store, {id: 's1', onRequest});
	const {call, lines, settings} = await start(t, {store});
	const readMetrics = async () => {
		const response = await fetch(`http://${settings.listen.metrics}/metrics`);
		return response.text();
	};

	return {
		store, first, call, lines, readMetrics,
	};
}

/** Sends requests one after the other; returns how many reached a server. */
async function countArrivals(server: FakeBackendServer, call: (path: string) => Promise<Response>, count = 6): Promise<number> {
	const before = server.requests.length;
	for (let index = 0; index < count; index++) {
		await call('/check/1');
	}

	return server.requests.length - before;
}

function rewriteEntry(store: MemoryCollectionStore, id: string, startedAtMs: number): void {
	store.set(Collection.backends, id, {...store.recordValue(Collection.backends, id) as BackendRecord, startedAtMs});
}

test('a server that says that it is leaving gets no more requests from this VM, whatever the store says', async t => {
	// Guards against requests to a server that ends before its entry in the store changes, as when the store is down.
	const {
		store, first, call, lines, readMetrics,
	} = await startWith(t, answerLeaving);
	t.is(await statusOf(call('/check/1')), 200);
	t.regex(await readMetrics(), /fescuewick_backends{condition="leaving",vm="a1"} 1/);
	const second = await addBackend(t, store, {id: 's2'});
	await waitUntil(async () => {
		await call('/check/1');
		return second.requests.length > 0;
	});
	t.is(first.requests.length, 1);
	t.like(lines.find(({event}) => event === 'backend-leaving'), {server: 's1', source: 'answer'});
	// Its entry is written again, as ready.
	rewriteEntry(store, 's1', 1);
	await sleep(100);
	t.is(await countArrivals(first, call), 0);
});

test('a leaving server is not used again when its entry expires and comes back', async t => {
	const {store, first, call} = await startWith(t, answerLeaving);
	await call('/check/1');
	const value = store.recordValue(Collection.backends, 's1');
	store.unset(Collection.backends, 's1');
	await sleep(100);
	store.set(Collection.backends, 's1', value);
	await sleep(100);
	t.is(await statusOf(call('/check/1')), 503);
	t.is(first.requests.length, 1);
});

test('a server that starts again after leaving is used again', async t => {
	const {store, first, call} = await startWith(t, answerLeaving);
	await call('/check/1');
	first.onRequest = answerOk;
	rewriteEntry(store, 's1', 2);
	await waitUntil(async () => await statusOf(call('/check/1')) === 200);
	t.is(await countArrivals(first, call), 6);
});

test('an answer to another request does not make its server leave', async t => {
	// Guards against a copy of an old answer, as of the server's start before, that takes a server out of use.
	const {first, call} = await startWith(t, (socket, request) => {
		if (headerOf(request, 'test-id') === 'r-1') {
			socket.write('HTTP/1.1 200 OK\r\ntest-id: r-0\r\ntest-proof: 1\r\ntest-leaving: 1\r\ncontent-length: 2\r\n\r\nok');
		} else {
			answerOk(socket, request);
		}
	});
	t.is(await statusOf(call('/check/1', {headers: {'test-id': 'r-1'}})), 502);
	t.is(await countArrivals(first, call), 6);
});

test('a late answer of the start before does not make a restarted server leave', async t => {
	let answerLate: (() => void) | undefined;
	const {store, first, call} = await startWith(t, (socket, request) => {
		if (headerOf(request, 'test-id') === 'r-1') {
			answerLate = () => {
				answerLeaving(socket, request);
			};
		} else {
			answerOk(socket, request);
		}
	});
	const late = call('/reserve/1', {method: 'POST', body: 'x', headers: {'test-id': 'r-1'}});
	await waitUntil(() => answerLate !== undefined);
	rewriteEntry(store, 's1', 2);
	await sleep(100);
	answerLate!();
	t.is(await statusOf(late), 200);
	t.is(await countArrivals(first, call), 6);
});

test('peers learn that a server is leaving without asking it', async t => {
	const {store, first, call, lines} = await startWith(t, answerLeaving);
	const other = await start(t, {vm: 'a2', failureDomain: 'north-2', store});
	await waitUntil(() => lines.some(({event, vm}) => event === 'peer-regained' && vm === 'a2'));
	await call('/check/1');
	await waitUntil(() => other.lines.some(({event, source}) => event === 'backend-leaving' && source === 'peer'));
	t.is(await statusOf(other.call('/check/1')), 503);
	t.is(first.requests.length, 1);
});

test('a server that asks for a pause gets nothing from this VM until it ends', async t => {
	// Guards against requests, second attempts and probes to a server that turned one away and asked for time.
	const pauseMs = 900;
	const {store, first, call, lines} = await startWith(t, answerPausing(pauseMs));
	const second = await addBackend(t, store, {id: 's2'});
	await waitUntil(async () => {
		await call('/check/1');
		return first.requests.length > 0 && second.requests.length > 0;
	});
	const {time: pausedAtMs, ...pause} = lines.find(({event}) => event === 'backend-pausing') as {time: number};
	t.like(pause, {server: 's1', pauseMs});
	const arrivalsAtMs: number[] = [];
	first.onRequest = (socket, request) => {
		arrivalsAtMs.push(Date.now());
		answerOk(socket, request);
	};

	await waitUntil(async () => {
		const responses = await Promise.all([...Array.from({length: 4}, async () => call('/check/1')), call('/reserve/1', {method: 'POST', body: 'x'})]);
		t.true(responses.every(({status}) => status === 200));
		return arrivalsAtMs.length > 0;
	});
	// Both times are cut to whole milliseconds.
	t.true(arrivalsAtMs[0] >= pausedAtMs + pauseMs - 1, `${arrivalsAtMs[0] - pausedAtMs} ms`);
});

test('callers are refused at once and told when the first pause ends if all servers ask for one', async t => {
	// Guards against callers that wait in vain, or that come back too early and are refused again.
	const {call} = await startWith(t, answerPausing(1200));
	await call('/reserve/1', {method: 'POST', body: 'x'});
	const startedAtMs = performance.now();
	const response = await call('/reserve/1', {method: 'POST', body: 'x'});
	t.true(performance.now() - startedAtMs < 100);
	t.is(response.status, 503);
	t.is(resultCodeOf(response), '1400');
	const retryAfterS = Number(response.headers.get('retry-after'));
	t.true(retryAfterS > 0.8 && retryAfterS <= 1.8, `${retryAfterS}`);
});

test('requests that wait are sent when a pause ends', async t => {
	const {first, call} = await startWith(t, answerPausing(300));
	await call('/reserve/1', {method: 'POST', body: 'x'});
	first.onRequest = answerOk;
	await waitUntil(async () => await statusOf(call('/reserve/1', {method: 'POST', body: 'x'})) === 200);
	t.is(first.requests.length, 2);
});
