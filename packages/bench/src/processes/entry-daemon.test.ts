import process from 'node:process';
import test, {registerCompletionHandler} from 'ava';
import {
	call, ContinuousLoad, sleep, waitUntil, findIncorrectErrors, type CallResult,
} from './caller.js';
import {ProcessFleet, type ProcessVm} from './process-fleet.js';

// Connections that stay open after the tests would keep the test process running.
registerCompletionHandler(() => {
	process.exit();
});

const slots = 4;

// Every third call is a reservation with a new order key.
async function mixedCall(vm: ProcessVm, index: number): Promise<CallResult> {
	return call(vm.record.entryUrl, index % 3 === 0 ? {orderKey: `${vm.record.vm}-${index}`} : {});
}

function summarize(results: readonly CallResult[]): unknown[] {
	return results.slice(0, 5).map(({completion, status, code, outcome, error}) => ({
		completion, status, code, outcome, error,
	}));
}

async function ordersRunTwice(fleet: ProcessFleet): Promise<string[]> {
	const runs = await fleet.runsByOrder();
	return [...runs].filter(([, count]) => count > 1).map(([order]) => order);
}

// Guards against an order that another VM runs again after the entry daemon that forwarded it was killed.
test.serial('an order whose entry daemon dies while it runs is not run again by its repeat at the other VM', async t => {
	const fleet = await ProcessFleet.start(t, {serviceMs: 600});
	const [vm, other] = fleet.vms;
	const orders = ['first', 'second', 'third'];
	const attempts = orders.map(async order => call(vm.record.entryUrl, {orderKey: order}));
	await waitUntil('the orders run', async () => {
		const runs = await fleet.runsByOrder();
		return orders.every(order => runs.get(order) === 1);
	});
	await vm.entry.kill();
	const attemptResults = await Promise.all(attempts);
	t.deepEqual(attemptResults.map(({completion}) => completion), ['cut', 'cut', 'cut']);
	for (const waitMs of [0, 5000]) {
		await sleep(waitMs);
		const repeats = await Promise.all(orders.map(async order => call(other.record.entryUrl, {orderKey: order})));
		t.true(repeats.every(({code, outcome}) => (code === 1304 || code === 1305) && outcome === 'unknown'), `answers were ${JSON.stringify(summarize(repeats))}`);
	}

	vm.entry.start();
	await fleet.waitUntilServing();
	const repeats = await Promise.all(orders.map(async order => call(vm.record.entryUrl, {orderKey: order})));
	t.true(repeats.every(({code, outcome}) => (code === 1304 || code === 1305) && outcome === 'unknown'), `answers were ${JSON.stringify(summarize(repeats))}`);
	const runs = await fleet.runsByOrder();
	t.deepEqual(orders.map(order => runs.get(order)), [1, 1, 1]);
});

// Guards against an entry daemon that uses slots and claims from before its pause, and against requests that never complete.
test.serial('requests held by a paused entry daemon end truly, and no order runs twice', async t => {
	const fleet = await ProcessFleet.start(t, {serviceMs: 50, slots});
	const [vm, other] = fleet.vms;
	const load = new ContinuousLoad(8, 10, async index => mixedCall(vm, index));
	const otherLoad = new ContinuousLoad(4, 10, async index => mixedCall(other, index));
	await sleep(2000);
	vm.entry.signal('SIGSTOP');
	const pausedAtMs = performance.now();
	await sleep(8000);
	vm.entry.signal('SIGCONT');
	const resumedAtMs = performance.now();
	await waitUntil('requests are served again', () => load.results.some(({status, sentAtMs}) => status === 200 && sentAtMs > resumedAtMs), 20_000);
	await sleep(2000);
	const results = await load.stop();
	const otherResults = await otherLoad.stop();
	const heldResults = results.filter(({sentAtMs, endedAtMs}) => sentAtMs < resumedAtMs && endedAtMs > pausedAtMs);
	t.true(heldResults.length > 0);
	const requestsRun = await fleet.requestsRun();
	t.deepEqual(summarize(findIncorrectErrors([...results, ...otherResults], requestsRun)), []);
	t.deepEqual(summarize(results.filter(({completion, status, request}) => completion !== 'answered' || (status === 200 && !requestsRun.has(request)))), []);
	t.deepEqual(summarize(otherResults.filter(({status}) => status !== 200)), []);
	t.deepEqual(await ordersRunTwice(fleet), []);
	for (const {maxInFlight} of await fleet.observations()) {
		t.true(maxInFlight > 0 && maxInFlight <= slots, `${maxInFlight} requests in flight at once`);
	}
});

// Guards against a planned stop that cuts connections or rejects requests, and against daemons that do not exit.
test.serial('SIGTERM to all daemons of a VM under load cuts no request and ends each with 0', async t => {
	const fleet = await ProcessFleet.start(t, {serviceMs: 50});
	const [vm, other] = fleet.vms;
	const load = new ContinuousLoad(6, 10, async index => mixedCall(vm, index));
	const otherLoad = new ContinuousLoad(3, 10, async index => mixedCall(other, index));
	await sleep(2000);
	const stoppedAtMs = performance.now();
	for (const daemon of [vm.control, vm.entry, vm.lookup]) {
		daemon.signal('SIGTERM');
	}

	const exitCodes = await Promise.all([vm.control, vm.entry, vm.lookup].map(async daemon => daemon.exitCode()));
	t.deepEqual(exitCodes, [0, 0, 0]);
	const results = await load.stop();
	const otherResults = await otherLoad.stop();
	t.deepEqual(summarize(results.filter(({completion}) => completion === 'cut')), []);
	t.deepEqual(summarize(findIncorrectErrors(results, await fleet.requestsRun())), []);
	t.true(results.some(({status, sentAtMs}) => status === 200 && sentAtMs > stoppedAtMs));
	// The control daemon serves claims and shares until the entry daemon has exited, so no request is rejected.
	t.deepEqual(summarize(results.filter(({completion, status}) => completion === 'answered' && status !== 200)), []);
	t.deepEqual(summarize(otherResults.filter(({status}) => status !== 200)), []);
	t.deepEqual(await ordersRunTwice(fleet), []);
});
