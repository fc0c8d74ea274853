import process from 'node:process';
import test, {registerCompletionHandler, type ExecutionContext} from 'ava';
import {DaemonKind} from '../routes.js';
import {RequestKind, type RequestResult} from './caller.js';
import {
	boundaryPathsOf, shopKey, startFixture, type Fixture,
} from './fixture.js';

// Connections that a relay has silenced can stay open after the tests and would keep the test process running.
registerCompletionHandler(() => {
	process.exit();
});

const order = (orderKey: string) => ({kind: RequestKind.order, key: shopKey, orderKey});

/** Repeats an order at the VMs in turn until one reports a final outcome or the time-out is reached. */
async function repeatUntilKnown({caller, timers}: Fixture, urls: readonly string[], orderKey: string, timeoutMs = 10_000): Promise<RequestResult> {
	const deadlineMs = timers.nowMs() + timeoutMs;
	for (let index = 0; ; index++) {
		const result = await caller.send(urls[index % urls.length], order(orderKey));
		if (hasKnownOutcome(result) || timers.nowMs() > deadlineMs) {
			return result;
		}

		await timers.sleep(100);
	}
}

const urlsOf = ({deployment}: Fixture) => deployment.vms.map(({record}) => record.entryUrl);

/** Whether the answer is final: done, outcome unknown (1304) or done with an answer that is no longer stored (1306); an order is repeated after any other answer, for example in progress (1305). */
const hasKnownOutcome = ({status, code}: RequestResult) => status === 200 || code === 1304 || code === 1306;

/**
Asserts that orders have final outcomes and ran at most once.

An order whose VM or claim owner died after the claim is reported as in progress (1305) for 60 s and as unknown after that (docs/at-most-once.md).
*/
function assertAtMostOnce(t: ExecutionContext, {caller}: Fixture, {orderKeys, results, mayBeInProgress = false}: {
	orderKeys: readonly string[]; results: readonly RequestResult[]; mayBeInProgress?: boolean;
}): void {
	t.deepEqual(caller.problems(), []);
	for (const [index, orderKey] of orderKeys.entries()) {
		const {status, code} = results[index];
		t.true(hasKnownOutcome(results[index]) || (mayBeInProgress && code === 1305), `${orderKey} ends with ${status} ${code}`);
		if (status === 200) {
			t.is(caller.countRuns(orderKey), 1, orderKey);
		}
	}
}

// Guards against an order that two failure domains both run because they received it at the same time.
test.serial('faults: an order sent to four VMs in two failure domains at once runs once', async t => {
	const fixture = await startFixture(t);
	const {caller, deployment} = fixture;
	const orderKeys = Array.from({length: 25}, (_, index) => `race-${index}`);
	await Promise.all(orderKeys.flatMap(orderKey => urlsOf(fixture).map(async url => caller.send(url, order(orderKey)))));
	const results = await Promise.all(orderKeys.map(async orderKey => repeatUntilKnown(fixture, urlsOf(fixture), orderKey)));
	assertAtMostOnce(t, fixture, {orderKeys, results});
	t.true(orderKeys.every(orderKey => caller.countRuns(orderKey) === 1));
	t.is(deployment.vms.length, 4);
});

for (const killAfterMs of [0, 10, 40, 150, 400]) {
	// Guards against a second run at another VM after the first VM died at any step between accepting the order and responding.
	test.serial(`faults: orders of a VM that dies ${killAfterMs} ms after they were sent run at most once when repeated elsewhere`, async t => {
		const fixture = await startFixture(t);
		const {caller, vm, timers, setServiceMs} = fixture;
		setServiceMs(120);
		const [first, ...others] = urlsOf(fixture);
		const orderKeys = Array.from({length: 12}, (_, index) => `dying-${index}`);
		const sent = orderKeys.map(async orderKey => caller.send(first, order(orderKey)));
		await timers.sleep(killAfterMs);
		const killed = vm('north-a-1').kill();
		setServiceMs(5);
		const results = await Promise.all(orderKeys.map(async orderKey => repeatUntilKnown(fixture, others, orderKey, 1500)));
		await Promise.all([killed, ...sent]);
		assertAtMostOnce(t, fixture, {orderKeys, results, mayBeInProgress: true});
		await vm('north-a-1').start();
		t.true(await vm('north-a-1').waitUntilReady());
		const repeatResults = await Promise.all(orderKeys.map(async orderKey => repeatUntilKnown(fixture, [first], orderKey, 500)));
		assertAtMostOnce(t, fixture, {orderKeys, results: repeatResults, mayBeInProgress: true});
	});
}

// Guards against repeats that are answered with "in progress" for a minute although the entry daemon that ran the order is gone.
test.serial('faults: orders of an entry daemon that is killed are unknown within seconds and do not run again', async t => {
	const fixture = await startFixture(t);
	const {caller, vm, timers, setServiceMs} = fixture;
	setServiceMs(600);
	const [first, ...others] = urlsOf(fixture);
	const orderKeys = Array.from({length: 8}, (_, index) => `entry-dying-${index}`);
	const sent = orderKeys.map(async orderKey => caller.send(first, order(orderKey)));
	await timers.sleep(300);
	await vm('north-a-1').killDaemon(DaemonKind.entry);
	setServiceMs(5);
	const results = await Promise.all(orderKeys.map(async orderKey => repeatUntilKnown(fixture, others, orderKey, 8000)));
	await Promise.all(sent);
	assertAtMostOnce(t, fixture, {orderKeys, results});
});

// Guards against orders that run while the store cannot show whether they ran before, and against orders that are lost after the outage.
test.serial('faults: orders during a store outage do not run twice and are completed after it', async t => {
	const fixture = await startFixture(t);
	const {caller, setStoreDown, timers} = fixture;
	const orderKeys = Array.from({length: 16}, (_, index) => `outage-${index}`);
	const before = orderKeys.slice(0, 8);
	await Promise.all(before.map(async (orderKey, index) => caller.send(urlsOf(fixture)[index % 4], order(orderKey))));
	setStoreDown(true);
	const during = await Promise.all(orderKeys.flatMap(orderKey => urlsOf(fixture).map(async url => caller.send(url, order(orderKey)))));
	t.true(during.every(({status}) => status !== 0));
	await timers.sleep(1000);
	setStoreDown(false);
	const results = await Promise.all(orderKeys.map(async orderKey => repeatUntilKnown(fixture, urlsOf(fixture), orderKey)));
	assertAtMostOnce(t, fixture, {orderKeys, results});
});

// Guards against a claim that is granted twice because the first grant was written but the store's answer was lost.
test.serial('faults: orders run at most once while store answers are lost', async t => {
	const fixture = await startFixture(t);
	const {caller, deployment} = fixture;
	deployment.store.faults.loseAnswers = 6;
	const orderKeys = Array.from({length: 16}, (_, index) => `lost-${index}`);
	await Promise.all(orderKeys.flatMap((orderKey, index) => [0, 2].map(async offset => caller.send(urlsOf(fixture)[(index + offset) % 4], order(orderKey)))));
	const results = await Promise.all(orderKeys.map(async orderKey => repeatUntilKnown(fixture, urlsOf(fixture), orderKey, 15_000)));
	assertAtMostOnce(t, fixture, {orderKeys, results});
});

// Guards against a second run when the owner of a claim dies right after the store accepted its write and the answer was lost.
test.serial('faults: orders run at most once when store answers are lost and the VM that sent them dies', async t => {
	const fixture = await startFixture(t);
	const {caller, deployment, timers, vm} = fixture;
	deployment.store.faults.loseAnswers = 8;
	const [first, ...others] = urlsOf(fixture);
	const orderKeys = Array.from({length: 16}, (_, index) => `lost-dying-${index}`);
	const sent = orderKeys.map(async orderKey => caller.send(first, order(orderKey)));
	await timers.sleep(60);
	const killed = vm('north-a-1').kill();
	const results = await Promise.all(orderKeys.map(async orderKey => repeatUntilKnown(fixture, others, orderKey, 5000)));
	await Promise.all([killed, ...sent]);
	assertAtMostOnce(t, fixture, {orderKeys, results, mayBeInProgress: true});
});

// Guards against an order that runs on both sides of a partition.
test.serial('faults: an order sent to both sides of a cut failure domain runs at most once', async t => {
	const fixture = await startFixture(t);
	const {caller, routes, timers} = fixture;
	const orderKeys = Array.from({length: 16}, (_, index) => `cut-${index}`);
	const [north, , south] = urlsOf(fixture);
	const sendToBoth = async (keys: string[]) => Promise.all(keys.flatMap(orderKey => [north, south].map(async url => caller.send(url, order(orderKey)))));
	const early = sendToBoth(orderKeys.slice(0, 8));
	await timers.sleep(5);
	routes.cut(boundaryPathsOf('south-a'));
	await early;
	await sendToBoth(orderKeys);
	await timers.sleep(4000);
	await sendToBoth(orderKeys);
	routes.heal();
	const results = await Promise.all(orderKeys.map(async orderKey => repeatUntilKnown(fixture, urlsOf(fixture), orderKey, 15_000)));
	assertAtMostOnce(t, fixture, {orderKeys, results});
});

// Guards against an order that runs again because the control daemon that granted its claim was restarted.
test.serial('faults: orders run at most once while control daemons are killed one after the other', async t => {
	const fixture = await startFixture(t);
	const {caller, deployment, timers} = fixture;
	const orderKeys: string[] = [];
	const load = caller.startLoad(() => urlsOf(fixture), index => {
		const orderKey = `restart-${Math.floor(index / 3)}`;
		if (index % 3 === 0) {
			orderKeys.push(orderKey);
		}

		return order(orderKey);
	}, {loops: 8, pauseMs: 10});
	for (const vm of deployment.vms) {
		await timers.sleep(200);
		await vm.killDaemon(DaemonKind.control);
		await timers.sleep(300);
		await vm.startDaemon(DaemonKind.control);
	}

	await load.stop();
	const results = await Promise.all(orderKeys.map(async orderKey => repeatUntilKnown(fixture, urlsOf(fixture), orderKey, 3000)));
	assertAtMostOnce(t, fixture, {orderKeys, results, mayBeInProgress: true});
});
