import {setTimeout as sleep} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {type Route} from './model/configuration.js';
import {
	answerNotRun, answerOk, type FakeBackendServer, type RequestListener,
} from './testing/fake-backend-server.js';
import {configuration, route} from './testing/fixtures.js';
import {
	addBackend, start, statusOf, waitUntil,
} from './testing/gateway-steps.js';
import {storeWith, type StartedGateway, type StartOptions} from './testing/start-gateway.js';

/** Requests that give a route enough samples for the quantile 0.95. */
const warmUpCount = 45;
/** Quantiles are computed anew after this time. */
const refreshMs = 600;

type Setup = StartedGateway & {
	readonly servers: readonly FakeBackendServer[];
	/** Requests to the path of the test that have arrived at servers. */
	readonly arrivals: () => number;
	/** Log line of the request to the path of the test. */
	readonly line: () => Record<string, unknown> | undefined;
	readonly metrics: () => Promise<string>;
};

type SetupOptions = Pick<StartOptions, 'hedging' | 'bounds'> & {
	readonly serverCount?: number;
	readonly slots?: number;
	readonly changes?: Partial<Route>;
	/** Path of the requests that give the route its samples, and their number. */
	readonly warmUpPath?: string;
	readonly warmUps?: number;
};

/** Starts servers that answer at once except to paths ending in `/slow`, whose arrivals are handled by `onArrival`, and a gateway that has seen enough responses to hedge. */
async function startWarm(t: ExecutionContext, onArrival: (arrival: number, ...parameters: Parameters<RequestListener>) => void, {serverCount = 3, slots = 100, changes = {}, warmUpPath = '/check/1', warmUps = warmUpCount, ...options}: SetupOptions = {}): Promise<Setup> {
	const store = storeWith(configuration(1, {
		routes: [route({timeoutMs: 6000, ...changes}), route({
			name: 'reserve', pathPrefix: '/reserve/', isRepeatable: false, timeoutMs: 6000, targetMs: 3000,
		})],
		services: [{
			name: 'stock', healthPath: '/health', maxConnections: 4000, coldStartMs: 3000, coldRatePerS: 6,
		}],
	}));
	let arrivals = 0;
	const onRequest: RequestListener = (socket, request) => {
		if (/^\S+ \S+\/slow /.test(request.head)) {
			onArrival(++arrivals, socket, request);
		} else {
			answerOk(socket, request);
		}
	};

	const ids = Array.from({length: serverCount}, (_, index) => `s${index + 1}`);
	const servers = await Promise.all(ids.map(async id => addBackend(t, store, {id, slots, onRequest})));
	const started = await start(t, {store, hedging: {fraction: 1}, ...options});
	for (let count = 0; count < warmUps; count++) {
		const response = await started.call(warmUpPath);
		await response.text();
	}

	await sleep(refreshMs);
	return {
		...started,
		servers,
		arrivals: () => arrivals,
		line: () => started.lines.find(({event, id}) => event === 'request' && id === 'r-slow'),
		async metrics() {
			const response = await fetch(`http://${started.settings.listen.metrics}/metrics`);
			return response.text();
		},
	};
}

const slow = {headers: {'test-id': 'r-slow'}};

test.serial('a request whose first server is slow gets the response of a second one, and the first attempt is cancelled', async t => {
	// Guards against slow responses that a second server could have shortened, and against work that goes on for nobody.
	const {call, arrivals, servers, line, metrics} = await startWarm(t, (arrival, socket, request) => {
		if (arrival > 1) {
			answerOk(socket, request, 'second');
		}
	});
	const response = await call('/check/slow', slow);
	t.is(await response.text(), 'second');
	const first = servers.find(({requests}) => requests.some(({head}) => head.includes('/slow ')))!;
	await waitUntil(() => first.closedConnections > 0);
	t.is(arrivals(), 2);
	t.like(line(), {hedgeWinner: 'hedge', attempts: 2, hedgeRefusal: undefined});
	t.true(line()!.hedgedAfterMs as number < 1000, 'before the first server counts as silent');
	t.not(line()!.hedgedFrom, line()!.server);
	t.regex(await metrics(), /fescuewick_hedged_requests_total{.*winner="hedge".*} [1-9]/);
});

test.serial('a request whose server is silent is hedged also without samples', async t => {
	// Guards against requests that wait for a server that hangs until their deadline, at a VM that has just started.
	const {call, arrivals, line} = await startWarm(t, (arrival, socket, request) => {
		if (arrival > 1) {
			answerOk(socket, request, 'second');
		}
	}, {warmUps: 0});
	const response = await call('/check/slow', slow);
	t.is(await response.text(), 'second');
	t.is(arrivals(), 2);
	t.like(line(), {hedgeWinner: 'hedge', attempts: 2});
	t.true(line()!.hedgedAfterMs as number >= 1000);
});

test.serial('the response of the first server is passed on if it comes while the hedged request is open', async t => {
	// Guards against two responses to one caller, and against a hedged request that is kept open.
	let answerFirst: (() => void) | undefined;
	const {call, arrivals, servers, line} = await startWarm(t, (arrival, socket, request) => {
		if (arrival === 1) {
			answerFirst = () => {
				answerOk(socket, request, 'first');
			};
		} else {
			answerFirst!();
		}
	});
	const response = await call('/check/slow', slow);
	t.is(await response.text(), 'first');
	await waitUntil(() => servers.some(({closedConnections}) => closedConnections > 0));
	t.is(arrivals(), 2);
	t.like(line(), {hedgeWinner: 'first', attempts: 2});
});

test.serial('a request fails when both its attempts fail, and is not sent to a third server', async t => {
	// Guards against more runs than the route allows.
	let failFirst: (() => void) | undefined;
	const {call, arrivals, line} = await startWarm(t, (arrival, socket) => {
		if (arrival === 1) {
			failFirst = () => {
				socket.destroy();
			};
		} else {
			socket.destroy();
			failFirst!();
		}
	});
	t.is(await statusOf(call('/check/slow', slow)), 502);
	t.is(arrivals(), 2);
	t.like(line(), {hedgeWinner: 'none', attempts: 2});
});

test.serial('a request whose two attempts fail is retried if its route allows three', async t => {
	// Guards against a log that names the first server as the one that was answered from.
	let failFirst: (() => void) | undefined;
	const {call, arrivals, line} = await startWarm(t, (arrival, socket, request) => {
		if (arrival === 1) {
			failFirst = () => {
				socket.destroy();
			};
		} else if (arrival === 2) {
			socket.destroy();
			failFirst!();
		} else {
			answerOk(socket, request);
		}
	}, {changes: {maxAttempts: 3}});
	t.is(await statusOf(call('/check/slow', slow)), 200);
	t.is(arrivals(), 3);
	t.like(line(), {hedgeWinner: 'none', attempts: 3});
});

test.serial('the first attempt goes on when the second server rejects the hedged request', async t => {
	// Guards against a refusal that reaches the caller while its request still runs, and against further hedged requests to servers that are full.
	let answerFirst: (() => void) | undefined;
	const {call, arrivals, line} = await startWarm(t, (arrival, socket, request) => {
		if (arrival === 1) {
			answerFirst = () => {
				answerOk(socket, request, 'first');
			};
		} else {
			answerNotRun(socket, request);
			setTimeout(answerFirst!, 200);
		}
	});
	const response = await call('/check/slow', slow);
	t.is(response.status, 200);
	t.is(await response.text(), 'first');
	t.is(arrivals(), 2);
	t.like(line(), {hedgeWinner: 'first', attempts: 2});
});

test.serial('both attempts are cancelled when the caller leaves', async t => {
	const {call, arrivals, servers, line} = await startWarm(t, () => undefined);
	const controller = new AbortController();
	const aborted = t.throwsAsync(call('/check/slow', {...slow, signal: controller.signal}), {any: true});
	await waitUntil(() => arrivals() === 2);
	controller.abort();
	await aborted;
	await waitUntil(() => servers.filter(({closedConnections}) => closedConnections > 0).length === 2);
	t.is(arrivals(), 2);
	t.like(line(), {outcome: 'callerLeft', hedgeWinner: 'none'});
});

/** Answers each request to the slow path after some time. */
const answerLate: Parameters<typeof startWarm>[1] = (_arrival, socket, request) => {
	setTimeout(answerOk, 700, socket, request);
};

test.serial('an order that may run at most once is never hedged', async t => {
	// Guards against an order that two servers run.
	const {call, arrivals, line} = await startWarm(t, answerLate, {warmUpPath: '/reserve/1'});
	t.is(await statusOf(call('/reserve/slow', {method: 'POST', body: 'x', ...slow})), 200);
	t.is(arrivals(), 1);
	t.is(line()!.hedgedAfterMs, undefined);
});

test.serial('an upload that is streamed is not hedged', async t => {
	// Guards against a second attempt without the body, which is gone.
	const {call, arrivals} = await startWarm(t, answerLate);
	t.is(await statusOf(call('/check/slow', {method: 'POST', body: 'x'.repeat(300_000), ...slow})), 200);
	t.is(arrivals(), 1);
});

test.serial('without a fraction in the settings a slow request is not hedged before its server is silent', async t => {
	const {call, arrivals, line, metrics} = await startWarm(t, answerLate, {hedging: {}});
	t.is(await statusOf(call('/check/slow', slow)), 200);
	t.is(arrivals(), 1);
	t.false(Object.keys(line()!).some(name => name.startsWith('hedge')));
	t.notRegex(await metrics(), /fescuewick_hedge/);
});

test.serial('a request is not hedged at a server without a free slot', async t => {
	// Guards against a hedged request that waits at a busy server: one that is first in line may hold half of its slots more than it has.
	const {call, arrivals, line} = await startWarm(t, answerLate, {serverCount: 2, slots: 2, changes: {hasAffinity: true}});
	const orders = Array.from({length: 4}, async () => statusOf(call('/reserve/slow', {method: 'POST', body: 'x'})));
	await waitUntil(() => arrivals() === 4);
	t.is(await statusOf(call('/check/slow', {headers: {'test-object': 'figure-9', ...slow.headers}})), 200);
	t.deepEqual(await Promise.all(orders), [200, 200, 200, 200]);
	t.is(arrivals(), 5);
	t.is(line()!.hedgeRefusal, 'no-free-server');
});

test.serial('a request is not hedged while others wait in the queue of the service', async t => {
	// Guards against additional work at servers whose slots others wait for.
	const {call, arrivals, line} = await startWarm(t, answerLate, {serverCount: 2, slots: 2, changes: {hasAffinity: true, priority: 0}});
	const sendOrder = async () => statusOf(call('/reserve/slow', {method: 'POST', body: 'x'}));
	const orders = Array.from({length: 4}, sendOrder);
	await waitUntil(() => arrivals() === 4);
	const queued = sendOrder();
	await sleep(50);
	t.is(await statusOf(call('/check/slow', {headers: {'test-object': 'figure-9', ...slow.headers}})), 200);
	t.deepEqual(await Promise.all(orders), [200, 200, 200, 200]);
	await queued;
	t.is(line()!.hedgeRefusal, 'queue');
});

test.serial('a request is not hedged shortly after a server rejected one', async t => {
	// Guards against additional work at servers that are full.
	const {call, line} = await startWarm(t, (arrival, socket, request) => {
		if (arrival === 1) {
			answerNotRun(socket, request);
		} else if (arrival === 2) {
			answerOk(socket, request);
		} else {
			setTimeout(answerOk, 700, socket, request);
		}
	});
	t.is(await statusOf(call('/check/slow')), 200);
	t.is(await statusOf(call('/check/slow', slow)), 200);
	t.is(line()!.hedgeRefusal, 'rejections');
});

test.serial('a request is not hedged while the VM stops', async t => {
	const {call, gateway, arrivals, line} = await startWarm(t, (arrival, socket, request) => {
		if (arrival === 1) {
			void gateway.stop();
		}

		setTimeout(answerOk, 700, socket, request);
	});
	t.is(await statusOf(call('/check/slow', slow)), 200);
	t.is(arrivals(), 1);
	t.is(line()!.hedgeRefusal, 'stopping');
});

const floodCount = 200;

const floods: ReadonlyArray<{readonly name: string; readonly options: SetupOptions; readonly most: number; readonly refusal: string}> = [
	{
		name: 'the operator\'s fraction', options: {hedging: {fraction: 0.05}, bounds: {retryRatio: 1, retrySlack: 1000}}, most: 0.05 * (floodCount + warmUpCount), refusal: 'fraction',
	},
	{
		name: 'the retry budget', options: {hedging: {fraction: 1}, bounds: {retryRatio: 0.1, retrySlack: 8}}, most: (0.1 * (floodCount + warmUpCount)) + 8, refusal: 'retry-budget',
	},
];

for (const {name, options, most, refusal} of floods) {
	test.serial(`hedged requests stay within ${name} when all servers are slow`, async t => {
		// Guards against a service whose load doubles at the moment at which it becomes slow.
		const {call, arrivals, metrics} = await startWarm(t, answerLate, {...options, slots: 1000});
		const statuses = await Promise.all(Array.from({length: floodCount}, async () => statusOf(call('/check/slow'))));
		t.true(statuses.every(status => status === 200));
		const additional = arrivals() - floodCount;
		t.true(additional > 0, 'some are hedged');
		t.true(additional <= most, `${additional} of at most ${most}`);
		t.regex(await metrics(), new RegExp(`fescuewick_hedge_refusals_total{.*reason="${refusal}".*} [1-9]`));
	});
}
