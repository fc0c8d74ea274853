import process from 'node:process';
import test, {registerCompletionHandler, type ExecutionContext} from 'ava';
import {RequestKind, type RequestResult} from './caller.js';
import {
	boundaryPathsOf, shopKey, startFixture, type Fixture,
} from './fixture.js';

// Connections that a relay has silenced can stay open after the tests and would keep the test process running.
registerCompletionHandler(() => {
	process.exit();
});

const urlsOf = ({deployment}: Fixture) => deployment.vms.map(({record}) => record.entryUrl);
const describeFailures = (results: readonly RequestResult[]) => results.filter(({status}) => status !== 200).map(({url, kind, code, error}) => `${url} ${kind} ${code} ${error}`);
const check = {kind: RequestKind.check, key: shopKey};

/** Order key prefix (a ticket) from the look-up daemon of the named VM. */
async function ticketPrefix({vm}: Fixture, name: string): Promise<string> {
	const response = await fetch(`${vm(name).record.lookupUrl}/v1/lookup?service=booking`);
	const {orderKeyPrefix} = await response.json() as {orderKeyPrefix: string};
	return orderKeyPrefix;
}

/** Name of the VM that a ticket refers to. */
const ticketVmName = (prefix: string) => prefix.split('.')[1];

// Guards against orders with tickets that need the store, or that a second VM runs during a store outage.
test.serial('faults: orders with tickets run once during a store outage', async t => {
	const fixture = await startFixture(t);
	const {caller, setStoreDown, timers} = fixture;
	setStoreDown(true);
	await timers.sleep(1500);
	for (const name of ['north-a-1', 'south-a-2']) {
		const prefix = await ticketPrefix(fixture, name);
		for (let index = 0; index < 8; index++) {
			const order = {kind: RequestKind.order, key: shopKey, orderKey: `${prefix}${index}`};
			const results = await Promise.all(urlsOf(fixture).map(async url => caller.send(url, order)));
			t.true(results.some(({status}) => status === 200));
			const repeated = await Promise.all(urlsOf(fixture).map(async url => caller.send(url, order)));
			t.true(repeated.every(({status, code}) => status === 200 || code === 1306));
			t.is(caller.countRuns(order.orderKey), 1);
		}
	}

	t.deepEqual(caller.problems(), []);
});

// Guards against an order with a ticket that is granted again after its VM was killed and restarted, with and without the store.
for (const isStoreDown of [false, true]) {
	test.serial(`faults: a ticket whose VM was replaced never runs again${isStoreDown ? ' during a store outage' : ''}`, async t => {
		const fixture = await startFixture(t);
		const {caller, setStoreDown, timers, vm} = fixture;
		setStoreDown(isStoreDown);
		await timers.sleep(1000);
		const prefix = await ticketPrefix(fixture, 'north-a-1');
		const ticketVm = vm(ticketVmName(prefix));
		const order = (index: number) => ({kind: RequestKind.order, key: shopKey, orderKey: `${prefix}${index}`});
		for (const index of [0, 1, 2, 3]) {
			const {status} = await caller.send(ticketVm.record.entryUrl, order(index));
			t.is(status, 200);
		}

		await ticketVm.kill();
		const others = urlsOf(fixture).filter(url => url !== ticketVm.record.entryUrl);
		const assertRepeatsUnknown = async (urls: string[]) => {
			for (const index of [0, 1, 2, 3, 4, 5]) {
				for (const url of urls) {
					const {status, outcome} = await caller.send(url, order(index));
					t.true(status === 0 || (status !== 200 && outcome === 'unknown'), `${index}: ${status} ${outcome}`);
				}
			}
		};

		await assertRepeatsUnknown(others.slice(0, 2));
		await ticketVm.start();
		t.true(await ticketVm.waitUntilReady());
		await timers.sleep(500);
		await assertRepeatsUnknown(urlsOf(fixture));
		t.true([0, 1, 2, 3].every(index => caller.countRuns(order(index).orderKey) === 1));
		t.true([4, 5].every(index => caller.countRuns(order(index).orderKey) === 0));
		t.deepEqual(caller.problems(), []);
	});
}

// Guards against failures of requests other than journalled orders while the store is down for 20 s, and against orders that still fail after the outage.
test.serial('faults: a store outage of 20 s under mixed load rejects only journalled orders', async t => {
	const fixture = await startFixture(t);
	const {caller, setStoreDown, timers} = fixture;
	const prefix = await ticketPrefix(fixture, 'north-a-1');
	const orders = caller.startLoad(() => urlsOf(fixture), index => ({kind: RequestKind.order, key: shopKey, orderKey: `outage-${Math.floor(index / 2)}`}));
	const tickets = caller.startLoad(() => urlsOf(fixture), index => ({kind: RequestKind.order, key: shopKey, orderKey: `${prefix}${index}`}));
	const checks = caller.startLoad(() => urlsOf(fixture), index => index % 4 === 0 ? {kind: RequestKind.open} : check);
	await timers.sleep(1000);
	setStoreDown(true);
	const downAtMs = timers.nowMs();
	await timers.sleep(20_000);
	const upAtMs = timers.nowMs();
	setStoreDown(false);
	await timers.sleep(4000);
	const orderResults = await orders.stop();
	t.deepEqual(describeFailures(await checks.stop()), []);
	t.deepEqual(describeFailures(await tickets.stop()), []);
	// During the outage an order may be answered with claim unavailable (1303), outcome unknown (1304), in progress (1305) or done with an answer that is no longer stored (1306).
	const unexpected = orderResults.filter(({status, code}) => status !== 200 && ![1303, 1304, 1305, 1306].includes(code));
	t.deepEqual(describeFailures(unexpected), []);
	t.true(orderResults.filter(({startedMs, endedMs}) => startedMs > downAtMs + 3000 && endedMs < upAtMs).every(({outcome, isReplay}) => outcome === 'unknown' || isReplay));
	t.true(orderResults.some(({startedMs, status}) => startedMs > upAtMs + 2500 && status === 200));
	t.deepEqual(caller.problems(), []);
});

async function assertSilentLinksReplaced(t: ExecutionContext, fixture: Fixture, silence: () => void): Promise<void> {
	const {caller, timers, deployment} = fixture;
	const load = caller.startLoad(() => urlsOf(fixture), index => index % 4 === 0 ? {kind: RequestKind.order, key: shopKey, orderKey: `silent-${index}`} : check);
	await timers.sleep(500);
	for (let round = 0; round < 2; round++) {
		silence();
		await timers.sleep(4000);
	}

	const results = await load.stop();
	t.deepEqual(describeFailures(results.filter(({kind}) => kind === RequestKind.check)), []);
	t.true(results.filter(({status}) => status !== 200).every(({outcome, code}) => outcome === 'unknown' || code === 1203));
	t.true(deployment.vms.every(({control}) => control.status().members.every(({state}) => state === 'alive')));
	t.deepEqual(caller.problems(), []);
}

// Guards against open connections that go silent and delay keys, claims, shares or heartbeats for longer than 2 s.
test.serial('faults: links between VMs that go silent are replaced', async t => {
	const fixture = await startFixture(t);
	await assertSilentLinksReplaced(t, fixture, () => {
		fixture.routes.silence(({isStore}) => !isStore);
	});
});

// Guards against store connections that go silent and prevent keys from being confirmed.
test.serial('faults: store connections that go silent are replaced', async t => {
	const fixture = await startFixture(t);
	await assertSilentLinksReplaced(t, fixture, () => {
		fixture.routes.silence(({isStore}) => isStore);
	});
});

// Guards against an entry daemon that keeps waiting on a silent connection to its control daemon.
test.serial('faults: links inside a VM that go silent are replaced', async t => {
	const fixture = await startFixture(t);
	await assertSilentLinksReplaced(t, fixture, () => {
		for (const {record} of fixture.deployment.vms) {
			fixture.routes.silenceLocalLinks(record);
		}
	});
});

// Guards against open requests and early checks that fail, checks that run after their keys were stale for 10 s, and orders that run twice when the domains are partitioned while the store is down.
test.serial('faults: domains cut off from each other during a store outage serve open routes and run no order twice', async t => {
	const fixture = await startFixture(t);
	const {caller, routes, setStoreDown, timers} = fixture;
	setStoreDown(true);
	const open = caller.startLoad(() => urlsOf(fixture), () => ({kind: RequestKind.open}));
	const orders = caller.startLoad(() => urlsOf(fixture), index => ({kind: RequestKind.order, key: shopKey, orderKey: `split-${Math.floor(index / 4)}`}));
	const checks = caller.startLoad(() => urlsOf(fixture), () => check);
	await timers.sleep(1000);
	routes.cut(boundaryPathsOf('south-a'));
	const cutAtMs = timers.nowMs();
	await timers.sleep(12_000);
	const checkResults = await checks.stop();
	t.true(checkResults.filter(({startedMs}) => startedMs > cutAtMs + 10_000).every(result => !caller.hasRun(result.id)));
	t.deepEqual(describeFailures(checkResults.filter(({startedMs}) => startedMs < cutAtMs + 4000)), []);
	setStoreDown(false);
	routes.heal();
	await timers.sleep(3000);
	await orders.stop();
	t.deepEqual(describeFailures(await open.stop()), []);
	t.deepEqual(caller.problems(), []);
});
