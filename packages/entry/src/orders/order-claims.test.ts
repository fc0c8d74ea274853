import test from 'ava';
import {request} from 'undici';
import {ClaimState, MessageType, type ClaimReplyBody} from '@fescuewick/wire';
import {ClaimService} from '@fescuewick/orders';
import {
	shopKey, startDeployment, until, type Deployment,
} from '../testing/deployment.js';
import {startRawServer} from '../testing/raw-server.js';

async function order(deployment: Deployment, orderKey: string, body = 'x', target = '/order'): Promise<{code: string; replay: unknown; body: Record<string, unknown>}> {
	const answer = await request(`${deployment.url}${target}`, {method: 'POST', headers: {'x-api-key': shopKey, 'idempotency-key': orderKey}, body});
	return {code: String(answer.headers['x-fescuewick-code']), replay: answer.headers['idempotent-replay'], body: await answer.body.json() as Record<string, unknown>};
}

// Guards against running an order twice, the most serious fault.
test('a repeated order runs once and gets the stored answer', async t => {
	const deployment = await startDeployment();
	t.teardown(async () => deployment.stop());
	const first = await order(deployment, 'o-1');
	await until(() => deployment.control.requests.get(MessageType.claimComplete) === 1);
	const second = await order(deployment, 'o-1');
	t.deepEqual([first.code, second.code, second.replay], ['1000', '1001', 'true']);
	t.deepEqual(second.body, first.body);
	t.is(deployment.backends[0].observations.runsByOrder.get('o-1'), 1);
});

// Guards against running an order twice when repeats arrive during the first attempt.
test('only one of many concurrent repeats runs', async t => {
	const deployment = await startDeployment({backends: [{serviceMs: 50}]});
	t.teardown(async () => deployment.stop());
	const answers = await Promise.all(Array.from({length: 20}, async () => order(deployment, 'o-2')));
	const codes = answers.map(({code}) => code);
	t.is(codes.filter(code => code === '1000').length, 1);
	// A repeat that arrives after the end of the first attempt gets its answer.
	t.true(codes.every(code => ['1000', '1001', '1305'].includes(code)));
	t.is(deployment.backends[0].observations.runs, 1);
});

// Guards against storing answers of unlimited size, and against a second run when the answer is not stored.
test('a repeat of an order whose answer is too long to store is answered with the code that it ran', async t => {
	const deployment = await startDeployment();
	t.teardown(async () => deployment.stop());
	await order(deployment, 'o-3', 'x'.repeat(20_000));
	await until(() => deployment.control.requests.get(MessageType.claimComplete) === 1);
	t.like(await order(deployment, 'o-3', 'x'.repeat(20_000)), {code: '1306'});
	t.is(deployment.backends[0].observations.runs, 1);
});

// Guards against an order that is refused, or run twice, because the reply to its claim was lost.
test('a claim whose reply was lost is requested again by the same claimant', async t => {
	const deployment = await startDeployment({
		configureControl(control) {
			control.repliesToDrop.set(MessageType.claimRequest, 1);
		},
	});
	t.teardown(async () => deployment.stop());
	t.like(await order(deployment, 'o-4'), {code: '1000'});
	t.is(deployment.control.requests.get(MessageType.claimRequest), 2);
	t.is(deployment.backends[0].observations.runsByOrder.get('o-4'), 1);
});

// Guards against running an order, or reporting it as not run, when its claim cannot be decided.
test('without a claim an order is not sent and its outcome is unknown', async t => {
	const deployment = await startDeployment({
		limits: {claimMs: 300}, configureControl(control) {
			control.repliesToDrop.set(MessageType.claimRequest, 100);
		},
	});
	t.teardown(async () => deployment.stop());
	t.like(await order(deployment, 'o-5'), {code: '1303', body: {outcome: 'unknown', order: 'unchecked'}});
	t.is(deployment.backends[0].observations.runs, 0);
});

// Guards against reporting an order as in progress for a minute although its attempt has ended.
test('a repeat of an order that ended without a complete answer is answered as unknown at once', async t => {
	const raw = await startRawServer(socket => {
		socket.destroy();
	});
	const deployment = await startDeployment({records: () => [raw.record]});
	t.teardown(async () => deployment.stop());
	t.teardown(async () => raw.close());
	t.like(await order(deployment, 'o-8'), {code: '1402'});
	await until(() => deployment.control.requests.get(MessageType.claimComplete) === 1);
	t.like(await order(deployment, 'o-8'), {code: '1304', body: {outcome: 'unknown'}});
});

// Guards against replaying an answer to, or running, a different request with the same order key.
test('a repeat with another method, path or body is refused and not run', async t => {
	const deployment = await startDeployment();
	t.teardown(async () => deployment.stop());
	t.like(await order(deployment, 'o-9', 'one notice'), {code: '1000'});
	await until(() => deployment.control.requests.get(MessageType.claimComplete) === 1);
	t.like(await order(deployment, 'o-9', 'another notice'), {code: '1309', body: {outcome: 'not-run'}});
	t.like(await order(deployment, 'o-9', 'one notice', '/order/other'), {code: '1309'});
	t.like(await order(deployment, 'o-9', 'one notice', '/order?attempt=2'), {code: '1001'});
	t.is(deployment.backends[0].observations.runs, 1);
});

/** Never answers the first request and refuses later ones, like a claim service that waits for the outcome of another attempt. */
class SlowClaimService extends ClaimService {
	readonly released: string[] = [];
	#requestCount = 0;

	async claim(): Promise<ClaimReplyBody> {
		if (++this.#requestCount === 1) {
			await new Promise(() => {/* Never settles. */});
		}

		return {state: ClaimState.inProgress, answer: undefined};
	}

	async complete(): Promise<void> {/* Nothing is stored. */}
	async release({orderKey}: {orderKey: string}): Promise<void> {
		this.released.push(orderKey);
	}
}

// Guards against an order that stays in progress because the claimant's first request is granted after the claimant has given up.
test('a claimant whose first request may still be granted releases the claim when its second request is refused', async t => {
	const claims = new SlowClaimService();
	const deployment = await startDeployment({
		limits: {claimMs: 3000}, configureControl(control) {
			control.claims = claims;
		},
	});
	t.teardown(async () => deployment.stop());
	t.like(await order(deployment, 'o-10'), {code: '1305'});
	await until(() => claims.released.includes('o-10'));
	t.pass();
});

class FixedClaimService extends ClaimService {
	constructor(private readonly state: ClaimState) {
		super();
	}

	async claim(): Promise<ClaimReplyBody> {
		return {state: this.state, answer: undefined};
	}

	async complete(): Promise<void> {/* Nothing is stored. */}
	async release(): Promise<void> {/* Nothing is stored. */}
}

// Guards against running an order when its claim was not granted.
const refusals = [
	[ClaimState.unknown, '1304'],
	[ClaimState.expired, '1307'],
	[ClaimState.inProgress, '1305'],
	[ClaimState.done, '1306'],
	[ClaimState.unavailable, '1303'],
	[ClaimState.contentDiffers, '1309'],
] as const;
for (const [state, code] of refusals) {
	test(`a claim that is ${state} is answered with ${code}`, async t => {
		const deployment = await startDeployment({
			configureControl(control) {
				control.claims = new FixedClaimService(state);
			},
		});
		t.teardown(async () => deployment.stop());
		t.like(await order(deployment, 'o-6'), {code});
		t.is(deployment.backends[0].observations.runs, 0);
	});
}

// Guards against losing the outcome of an order when the control daemon restarts.
test('a completion whose reply was lost is reported again', async t => {
	const deployment = await startDeployment({
		limits: {claimMs: 1000}, configureControl(control) {
			control.repliesToDrop.set(MessageType.claimComplete, 1);
		},
	});
	t.teardown(async () => deployment.stop());
	t.like(await order(deployment, 'o-7'), {code: '1000'});
	await until(() => deployment.control.requests.get(MessageType.claimComplete) === 2);
	t.pass();
});

// Guards against malformed order keys that two VMs might interpret differently.
test('a malformed or repeated order key is refused', async t => {
	const deployment = await startDeployment();
	t.teardown(async () => deployment.stop());
	t.like(await order(deployment, 'a b'), {code: '1308', body: {order: 'unchecked'}});
	const twice = await request(`${deployment.url}/order`, {method: 'POST', headers: ['x-api-key', shopKey, 'idempotency-key', 'a', 'Idempotency-Key', 'b']});
	t.is(twice.headers['x-fescuewick-code'], '1308');
	t.is(deployment.backends[0].observations.runs, 0);
});
