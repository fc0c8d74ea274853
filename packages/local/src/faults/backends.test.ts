import process from 'node:process';
import test, {registerCompletionHandler} from 'ava';
import {writePlatformLists} from '../deployment.js';
import {RequestKind, type Seen} from './caller.js';
import {shopKey, startFixture, type Fixture} from './fixture.js';

// Connections that a relay keeps silent may outlive the tests; they must not hold the test process.
registerCompletionHandler(() => {
	process.exit();
});

const urlsOf = ({deployment}: Fixture) => deployment.vms.map(({record}) => record.entryUrl);
const mixed = (index: number) => index % 4 === 0
	? {kind: RequestKind.order, key: shopKey, orderKey: `order-${index}`}
	: {kind: RequestKind.check, key: shopKey};
const failed = (all: readonly Seen[]) => all.filter(({status}) => status !== 200).map(({url, kind, code, error}) => `${url} ${kind} ${code} ${error}`);

/** Time after which a leaving server gets no new work. */
const leavingWithinMs = 5000;

// Guards against new work for a server that leaves, whichever way it says so, and against requests cut by its leaving.
for (const way of ['list', 'response']) {
	test.serial(`faults: a backend server that leaves by its ${way} gets no new work`, async t => {
		const fixture = await startFixture(t);
		const {caller, deployment, timers} = fixture;
		const load = caller.start(() => urlsOf(fixture), mixed);
		await timers.sleep(500);
		const leaving = deployment.backends.get('booking-1')!;
		t.true(leaving.observations.runs > 0);
		if (way === 'list') {
			const records = deployment.backendRecords.map(record => ({...record, leaving: record.server === 'booking-1'}));
			await writePlatformLists(deployment.store, records, deployment.vms.map(({record}) => record));
		} else {
			leaving.behaviour.draining = true;
		}

		await timers.sleep(leavingWithinMs);
		const {runs} = leaving.observations;
		await timers.sleep(1500);
		t.is(leaving.observations.runs, runs);
		t.deepEqual(failed(await load.stop()), []);
		t.deepEqual(caller.problems(), []);
	});
}

/** An order has met the server that cuts answers within this time, even when that server is slow at first and gets few requests. */
const cutWithinMs = 20_000;

// Guards against answers taken for complete that a server cut, and against orders repeated after one.
test.serial('faults: a backend server that cuts answers harms no order and no answer is taken for whole', async t => {
	const fixture = await startFixture(t);
	const {caller, deployment, timers} = fixture;
	deployment.backends.get('booking-1')!.behaviour.cutFraction = 0.3;
	const load = caller.start(() => urlsOf(fixture), mixed, {loops: 16});
	const startedMs = timers.nowMs();
	await timers.sleep(3000);
	while (!caller.seen.some(({kind, status}) => kind === RequestKind.order && status !== 200) && timers.nowMs() - startedMs < cutWithinMs) {
		await timers.sleep(100);
	}

	const seen = await load.stop();
	const failures = seen.filter(({status}) => status !== 200);
	t.true(failures.some(({kind}) => kind === RequestKind.order));
	t.deepEqual(failed(failures.filter(({outcome}) => outcome !== 'unknown')), []);
	t.deepEqual(caller.problems(), []);
});

// Guards against an order that is sent to a second server, or reported as not run, because the first went silent.
test.serial('faults: a backend server that goes silent is left out and its orders stay unknown', async t => {
	const fixture = await startFixture(t);
	const {caller, deployment, timers} = fixture;
	const load = caller.start(() => urlsOf(fixture), mixed, {loops: 8});
	await timers.sleep(500);
	deployment.backends.get('booking-1')!.behaviour.silent = true;
	await timers.sleep(9000);
	const seen = await load.stop();
	const orders = seen.filter(({kind, status}) => kind === RequestKind.order && status !== 200);
	t.true(orders.every(({outcome, id}) => outcome === 'unknown' || !caller.hasRun(id)));
	t.deepEqual(caller.problems(), []);
});

// Guards against orders reported as not run that a shedding server ran, and against retries beyond the budget.
test.serial('faults: servers that shed get few retries and no order runs twice', async t => {
	const fixture = await startFixture(t);
	const {caller, deployment, timers} = fixture;
	for (const {behaviour} of deployment.backends.values()) {
		behaviour.slots = 2;
		behaviour.serviceMs = 40;
	}

	const load = caller.start(() => urlsOf(fixture), mixed, {loops: 24, pauseMs: 0});
	await timers.sleep(4000);
	const seen = await load.stop();
	t.true(seen.some(({status}) => status === 200));
	t.true([...deployment.backends.values()].some(({observations}) => observations.shed > 0));
	t.deepEqual(caller.problems(), []);
});

// Guards against waiting requests whose server process ends, and against false "not run" when connections break.
test.serial('faults: a backend server that dies breaks no other request', async t => {
	const fixture = await startFixture(t);
	const {caller, deployment, timers, setServiceMs} = fixture;
	setServiceMs(50);
	const load = caller.start(() => urlsOf(fixture), mixed, {loops: 8});
	await timers.sleep(700);
	await deployment.backends.get('booking-1')!.close();
	await timers.sleep(3000);
	const seen = await load.stop();
	t.true(seen.filter(({status, kind}) => status !== 200 && kind === RequestKind.order).every(({outcome, id}) => outcome === 'unknown' || !caller.hasRun(id)));
	t.deepEqual(caller.problems(), []);
});
