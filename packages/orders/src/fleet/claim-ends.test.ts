import test from 'ava';
import {ClaimState} from '@fescuewick/wire';
import {ClaimFleet} from '../testing/claim-fleet.js';
import {type FleetClaimService} from './fleet-claim-service.js';

const placement = [['a1', 'north'], ['a2', 'north'], ['b1', 'south'], ['b2', 'south']] as const;
const answer = {status: 201, headers: {'content-type': 'text/plain'}, body: new Uint8Array([1, 2, 3])};
/** Too long to be stored in the journal tail. */
const longAnswer = {...answer, body: new Uint8Array(3000).fill(7)};

// Guards against a repeat being answered "in progress" for a minute although the first attempt has ended.
test('a repeat of an order that ended as unknown is reported as unknown at once, and a late complete answer replaces that result', async t => {
	const fleet = new ClaimFleet(placement);
	await fleet.advance(1000);
	for (const key of [fleet.keyOwnedBy('b1'), fleet.ticket('b2', 'x')]) {
		t.is(await fleet.claim('a1', key, 'first'), ClaimState.granted);
		await fleet.completeUnknown('a1', key, 'first');
		t.is(await fleet.claim('a2', key, 'second'), ClaimState.unknown);
		await fleet.complete('a2', key, 'second', answer);
		t.is(await fleet.claim('a1', key, 'first'), ClaimState.unknown);
		// An order that may have been sent cannot be released.
		await fleet.release('a1', key, 'first');
		t.is(await fleet.claim('a2', key, 'third'), ClaimState.unknown);
		await fleet.complete('a1', key, 'first', answer);
		t.deepEqual(await fleet.claimReply('a2', key, 'fourth'), {state: ClaimState.done, answer});
	}
});

// Guards against an unknown result that is lost with the owner that recorded it.
test('an unknown result is known to the next owner', async t => {
	const fleet = new ClaimFleet(placement);
	await fleet.advance(1000);
	const key = fleet.keyOwnedBy('b1');
	t.is(await fleet.claim('a1', key, 'first'), ClaimState.granted);
	await fleet.completeUnknown('a1', key, 'first');
	fleet.kill('b1');
	t.is(await fleet.claim('a2', key, 'second'), ClaimState.unknown);
});

// Guards against a repeat being answered "in progress" for a minute although the VM of the first attempt is known to be dead.
test('the claims of a dead VM become unknown as soon as membership reports it as dead', async t => {
	const fleet = new ClaimFleet(placement);
	await fleet.advance(1000);
	for (const key of [fleet.keyOwnedBy('b1'), fleet.ticket('b2', 'x')]) {
		fleet.start('a1');
		await fleet.advance(1000);
		t.is(await fleet.claim('a1', key, 'first'), ClaimState.granted);
		t.is(await fleet.claim('a2', key, 'second'), ClaimState.inProgress);
		fleet.kill('a1');
		await fleet.advance(500);
		t.is(await fleet.claim('a2', key, 'third'), ClaimState.unknown);
	}
});

// Guards against a repeat being answered "in progress" for a minute although the entry daemon of the first attempt is gone; its VM is alive.
test('the claims of an entry daemon are unknown when another one has connected, or 3 s after it is gone', async t => {
	const fleet = new ClaimFleet(placement);
	fleet.entryIncarnations.set('a1', ['e1']);
	fleet.start('a1');
	await fleet.advance(1000);
	const [replacedKey, completedKey, disconnectedKey] = ['k1', 'k2', 'k3'];
	t.is(await fleet.claim('a1', replacedKey, 'e1.1'), ClaimState.granted);
	t.is(await fleet.claim('a1', completedKey, 'e1.2'), ClaimState.granted);
	await fleet.complete('a1', completedKey, 'e1.2', answer);
	await fleet.advance(3000);
	t.is(await fleet.claim('a2', replacedKey, 'second'), ClaimState.inProgress);
	fleet.entryIncarnations.set('a1', ['e2']);
	await fleet.advance(1500);
	t.is(await fleet.claim('a2', replacedKey, 'third'), ClaimState.unknown);
	t.is(await fleet.claim('a2', completedKey, 'third'), ClaimState.done);
	t.is(await fleet.claim('a1', disconnectedKey, 'e2.1'), ClaimState.granted);
	fleet.entryIncarnations.set('a1', []);
	await fleet.advance(1500);
	// The daemon may be reconnecting, so its claims are kept for 3 s.
	t.is(await fleet.claim('a2', disconnectedKey, 'second'), ClaimState.inProgress);
	await fleet.advance(3500);
	t.is(await fleet.claim('a2', disconnectedKey, 'third'), ClaimState.unknown);
});

// Guards against a different request under the same key being answered with the first answer of the order, or run.
test('a repeat with different content is reported as such in each state, and not granted', async t => {
	const fleet = new ClaimFleet(placement);
	await fleet.advance(1000);
	const claimState = async (vm: string, key: string, claimant: string, content: number) => {
		const call = fleet.startClaim(vm, key, claimant, content);
		await fleet.advance(1500);
		return call.reply?.state;
	};

	for (const key of [fleet.keyOwnedBy('b1'), fleet.ticket('b2', 'x')]) {
		const [first, second] = [fleet.startClaim('a1', key, 'first', 7), fleet.startClaim('b2', key, 'second', 8)];
		await fleet.advance(1000);
		t.is([first, second].filter(({grants}) => grants === 1).length, 1);
		t.is([first, second].filter(({reply}) => reply?.state === ClaimState.contentDiffers).length, 1);
		const [claimant, content] = first.grants === 1 ? ['first', 7] : ['second', 8];
		const vm = first.grants === 1 ? 'a1' : 'b2';
		t.is(await claimState('a2', key, 'third', 9), ClaimState.contentDiffers);
		t.is(await claimState('a2', key, 'third', content), ClaimState.inProgress);
		t.is(await claimState('a2', key, 'third', 0), ClaimState.inProgress);
		await fleet.complete(vm, key, claimant, answer);
		t.is(await claimState('a2', key, 'fourth', 9), ClaimState.contentDiffers);
		t.is(await claimState('a2', key, 'fourth', content), ClaimState.done);
	}

	const key = fleet.keyOwnedBy('b1');
	fleet.kill('b1');
	t.is(await claimState('a2', key, 'fifth', 9), ClaimState.contentDiffers);
	t.is(await claimState('a2', 'released', 'first', 7), ClaimState.granted);
	await fleet.release('a2', 'released', 'first');
	t.is(await claimState('a2', 'released', 'second', 8), ClaimState.granted);
});

// Guards against an order that stays in progress because its release arrived before its claim was recorded.
test('a release that arrives while its claim is being decided frees the order', async t => {
	const fleet = new ClaimFleet(placement, {partitions: 1});
	await fleet.advance(1000);
	const owner = fleet.ownerOf('k');
	const [claimantVm, other] = [...fleet.nodes.keys()].filter(vm => vm !== owner);
	// The claim is released while it waits for the owner's next write; the other VMs, which may be tried next, write slowly.
	for (const [vm, {store}] of fleet.nodes) {
		if (vm !== owner) {
			store.beforeWrite = async () => fleet.timers.sleep(600);
		}
	}

	fleet.startClaim(other, 'earlier', 'other');
	await fleet.advance(5);
	const call = fleet.startClaim(claimantVm, 'k', 'first');
	await fleet.advance(5);
	t.is(call.reply, undefined);
	await fleet.release(claimantVm, 'k', 'first');
	await fleet.advance(2000);
	t.not(call.reply, undefined);
	t.is(await fleet.claim(other, 'k', 'second'), ClaimState.granted);
});

// Guards against an order that nobody runs: two concurrent requests of one claimant, of which the second is refused and the first granted.
test('concurrent requests of one claimant get the same decision', async t => {
	const fleet = new ClaimFleet(placement);
	await fleet.advance(1000);
	const key = fleet.keyOwnedBy('b1');
	// The owner dies while the write with another attempt's claim is delayed.
	fleet.node('b1').store.beforeWrite = async () => {
		await fleet.timers.sleep(600);
		fleet.kill('b1');
	};

	const other = fleet.startClaim('b2', key, 'other');
	await fleet.advance(5);
	const early = fleet.startClaim('a1', key, 'first');
	fleet.hub.loseAnswers = 1;
	await fleet.advance(500);
	const late = fleet.startClaim('a1', key, 'first');
	await fleet.advance(5000);
	t.deepEqual(late.reply, early.reply);
	t.is([other, early].filter(({grants}) => grants > 0).length, 1);
});

// Guards against a repeat that gets the state `done` but no answer, because the partition's owner changed while the mesh formed.
test('the owner that a forming mesh agrees on gets the answers of earlier owners', async t => {
	const fleet = new ClaimFleet(placement);
	const key = fleet.keyOwnedBy('b1');
	fleet.node('a1').peers.setMisjudged(['a2', 'b1', 'b2']);
	t.is(await fleet.claim('a1', key, 'first'), ClaimState.granted);
	await fleet.complete('a1', key, 'first', longAnswer);
	t.deepEqual(await fleet.claimReply('a2', key, 'second'), {state: ClaimState.done, answer: undefined});
	fleet.node('a1').peers.setMisjudged([]);
	await fleet.advance(1500);
	t.deepEqual(await fleet.claimReply('a2', key, 'third'), {state: ClaimState.done, answer: longAnswer});
});

// Guards against losing answers in a graceful shutdown of their owner.
test('an owner that stops hands its answers to the next one', async t => {
	const fleet = new ClaimFleet(placement);
	await fleet.advance(1000);
	const key = fleet.keyOwnedBy('b1');
	t.is(await fleet.claim('a1', key, 'first'), ClaimState.granted);
	await fleet.complete('a1', key, 'first', longAnswer);
	void (fleet.node('b1').service as FleetClaimService).stop();
	await fleet.advance(2000);
	fleet.kill('b1');
	t.deepEqual(await fleet.claimReply('a2', key, 'second'), {state: ClaimState.done, answer: longAnswer});
});

// Guards against sending accepted answers repeatedly, and against dropping answers after one failed request.
test('answers are sent until an owner accepts them, and not again after that', async t => {
	const fleet = new ClaimFleet(placement);
	const key = fleet.keyOwnedBy('b1');
	fleet.node('a1').peers.setMisjudged(['a2', 'b1', 'b2']);
	t.is(await fleet.claim('a1', key, 'first'), ClaimState.granted);
	await fleet.complete('a1', key, 'first', longAnswer);
	fleet.hub.cut('a1', 'b1');
	fleet.node('a1').peers.setMisjudged(['b1']);
	await fleet.advance(3000);
	fleet.node('a1').peers.setMisjudged([]);
	fleet.hub.heal();
	await fleet.advance(3000);
	const {messagesSent} = fleet.hub;
	await fleet.advance(5000);
	t.is(fleet.hub.messagesSent, messagesSent);
	t.deepEqual(await fleet.claimReply('a2', key, 'second'), {state: ClaimState.done, answer: longAnswer});
});
