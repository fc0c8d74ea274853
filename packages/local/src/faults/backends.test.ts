import process from 'node:process';
import test, {registerCompletionHandler} from 'ava';
import {writePlatformLists} from '../deployment.js';
import {RequestKind, type RequestResult} from './caller.js';
import {shopKey, startFixture, type Fixture} from './fixture.js';

// Connections that a relay has silenced can stay open after the tests and would keep the test process running.
registerCompletionHandler(() => {
	process.exit();
});

const urlsOf = ({deployment}: Fixture) => deployment.vms.map(({record}) => record.entryUrl);
const mixedRequest = (index: number) => index % 4 === 0
	? {kind: RequestKind.order, key: shopKey, orderKey: `order-${index}`}
	: {kind: RequestKind.check, key: shopKey};
const describeFailures = (results: readonly RequestResult[]) => results.filter(({status}) => status !== 200).map(({url, kind, code, error}) => `${url} ${kind} ${code} ${error}`);

/** Time after which a leaving server receives no new requests. */
const maxLeaveDelayMs = 5000;

// Guards against new requests to a server that is marked as leaving in the platform's list or announces it in its responses, and against requests that fail because it leaves.
for (const channel of ['list', 'response']) {
	test.serial(`faults: a backend server that leaves by its ${channel} gets no new work`, async t => {
		const fixture = await startFixture(t);
		const {caller, deployment, timers} = fixture;
		const load = caller.startLoad(() => urlsOf(fixture), mixedRequest);
		await timers.sleep(500);
		const leaving = deployment.backends.get('booking-1')!;
		t.true(leaving.observations.runs > 0);
		if (channel === 'list') {
			const records = deployment.backendRecords.map(record => ({...record, leaving: record.server === 'booking-1'}));
			await writePlatformLists(deployment.store, records, deployment.vms.map(({record}) => record));
		} else {
			leaving.behaviour.draining = true;
		}

		await timers.sleep(maxLeaveDelayMs);
		const {runs} = leaving.observations;
		await timers.sleep(1500);
		t.is(leaving.observations.runs, runs);
		t.deepEqual(describeFailures(await load.stop()), []);
		t.deepEqual(caller.problems(), []);
	});
}

/** Time within which the answer to at least one order is truncated, even if the truncating server is slow at first and receives few requests. */
const firstTruncationTimeoutMs = 20_000;

// Guards against truncated answers that are taken for complete, and against orders that are sent again after one.
test.serial('faults: a backend server that cuts answers harms no order and no answer is taken for whole', async t => {
	const fixture = await startFixture(t);
	const {caller, deployment, timers} = fixture;
	deployment.backends.get('booking-1')!.behaviour.cutFraction = 0.3;
	const load = caller.startLoad(() => urlsOf(fixture), mixedRequest, {loops: 16});
	const startedMs = timers.nowMs();
	await timers.sleep(3000);
	while (!caller.results.some(({kind, status}) => kind === RequestKind.order && status !== 200) && timers.nowMs() - startedMs < firstTruncationTimeoutMs) {
		await timers.sleep(100);
	}

	const results = await load.stop();
	const failures = results.filter(({status}) => status !== 200);
	t.true(failures.some(({kind}) => kind === RequestKind.order));
	t.deepEqual(describeFailures(failures.filter(({outcome}) => outcome !== 'unknown')), []);
	t.deepEqual(caller.problems(), []);
});

// Guards against an order that is sent to a second server, or reported as not run, because the first server went silent.
test.serial('faults: a backend server that goes silent is left out and its orders stay unknown', async t => {
	const fixture = await startFixture(t);
	const {caller, deployment, timers} = fixture;
	const load = caller.startLoad(() => urlsOf(fixture), mixedRequest, {loops: 8});
	await timers.sleep(500);
	deployment.backends.get('booking-1')!.behaviour.silent = true;
	await timers.sleep(9000);
	const results = await load.stop();
	const orders = results.filter(({kind, status}) => kind === RequestKind.order && status !== 200);
	t.true(orders.every(({outcome, id}) => outcome === 'unknown' || !caller.hasRun(id)));
	t.deepEqual(caller.problems(), []);
});

// Guards against orders that a shedding server ran but that are reported as not run, and against retries beyond the retry budget.
test.serial('faults: servers that shed get few retries and no order runs twice', async t => {
	const fixture = await startFixture(t);
	const {caller, deployment, timers} = fixture;
	for (const {behaviour} of deployment.backends.values()) {
		behaviour.slots = 2;
		behaviour.serviceMs = 40;
	}

	const load = caller.startLoad(() => urlsOf(fixture), mixedRequest, {loops: 24, pauseMs: 0});
	await timers.sleep(4000);
	const results = await load.stop();
	t.true(results.some(({status}) => status === 200));
	t.true([...deployment.backends.values()].some(({observations}) => observations.shed > 0));
	t.deepEqual(caller.problems(), []);
});

// Guards against requests that break because the process of another server ends, and against orders that are reported as not run although that server ran them before its connections broke.
test.serial('faults: a backend server that dies breaks no other request', async t => {
	const fixture = await startFixture(t);
	const {caller, deployment, timers, setServiceMs} = fixture;
	setServiceMs(50);
	const load = caller.startLoad(() => urlsOf(fixture), mixedRequest, {loops: 8});
	await timers.sleep(700);
	await deployment.backends.get('booking-1')!.close();
	await timers.sleep(3000);
	const results = await load.stop();
	t.true(results.filter(({status, kind}) => status !== 200 && kind === RequestKind.order).every(({outcome, id}) => outcome === 'unknown' || !caller.hasRun(id)));
	t.deepEqual(caller.problems(), []);
});
