import test from 'ava';
import {ManualTimerService} from '@fescuewick/core';
import {CloseBarrier} from './close-barrier.js';

function createBarrier() {
	const timers = new ManualTimerService();
	const pending: Array<() => void> = [];
	const errors: unknown[] = [];
	const barrier = new CloseBarrier({
		timers, atEndOfTurn(callback) {
			pending.push(callback);
		}, onError(error) {
			errors.push(error);
		},
	});
	const endTurn = () => {
		for (const callback of pending.splice(0)) {
			callback();
		}
	};

	return {
		timers, barrier, errors, endTurn,
	};
}

test('work runs in order at the end of the turn after the next reading of all sockets', t => {
	const {barrier, endTurn} = createBarrier();
	const ran: string[] = [];
	barrier.run(() => ran.push('a'));
	endTurn();
	barrier.run(() => ran.push('b'));
	t.deepEqual(ran, []);
	endTurn();
	t.deepEqual(ran, ['a']);
	endTurn();
	t.deepEqual(ran, ['a', 'b']);
	t.is(barrier.size, 0);
});

test('work that takes long is spread over turns, so that closes are read in between', t => {
	// Guards against a VM that notices no close until it has handled all requests of a stall.
	const {timers, barrier, endTurn} = createBarrier();
	let runs = 0;
	const work = () => {
		runs++;
		timers.pause(5);
	};

	for (let index = 0; index < 100; index++) {
		barrier.run(work);
	}

	endTurn();
	endTurn();
	t.is(runs, 4);
	t.is(barrier.size, 96);
	for (let turn = 0; turn < 24; turn++) {
		endTurn();
	}

	t.is(runs, 100);
});

test('work that fails is reported, and the work behind it runs', t => {
	// Guards against a process that ends because of one request.
	const {barrier, errors, endTurn} = createBarrier();
	const ran: string[] = [];
	barrier.run(() => {
		throw new Error('a');
	});
	barrier.run(() => ran.push('b'));
	endTurn();
	endTurn();
	t.deepEqual(ran, ['b']);
	t.is((errors[0] as Error).message, 'a');
});
