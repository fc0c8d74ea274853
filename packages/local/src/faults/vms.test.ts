import process from 'node:process';
import test, {registerCompletionHandler, type ExecutionContext} from 'ava';
import {DaemonKind} from '../routes.js';
import {type DeployedVm} from '../vm.js';
import {RequestKind, type RequestResult} from './caller.js';
import {shopKey, startFixture, type Fixture} from './fixture.js';

// Connections that a relay has silenced can stay open after the tests and would keep the test process running.
registerCompletionHandler(() => {
	process.exit();
});

/** URLs of the entry VMs that the look-up daemons name at present; look-up daemons that do not answer are skipped. */
async function namedUrls({deployment}: Fixture): Promise<string[]> {
	const urls = new Set<string>();
	for (const {record} of deployment.vms) {
		try {
			const response = await fetch(`${record.lookupUrl}/v1/lookup?service=booking`);
			const answer = await response.json() as {endpoints?: Array<{url: string}>};
			for (const {url} of answer.endpoints ?? []) {
				urls.add(url);
			}
		} catch {
			// Callers try the next look-up daemon.
		}
	}

	return [...urls];
}

/** Sends a mixed load to the entry VMs that the look-up daemons name; the list is refreshed every 250 ms. */
async function startLookupLoad(t: ExecutionContext, fixture: Fixture) {
	let urls = await namedUrls(fixture);
	const cancel = fixture.timers.repeat(250, async () => {
		const next = await namedUrls(fixture);
		urls = next.length > 0 ? next : urls;
	});
	t.teardown(cancel);
	const load = fixture.caller.startLoad(() => urls, index => index % 5 === 0
		? {kind: RequestKind.order, key: shopKey, orderKey: `load-${index}`}
		: {kind: RequestKind.check, key: shopKey}, {loops: 6});
	return {
		async stop() {
			cancel();
			return load.stop();
		},
		urls: () => urls,
	};
}

const describeFailures = (results: readonly RequestResult[]) => results.filter(({status}) => status !== 200).map(({url, kind, code, error}) => `${url} ${kind} ${code} ${error}`);

async function isServing({caller}: Fixture, {record}: DeployedVm): Promise<boolean> {
	const {status} = await caller.send(record.entryUrl, {kind: RequestKind.check, key: shopKey});
	return status === 200;
}

/** Performs a planned stop: the platform lists the VM as leaving, its daemons drain, and it is removed from the list. */
async function performPlannedStop({deployment, writeLists}: Fixture, vm: DeployedVm): Promise<void> {
	await writeLists([vm.record.vm]);
	await vm.drain();
	deployment.removeVm(vm);
	await writeLists();
}

// Guards against requests that fail while the control daemon of their VM is down.
test.serial('faults: requests go on while control daemons are killed and restarted', async t => {
	const fixture = await startFixture(t);
	const {caller, deployment, timers} = fixture;
	const load = caller.startLoad(() => deployment.vms.map(({record}) => record.entryUrl), () => ({kind: RequestKind.check, key: shopKey}));
	for (const vm of deployment.vms) {
		await timers.sleep(500);
		await vm.killDaemon(DaemonKind.control);
		await timers.sleep(1500);
		await vm.startDaemon(DaemonKind.control);
		t.true(await vm.waitUntilReady());
	}

	const results = await load.stop();
	t.deepEqual(describeFailures(results), []);
	t.deepEqual(caller.problems(), []);
});

// Guards against an entry daemon that stays unavailable to callers long after it was killed and restarted, and against failures at other VMs or wrong answers when it dies.
test.serial('faults: after an entry daemon is killed, callers go to the next and it comes back', async t => {
	const fixture = await startFixture(t);
	const {caller, deployment, timers, vm, waitUntil} = fixture;
	const load = caller.startLoad(() => deployment.vms.map(({record}) => record.entryUrl), index => index % 4 === 0
		? {kind: RequestKind.order, key: shopKey, orderKey: `entry-${index}`}
		: {kind: RequestKind.check, key: shopKey}, {loops: 8, pauseMs: 5});
	await timers.sleep(500);
	await vm('north-a-1').killDaemon(DaemonKind.entry);
	await timers.sleep(1000);
	await vm('north-a-1').startDaemon(DaemonKind.entry);
	t.true(await vm('north-a-1').waitUntilReady());
	t.true(await waitUntil(async () => isServing(fixture, vm('north-a-1')), 5000));
	const results = await load.stop();
	const killedUrl = vm('north-a-1').record.entryUrl;
	t.deepEqual(describeFailures(results.filter(({url}) => url !== killedUrl)), []);
	t.true(results.filter(({url}) => url === killedUrl).every(({status, error, outcome}) => status === 200 || error !== undefined || outcome === 'not-run'));
	t.deepEqual(caller.problems(), []);
});

// Guards against a planned stop that aborts requests, and against look-ups that keep naming the VM.
test.serial('faults: a planned stop under load aborts no request and look-ups stop naming the VM', async t => {
	const fixture = await startFixture(t);
	const {caller, timers, vm, setServiceMs} = fixture;
	setServiceMs(60);
	const load = await startLookupLoad(t, fixture);
	await timers.sleep(800);
	const leaving = vm('north-a-1');
	t.true(load.urls().includes(leaving.record.entryUrl));
	const stopped = performPlannedStop(fixture, leaving);
	await timers.sleep(2000);
	t.false(load.urls().includes(leaving.record.entryUrl));
	await stopped;
	await timers.sleep(500);
	t.deepEqual(describeFailures(await load.stop()), []);
	t.deepEqual(caller.problems(), []);
});

// Guards against look-ups that keep naming a VM whose daemons received SIGTERM before the platform listed it as leaving.
test.serial('faults: look-ups stop naming a VM that drains although the platform\'s list lags', async t => {
	const fixture = await startFixture(t);
	const {caller, timers, vm} = fixture;
	const load = await startLookupLoad(t, fixture);
	await timers.sleep(500);
	const stopped = vm('north-a-1').drain();
	await timers.sleep(2000);
	t.false(load.urls().includes(vm('north-a-1').record.entryUrl));
	await stopped;
	t.deepEqual(describeFailures(await load.stop()), []);
	t.deepEqual(caller.problems(), []);
});

// Guards against a control daemon that stops before its draining entry daemon, which then refuses orders that it should still serve.
test.serial('faults: a VM whose daemons get SIGTERM together serves orders until it stops accepting', async t => {
	const fixture = await startFixture(t);
	const {caller, timers, vm} = fixture;
	const {entryUrl} = vm('north-a-1').record;
	const load = caller.startLoad(() => [entryUrl], index => ({kind: RequestKind.order, key: shopKey, orderKey: `draining-${index}`}));
	await timers.sleep(500);
	const startedMs = timers.nowMs();
	await vm('north-a-1').drain();
	const results = await load.stop();
	t.true(results.some(({status, startedMs: sentMs}) => status === 200 && sentMs > startedMs + 1000));
	// The VM no longer listens once it has drained, so refused connections are expected.
	t.deepEqual(describeFailures(results.filter(({error}) => error !== 'ECONNREFUSED')), []);
	t.deepEqual(caller.problems(), []);
});

// Guards against a control daemon that cannot be restarted on its own because it waits for an entry daemon that keeps running.
test.serial('faults: a control daemon that gets SIGTERM alone ends at once', async t => {
	const {timers, vm} = await startFixture(t);
	const startedMs = timers.nowMs();
	await vm('north-a-1').drainControl();
	t.true(timers.nowMs() - startedMs < 3000);
});

/** Replaces the VMs one after the other by planned stops; passes the URLs of the VMs that are ready and not leaving to `onServing`. */
async function replaceAll(t: ExecutionContext, fixture: Fixture, onServing: (urls: string[]) => void): Promise<void> {
	const {deployment, writeLists} = fixture;
	const originalVms = [...deployment.vms];
	for (const old of originalVms) {
		const {failureDomain, region, vm} = old.record;
		const replacement = await deployment.addVm(`${vm}-next`, {name: failureDomain, region});
		t.true(await replacement.waitUntilReady());
		await writeLists();
		onServing(deployment.vms.filter(other => other !== old).map(({record}) => record.entryUrl));
		await performPlannedStop(fixture, old);
	}

	t.true(deployment.vms.every(({record}) => record.vm.endsWith('-next')));
}

// Guards against planned stops that abort requests or run orders twice when every VM is replaced in turn.
test.serial('faults: all VMs are replaced one by one under load without an aborted or lost request', async t => {
	const fixture = await startFixture(t);
	const {caller, deployment} = fixture;
	let urls = deployment.vms.map(({record}) => record.entryUrl);
	const load = caller.startLoad(() => urls, index => index % 5 === 0
		? {kind: RequestKind.order, key: shopKey, orderKey: `replace-${index}`}
		: {kind: RequestKind.check, key: shopKey});
	await replaceAll(t, fixture, serving => {
		urls = serving;
	});
	const results = await load.stop();
	t.true(results.length > 100);
	t.deepEqual(describeFailures(results), []);
	t.deepEqual(caller.problems(), []);
});

// Guards against look-ups that name a VM before it can serve or after it has stopped.
test.serial('faults: look-ups name only VMs that serve while all VMs are replaced one by one', async t => {
	const fixture = await startFixture(t);
	const load = await startLookupLoad(t, fixture);
	await replaceAll(t, fixture, () => undefined);
	t.deepEqual(describeFailures(await load.stop()), []);
	t.deepEqual(fixture.caller.problems(), []);
});

// Guards against a VM that cannot join without the store, for example a replacement started during a store outage.
test.serial('faults: a VM started during a store outage serves within seconds', async t => {
	const fixture = await startFixture(t);
	const {caller, deployment, setStoreDown, timers, waitUntil} = fixture;
	setStoreDown(true);
	await timers.sleep(2000);
	const added = await deployment.addVm('north-a-3', {name: 'north-a', region: 'north'});
	t.true(await added.waitUntilReady(10_000));
	t.true(await waitUntil(async () => isServing(fixture, added), 5000));
	t.deepEqual(caller.problems(), []);
});

// Guards against a restarted VM that its failure domain still regards as dead, and against an old incarnation mistaken for the new one.
test.serial('faults: a VM that is killed and restarted again and again under load returns each time', async t => {
	const fixture = await startFixture(t);
	const {caller, deployment, timers, vm} = fixture;
	const load = caller.startLoad(() => deployment.vms.map(({record}) => record.entryUrl), index => index % 4 === 0
		? {kind: RequestKind.order, key: shopKey, orderKey: `flap-${Math.floor(index / 8)}`}
		: {kind: RequestKind.check, key: shopKey});
	for (const pauseMs of [100, 1000, 3500]) {
		await vm('south-a-1').kill();
		await timers.sleep(pauseMs);
		await vm('south-a-1').start();
		t.true(await vm('south-a-1').waitUntilReady());
		await timers.sleep(300);
	}

	const results = await load.stop();
	t.deepEqual(results.filter(({url, status, kind}) => kind === RequestKind.check && status !== 200 && url !== vm('south-a-1').record.entryUrl).map(({code, error}) => `${code} ${error}`), []);
	t.deepEqual(caller.problems(), []);
	t.true(await isServing(fixture, vm('south-a-1')));
});
