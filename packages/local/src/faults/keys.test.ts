import process from 'node:process';
import test, {registerCompletionHandler, type ExecutionContext} from 'ava';
import {sha256Hex} from '@fescuewick/core';
import {
	editConfiguration, loadConfiguration, setWorkspaceRate, withdrawKey,
} from '@fescuewick/config';
import {RequestKind, type RequestResult} from './caller.js';
import {
	boundaryPathsOf, shopKey, startFixture, storePathsOf, studioKey, type Fixture,
} from './fixture.js';

// Connections that a relay has silenced can stay open after the tests and would keep the test process running.
registerCompletionHandler(() => {
	process.exit();
});

/** Time within which a change is in force everywhere (I12). */
const maxChangeMs = 10_000;
/** Time within which a revocation is in force everywhere (I5). */
const maxRevocationMs = 5000;

const urlsOf = ({deployment}: Fixture) => deployment.vms.map(({record}) => record.entryUrl);

const mixedRequests = (key: string) => (index: number) => index % 5 === 0
	? {kind: RequestKind.order, key, orderKey: `order-${key}-${index}`}
	: {kind: RequestKind.check, key};

async function revokeThrough({vm}: Fixture, name: string, key: string): Promise<number> {
	const response = await fetch(`${vm(name).record.adminUrl}/v1/revocations`, {
		method: 'POST', headers: {'content-type': 'application/json'}, body: JSON.stringify({keyHashes: [sha256Hex(key)]}),
	});
	await response.text();
	return response.status;
}

/** Asserts that requests sent with the withdrawn key more than `maxRevocationMs` after its revocation did not run, and that the other key kept working. */
function assertRevoked(t: ExecutionContext, {caller}: Fixture, {withdrawn, other, revokedAtMs}: {withdrawn: RequestResult[]; other: RequestResult[]; revokedAtMs: number}): void {
	const lateResults = withdrawn.filter(({startedMs}) => startedMs > revokedAtMs + maxRevocationMs);
	t.true(lateResults.length > 10);
	t.deepEqual(lateResults.filter(result => result.outcome === 'done' || caller.hasRun(result.id)).map(({id, code}) => `${id} ${code}`), []);
	t.true(lateResults.every(({status, code, error}) => error !== undefined || (status === 401 && (code === 1103 || code === 1110))));
	t.deepEqual(other.filter(({status}) => status !== 200).map(({id, code, error}) => `${id} ${code} ${error}`), []);
	t.deepEqual(caller.problems(), []);
}

// Guards against a withdrawn key that keeps working on connections that its caller keeps open.
test.serial('faults: a key withdrawn under load stops working on live connections', async t => {
	const fixture = await startFixture(t);
	const {caller, deployment, timers} = fixture;
	const withdrawn = caller.startLoad(() => urlsOf(fixture), mixedRequests(shopKey));
	const other = caller.startLoad(() => urlsOf(fixture), () => ({kind: RequestKind.check, key: studioKey}));
	await timers.sleep(500);
	await editConfiguration(deployment.store, document => withdrawKey(document, 'shop-1'), {author: 'abeba', summary: 'withdraw shop-1'});
	const revokedAtMs = timers.nowMs();
	await timers.sleep(maxRevocationMs + 1000);
	assertRevoked(t, fixture, {withdrawn: await withdrawn.stop(), other: await other.stop(), revokedAtMs});
});

// Guards against a revocation that waits for the store, or that is lost when the store returns with the key still in its configuration.
test.serial('faults: a key withdrawn through one VM during a store outage stops everywhere and stays withdrawn', async t => {
	const fixture = await startFixture(t);
	const {caller, deployment, timers, setStoreDown, waitUntil} = fixture;
	setStoreDown(true);
	const withdrawn = caller.startLoad(() => urlsOf(fixture), () => ({kind: RequestKind.check, key: shopKey}));
	const other = caller.startLoad(() => urlsOf(fixture), () => ({kind: RequestKind.check, key: studioKey}));
	await timers.sleep(1500);
	t.is(await revokeThrough(fixture, 'south-a-2', shopKey), 200);
	const revokedAtMs = timers.nowMs();
	await timers.sleep(maxRevocationMs + 1000);
	setStoreDown(false);
	t.true(await waitUntil(async () => {
		const loaded = await loadConfiguration(deployment.store);
		return loaded?.document.keys.every(key => key.id !== 'shop-1') ?? false;
	}, maxChangeMs));
	await timers.sleep(1000);
	assertRevoked(t, fixture, {withdrawn: await withdrawn.stop(), other: await other.stop(), revokedAtMs});
});

// Guards against a revocation that is lost with the VM that accepted it, and against a restarted VM that does not learn of it.
test.serial('faults: a revocation during a store outage survives the VM that took it', async t => {
	const fixture = await startFixture(t);
	const {caller, timers, setStoreDown, vm, deployment} = fixture;
	setStoreDown(true);
	await timers.sleep(1000);
	t.is(await revokeThrough(fixture, 'north-a-1', shopKey), 200);
	await timers.sleep(1000);
	await vm('north-a-1').kill();
	await vm('north-a-1').start();
	t.true(await vm('north-a-1').waitUntilReady());
	await timers.sleep(1000);
	setStoreDown(false);
	await timers.sleep(2000);
	for (const {record} of deployment.vms) {
		const {status, code} = await caller.send(record.entryUrl, {kind: RequestKind.check, key: shopKey});
		t.is(status, 401, `${record.vm} ${code}`);
	}

	t.deepEqual(caller.problems(), []);
});

// Guards against a cut-off domain that serves keys which may have been withdrawn on the other side, and against open routes that stop.
test.serial('faults: a domain cut off from everything stops keyed routes by class and keeps open ones', async t => {
	const fixture = await startFixture(t);
	const {caller, routes, timers, vm, waitUntil} = fixture;
	const cutUrls = () => [vm('south-a-1').record.entryUrl, vm('south-a-2').record.entryUrl];
	const loads = {
		orders: caller.startLoad(cutUrls, index => ({kind: RequestKind.order, key: shopKey, orderKey: `cut-${index}`})),
		checks: caller.startLoad(cutUrls, () => ({kind: RequestKind.check, key: shopKey})),
		open: caller.startLoad(cutUrls, () => ({kind: RequestKind.open})),
		outside: caller.startLoad(() => [vm('north-a-1').record.entryUrl], () => ({kind: RequestKind.check, key: shopKey})),
	};
	await timers.sleep(1000);
	routes.cut(boundaryPathsOf('south-a'));
	const cutAtMs = timers.nowMs();
	await timers.sleep(13_000);
	const orders = await loads.orders.stop();
	const checks = await loads.checks.stop();
	const open = await loads.open.stop();
	const outside = await loads.outside.stop();
	// Without confirmation of its keys a VM accepts at-most-once requests for 5 s and repeatable ones for 10 s.
	t.deepEqual(orders.filter(result => result.startedMs > cutAtMs + 5000 && caller.hasRun(result.id)).map(({code}) => code), []);
	t.deepEqual(checks.filter(result => result.startedMs > cutAtMs + 10_000 && caller.hasRun(result.id)).map(({code}) => code), []);
	t.true(checks.filter(({startedMs}) => startedMs > cutAtMs + 10_000).every(({code, outcome}) => code === 1104 && outcome === 'not-run'));
	t.true(checks.some(({startedMs, status}) => startedMs > cutAtMs + 6000 && status === 200));
	t.deepEqual(open.filter(({status}) => status !== 200).map(({code, error}) => `${code} ${error}`), []);
	t.deepEqual(outside.filter(({status}) => status !== 200).map(({code, error}) => `${code} ${error}`), []);
	routes.heal();
	t.true(await waitUntil(async () => {
		const {status} = await caller.send(cutUrls()[0], {kind: RequestKind.check, key: shopKey});
		return status === 200;
	}, maxChangeMs));
	t.deepEqual(caller.problems(), []);
});

// Guards against an operator's change that another operator overwrites unknowingly, and against VMs with different revisions afterwards.
test.serial('faults: changes of racing operators are all in force everywhere while VMs lose the store', async t => {
	const fixture = await startFixture(t);
	const {deployment, routes, timers, waitUntil} = fixture;
	routes.silence(({isStore}) => isStore);
	deployment.store.faults.loseAnswers = 2;
	const rates = [1, 2, 3, 4];
	await Promise.all([
		...rates.map(async rate => editConfiguration(deployment.store, document => setWorkspaceRate(document, 'studio', {ratePerS: 10_000 + rate}), {
			author: `operator-${rate}`, summary: 'rate', timers,
		})),
		editConfiguration(deployment.store, document => withdrawKey(document, 'shop-1'), {author: 'abeba', summary: 'withdraw', timers}),
	]);
	const loaded = await loadConfiguration(deployment.store);
	t.is(loaded?.head.revision, 6);
	t.is(new Set(loaded?.head.recentChanges.map(({changeId}) => changeId)).size, 6);
	t.true(await waitUntil(() => deployment.vms.every(vm => vm.control.status().revision === 6), maxChangeMs));
});

// Guards against a revision that reverts when VMs return that never received it, and against VMs that stay on an older revision.
test.serial('faults: a configuration applied while half the VMs are cut off is in force after they return', async t => {
	const fixture = await startFixture(t);
	const {deployment, routes, timers, vm, waitUntil, caller} = fixture;
	const revisions = new Map<string, number>();
	const reverts: string[] = [];
	const cancel = timers.repeat(20, () => {
		for (const {record, control} of deployment.vms) {
			const {revision} = control.status();
			if (revision < (revisions.get(record.vm) ?? 0)) {
				reverts.push(`${record.vm}: ${revisions.get(record.vm)} to ${revision}`);
			}

			revisions.set(record.vm, revision);
		}
	});
	t.teardown(cancel);
	routes.cut(boundaryPathsOf('south-a'));
	await timers.sleep(500);
	await editConfiguration(deployment.store, document => withdrawKey(document, 'shop-1'), {author: 'abeba', summary: 'withdraw'});
	t.true(await waitUntil(() => vm('north-a-1').control.status().revision === 2 && vm('north-a-2').control.status().revision === 2, maxChangeMs));
	t.is(vm('south-a-1').control.status().revision, 1);
	routes.heal();
	t.true(await waitUntil(() => deployment.vms.every(({control}) => control.status().revision === 2), maxChangeMs));
	t.true(await waitUntil(async () => {
		const {status} = await caller.send(vm('south-a-2').record.entryUrl, {kind: RequestKind.check, key: shopKey});
		return status === 401;
	}, 1000));
	await timers.sleep(2000);
	t.deepEqual(reverts, []);
	t.deepEqual(caller.problems(), []);
});

// Guards against VMs that cannot reach the store and stay on an old configuration although their peers have the new one.
test.serial('faults: VMs that lose only the store get changes through their peers', async t => {
	const fixture = await startFixture(t);
	const {deployment, routes, timers, waitUntil, caller} = fixture;
	routes.cut(storePathsOf('north-a-1', 'south-a-1', 'south-a-2'));
	await timers.sleep(500);
	await editConfiguration(deployment.store, document => withdrawKey(document, 'shop-1'), {author: 'abeba', summary: 'withdraw'});
	t.true(await waitUntil(() => deployment.vms.every(({control}) => control.status().revision === 2), maxChangeMs));
	await timers.sleep(6000);
	for (const {record} of deployment.vms) {
		const studioResult = await caller.send(record.entryUrl, {kind: RequestKind.check, key: studioKey});
		t.is(studioResult.status, 200, `${record.vm} ${studioResult.code}`);
		const shopResult = await caller.send(record.entryUrl, {kind: RequestKind.check, key: shopKey});
		t.is(shopResult.status, 401, `${record.vm} ${shopResult.code}`);
	}

	t.deepEqual(caller.problems(), []);
});
