import test from 'ava';
import {ClaimState} from '@fescuewick/wire';
import {ClaimFleet} from '../testing/claim-fleet.js';

const placement = [['a1', 'north'], ['a2', 'north'], ['b1', 'south'], ['b2', 'south']] as const;
const answer = {status: 201, headers: {'content-type': 'text/plain'}, body: new Uint8Array([1, 2, 3])};

// Guards against two VMs, or two connections of one VM, running the same order.
test('an order is granted to only one attempt across all VMs', async t => {
	const fleet = new ClaimFleet(placement);
	t.is(await fleet.claim('a1', 'k', 'first'), ClaimState.granted);
	t.is(await fleet.claim('a1', 'k', 'first'), ClaimState.granted);
	t.is(await fleet.claim('a1', 'k', 'same-vm'), ClaimState.inProgress);
	t.is(await fleet.claim('b2', 'k', 'other-vm'), ClaimState.inProgress);
	t.is(await fleet.claim('b2', 'k2', 'other-order'), ClaimState.granted);
});

// Guards against granting two concurrent attempts that are written in one batch.
test('exactly one of several concurrent attempts is granted', async t => {
	const fleet = new ClaimFleet(placement);
	const calls = ['a1', 'a2', 'b1', 'b2', 'a1', 'b2'].map((vm, index) => fleet.startClaim(vm, 'k', `attempt-${index}`));
	await fleet.advance(2000);
	t.is(calls.filter(({reply}) => reply?.state === ClaimState.granted).length, 1);
	t.is(calls.filter(({reply}) => reply?.state === ClaimState.inProgress).length, 5);
});

// Guards against a repeat that does not get the first answer, also after the owner that recorded it has died.
test('a repeat after completion gets the first answer, even after the owner has died', async t => {
	const fleet = new ClaimFleet(placement);
	await fleet.advance(1000);
	const key = fleet.keyOwnedBy('b1');
	t.is(await fleet.claim('a1', key, 'first'), ClaimState.granted);
	await fleet.complete('a1', key, 'first', answer);
	t.deepEqual(await fleet.claimReply('a2', key, 'second'), {state: ClaimState.done, answer});
	fleet.kill('b1');
	t.deepEqual(await fleet.claimReply('a2', key, 'third'), {state: ClaimState.done, answer});
});

// Guards against a second run after the owner died between its write and its answer.
test('a claim that was written before the owner died is granted to its claimant only', async t => {
	const fleet = new ClaimFleet(placement);
	await fleet.advance(1000);
	const key = fleet.keyOwnedBy('b1');
	fleet.node('b1').store.afterWrite = async () => {
		fleet.kill('b1');
	};

	t.is(await fleet.claim('a1', key, 'first'), ClaimState.granted);
	t.is(await fleet.claim('b2', key, 'second'), ClaimState.inProgress);
});

// Guards against an order that can never run because its owner died before the write.
test('a claim that was not written before the owner died is granted by the next owner', async t => {
	const fleet = new ClaimFleet(placement);
	await fleet.advance(1000);
	const key = fleet.keyOwnedBy('b1');
	fleet.node('b1').store.beforeWrite = async () => {
		fleet.kill('b1');
	};

	const call = fleet.startClaim('a1', key, 'first');
	await fleet.advance(500);
	t.is(await fleet.claim('b2', key, 'second'), ClaimState.granted);
	await fleet.advance(3000);
	t.is(call.reply?.state, ClaimState.inProgress);
});

// Guards against granting a repeat because the VM of the first attempt has died.
test('an order whose claimant was killed is reported as unknown and not granted again', async t => {
	const fleet = new ClaimFleet(placement);
	t.is(await fleet.claim('a1', 'k', 'first'), ClaimState.granted);
	fleet.kill('a1');
	await fleet.advance(61_000);
	t.is(await fleet.claim('b1', 'k', 'second'), ClaimState.unknown);
});

// Guards against a restarted VM running an order that its previous incarnation granted.
test('replaced VMs do not grant earlier orders again, even if all were replaced', async t => {
	const fleet = new ClaimFleet(placement);
	t.is(await fleet.claim('a1', 'k', 'first'), ClaimState.granted);
	const ticket = fleet.ticket('a2', 'x');
	t.is(await fleet.claim('a1', ticket, 'first'), ClaimState.granted);
	await fleet.complete('a1', 'k', 'first', answer);
	for (const [vm] of placement) {
		fleet.start(vm);
	}

	t.deepEqual(await fleet.claimReply('b1', 'k', 'second'), {state: ClaimState.done, answer});
	t.is(await fleet.claim('b1', ticket, 'second'), ClaimState.unknown);
	t.is(await fleet.claim('a2', ticket, 'second'), ClaimState.unknown);
});

// Guards against both sides of a network partition granting an order, and against grants by a side that cannot reach the store.
test('while failure domains are cut from each other only one side grants', async t => {
	const fleet = new ClaimFleet(placement);
	await fleet.advance(1000);
	fleet.hub.cut('north', 'south');
	const states = [await fleet.claim('a1', 'k', 'north'), await fleet.claim('b1', 'k', 'south')];
	t.deepEqual(states, [ClaimState.granted, ClaimState.inProgress]);
	for (const vm of ['b1', 'b2']) {
		fleet.node(vm).store.isCut = true;
	}

	t.is(await fleet.claim('b1', 'k2', 'south'), ClaimState.unavailable);
	t.is(await fleet.claim('a1', 'k2', 'north'), ClaimState.granted);
	const ticket = fleet.ticket('b1', 'x');
	t.is(await fleet.claim('b2', ticket, 'south'), ClaimState.granted);
	t.is(await fleet.claim('a1', ticket, 'north'), ClaimState.unknown);
	fleet.hub.heal();
	t.is(await fleet.claim('a1', ticket, 'north-again'), ClaimState.inProgress);
	t.is(await fleet.claim('b1', 'k2', 'south-again'), ClaimState.inProgress);
});

// Guards against a second grant by an owner that is paused before or after a write and resumes after another one took over.
for (const step of ['beforeWrite', 'afterWrite'] as const) {
	test(`an owner paused ${step === 'beforeWrite' ? 'before' : 'after'} its write does not lead to a second grant`, async t => {
		const fleet = new ClaimFleet(placement);
		await fleet.advance(1000);
		const key = fleet.keyOwnedBy('b1');
		const owner = fleet.node('b1');
		owner.store[step] = async () => {
			owner.store[step] = undefined;
			owner.gate.close();
			fleet.hub.kill('b1');
			await owner.gate.waitUntilOpen();
		};

		const first = fleet.startClaim('b1', key, 'first');
		await fleet.advance(500);
		const second = await fleet.claim('a1', key, 'second');
		t.is(second, step === 'beforeWrite' ? ClaimState.granted : ClaimState.inProgress);
		fleet.hub.deadVms.delete('b1');
		owner.gate.open();
		await fleet.advance(5000);
		t.is(first.grants, step === 'beforeWrite' ? 0 : 1);
		t.is(await fleet.claim('b1', key, 'third'), ClaimState.inProgress);
	});
}

// Guards against grants without a confirmed write.
test('no claim is granted while the store is down, silent or too slow', async t => {
	const fleet = new ClaimFleet(placement);
	await fleet.advance(1000);
	fleet.store.faults.down = true;
	t.is(await fleet.claim('a1', 'k1', 'first'), ClaimState.unavailable);
	fleet.store.faults.down = false;
	fleet.store.faults.silent = true;
	t.is(await fleet.claim('a1', 'k2', 'first'), ClaimState.unavailable);
	fleet.store.faults.silent = false;
	fleet.store.faults.slowMs = 2000;
	t.is(await fleet.claim('a1', 'k3', 'first'), ClaimState.unavailable);
	fleet.store.faults.slowMs = 0;
	await fleet.advance(5000);
	t.is(await fleet.claim('a1', 'k1', 'second'), ClaimState.granted);
	const third = await fleet.claim('b1', 'k3', 'third');
	t.true(third === ClaimState.inProgress || third === ClaimState.granted);
});

// Guards against a lost answer of the store being taken for a write that did not take effect.
for (const lostAnswerCount of [1, 2, 3]) {
	test(`claims are decided once when ${lostAnswerCount} answers of the store are lost`, async t => {
		const fleet = new ClaimFleet(placement, {maxTailBytes: 29 * 4});
		await fleet.advance(1000);
		for (let index = 0; index < 12; index++) {
			fleet.store.faults.loseAnswers = lostAnswerCount;
			const first = await fleet.claim('a1', `k${index}`, 'first');
			fleet.store.faults.loseAnswers = 0;
			t.true(first === ClaimState.granted || first === ClaimState.unavailable);
			const second = await fleet.claim('b1', `k${index}`, 'second');
			t.true(first !== ClaimState.granted || second === ClaimState.inProgress);
		}
	});
}

// Guards against two grants of an order while two nodes both consider themselves the owner of its partition.
test('two simultaneous owners grant each order once and continue to grant orders', async t => {
	const fleet = new ClaimFleet(placement);
	fleet.node('a1').peers.setMisjudged(['a2', 'b1', 'b2']);
	fleet.node('b1').peers.setMisjudged(['a1', 'a2', 'b2']);
	const callPairs = Array.from({length: 40}, (_, index) => [fleet.startClaim('a1', `k${index}`, 'north'), fleet.startClaim('b1', `k${index}`, 'south')]);
	await fleet.advance(4000);
	for (const pair of callPairs) {
		t.is(pair.filter(({reply}) => reply?.state === ClaimState.granted).length, 1);
	}
});

// Guards against a release that frees an order before it is written.
test('a release takes effect only once it is written', async t => {
	const fleet = new ClaimFleet(placement);
	t.is(await fleet.claim('a1', 'k', 'first'), ClaimState.granted);
	fleet.store.faults.down = true;
	await fleet.release('a1', 'k', 'first');
	t.not(await fleet.claim('b1', 'k', 'second'), ClaimState.granted);
	fleet.store.faults.down = false;
	await fleet.advance(3000);
	t.is(await fleet.claim('b1', 'k', 'second'), ClaimState.granted);
	t.is(await fleet.claim('a1', 'k', 'first'), ClaimState.inProgress);
});

// Guards against an order blocked permanently by a claim that was written after its claimant got the reply "unavailable".
test('a claim that was answered as unavailable but written is freed by a release', async t => {
	const fleet = new ClaimFleet(placement);
	await fleet.advance(1000);
	fleet.store.faults.slowMs = 1500;
	t.is(await fleet.claim('a1', 'k', 'first'), ClaimState.unavailable);
	fleet.store.faults.slowMs = 0;
	await fleet.advance(3000);
	t.is(await fleet.claim('b1', 'k', 'second'), ClaimState.inProgress);
	await fleet.release('a1', 'k', 'first');
	t.is(await fleet.claim('b1', 'k', 'third'), ClaimState.granted);
});

// Guards against granting a repeat after the repeat window, when its order has no exact entry any more.
test('a repeat past the window is refused as expired, also after everything restarted', async t => {
	const fleet = new ClaimFleet(placement, {repeatWindowMs: 80_000});
	t.is(await fleet.claim('a1', 'k', 'first'), ClaimState.granted);
	await fleet.complete('a1', 'k', 'first');
	fleet.timers.pause(79_000);
	t.is(await fleet.claim('a1', 'k', 'second'), ClaimState.expired);
	fleet.timers.pause(20_000);
	t.is(await fleet.claim('a1', 'new', 'first'), ClaimState.granted);
	t.is(await fleet.claim('b1', 'k', 'third'), ClaimState.expired);
	fleet.timers.pause(200_000);
	for (const [vm] of placement) {
		fleet.start(vm);
	}

	t.is(await fleet.claim('b1', 'new', 'second'), ClaimState.expired);
	t.is(await fleet.claim('b1', 'k', 'fourth'), ClaimState.expired);
});

// Guards against a journal with a new partition count that does not know earlier orders.
test('a changed number of partitions does not lose earlier orders', async t => {
	const fleet = new ClaimFleet(placement);
	t.is(await fleet.claim('a1', 'k', 'first'), ClaimState.granted);
	fleet.journal = {...fleet.journal, partitions: 7};
	for (const [vm] of placement) {
		fleet.start(vm);
	}

	for (const vm of ['a1', 'b1']) {
		t.is(await fleet.claim(vm, 'k', 'second'), ClaimState.inProgress);
	}
});
