import {PassThrough} from 'node:stream';
import test from 'ava';
import {ManualTimerService} from '@fescuewick/core';
import {
	BackendConnection, CloseBarrier, noBody, type ConnectionPool,
} from '@fescuewick/entry/http';
import {RequestQueues} from '../admission/request-queues.js';
import {TokenBorrower} from '../limits/token-borrower.js';
import {WorkspaceLimiter} from '../limits/workspace-limiter.js';
import {Backend} from '../placement/backend.js';
import {ChoiceReason} from '../placement/choose-backend.js';
import {PlacementFailure, type Placer} from '../placement/placer.js';
import {SlotDemandMeter} from '../placement/slot-demand-meter.js';
import {backendRecord, route, TestDialect} from '../testing/fixtures.js';
import {RetryBudgets, type ForwardingContext} from './forwarding-context.js';
import {type AdmittedRequest} from './admitted-request.js';
import {ForwardedRequest} from './forwarded-request.js';
import {RouteLatency} from './route-latency.js';

function createRequests(onAcquire: (queues: RequestQueues) => void) {
	const timers = new ManualTimerService();
	const closeBarrier = new CloseBarrier({
		timers, atEndOfTurn(callback) {
			callback();
		}, onError(error) {
			throw error;
		},
	});
	const queues = new RequestQueues(callback => {
		closeBarrier.run(callback);
	});
	const sent: string[] = [];
	let isFull = true;
	const connections = {
		acquire() {
			onAcquire(queues);
			const client = {
				dispatch(options: {path: string}) {
					sent.push(options.path);
				},
			};
			return new BackendConnection(client as unknown as BackendConnection['client']);
		},
	} as unknown as ConnectionPool;
	const backends = ['s1', 's2'].map(id => new Backend({record: backendRecord(id, {slots: 100}), receivedAtMs: 0}, 'north', connections));
	const limiter = new WorkspaceLimiter('a1', timers, () => ({overshoot: 0, slackCount: 0, windowMs: 1000}));
	const context: ForwardingContext = {
		timers,
		random: () => 0.5,
		dialect: new TestDialect(),
		placer: {
			regionFor: () => 'north',
			slotsInRegion: () => 100,
			place: ({excluded}: {excluded: ReadonlySet<string>}) => isFull
				? PlacementFailure.full
				: {
					backend: backends.find(({id}) => !excluded.has(id))!, reason: ChoiceReason.home, load: 0, isRemote: false,
				},
		} as unknown as Placer,
		limiter,
		tokenBorrower: new TokenBorrower({
			limiter,
			timers,
			send() {
				throw new Error('no token is borrowed');
			},
			onEnd() {
				throw new Error('no token is borrowed');
			},
		}),
		queues,
		closeBarrier,
		retryBudgets: new RetryBudgets(timers, {windowMs: 10_000, fraction: 0.2, minCount: () => 10}),
		hedging: undefined,
		latency: new RouteLatency(),
		slotDemandMeter: new SlotDemandMeter(),
		isDraining: () => false,
		maxAnswerBytes: 1_000_000,
		configurationVersion: () => 1,
		onFinished: () => undefined,
	};
	const start = (path: string) => {
		const admitted = {
			request: {
				rawHeaders: [], headers: {host: 'shop.test'}, method: 'POST', url: path, socket: new PassThrough(),
			},
			response: new PassThrough(),
			fields: {},
			id: path,
			route: route({isRepeatable: false}),
			workspace: undefined,
			service: 'stock',
			body: noBody,
			arrivedAtMs: 0,
			deadlineAtMs: 2000,
		} as unknown as AdmittedRequest;
		new ForwardedRequest(context, admitted).start();
	};

	return {
		queues, sent, start, freeSlots() {
			isFull = false;
		},
	};
}

test('queued requests are sent once each when sending one of them frees slots for the others', t => {
	// Guards against a request that is sent twice: closing stale connections sent the next queued request in a nested call, and the outer loop sent it again.
	const {queues, sent, start, freeSlots} = createRequests(waiting => {
		waiting.retryAllQueuedRequests();
	});
	for (const path of ['/a', '/b', '/c', '/d']) {
		start(path);
	}

	t.deepEqual(sent, []);
	freeSlots();
	queues.retryAllQueuedRequests();
	t.deepEqual([...sent].sort(), ['/a', '/b', '/c', '/d']);
});

test('a new request does not overtake queued ones', t => {
	const {queues, sent, start, freeSlots} = createRequests(() => undefined);
	start('/a');
	freeSlots();
	start('/b');
	t.deepEqual(sent, []);
	queues.retryAllQueuedRequests();
	t.deepEqual(sent, ['/a', '/b']);
});
