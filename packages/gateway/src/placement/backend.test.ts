import test from 'ava';
import {type ConnectionSet} from '@fescuewick/entry/http';
import {backendRecord} from '../testing/fixtures.js';
import {Backend} from './backend.js';
import {chooseBackend} from './choose-backend.js';

function createBackend(id = 's1', slots = 9): Backend {
	return new Backend({record: backendRecord(id, {slots}), seenAtMs: 0, lapsesAtMs: undefined}, 'north', {} as unknown as ConnectionSet);
}

test('requests of other VMs are remembered while a server is too busy to answer', t => {
	// Guards against all VMs sending to a full server because it has not answered any of them for a second.
	const backend = createBackend();
	for (const atMs of [0, 200, 400, 600, 800, 1000]) {
		backend.report({running: 9, waiting: 20}, atMs);
	}

	t.true(backend.load(2500) >= 9 * 1.5, `${backend.load(2500)}`);
	t.true(backend.load(20_000) < 1, 'a server that is not heard of is tried again');
});

test('a short peak at a server is soon forgotten', t => {
	// Guards against objects that move away from their server because of one moment's load.
	const backend = createBackend();
	for (const atMs of [0, 200, 400, 600, 800, 1000]) {
		backend.report({running: 3, waiting: 0}, atMs);
	}

	backend.report({running: 9, waiting: 12}, 1100);
	t.true(backend.load(1100) >= 9 * 1.5);
	t.true(backend.load(2000) < 9);
});

type Job = {readonly vm: number; readonly object: number; readonly sentAtMs: number; endsAtMs?: number};

test('many VMs do not overload a server with a cold cache until no request ends in time', t => {
	// Plays eight VMs whose objects are all at home at one server that has just started: an object takes 1.6 s until it
	// was served once, 0.48 s from then on. Requests that run into their limit of 2 s warm nothing, so with a long line
	// at the server it stays cold for good.
	const slots = 9;
	const coldMs = 1600;
	const warmMs = 480;
	const objects = 24;
	const timeoutMs = 2000;
	const stepMs = 10;
	const untilMs = 30_000;
	const demandPerS = slots * 1000 / warmMs * 0.85;
	const vms = Array.from({length: 8}, () => createBackend('s1', slots));
	const warm = new Set<number>();
	let running: Job[] = [];
	let waiting: Job[] = [];
	let owed = 0;
	let arrivals = 0;
	let served = 0;
	const over = (jobs: readonly Job[]): ReadonlySet<Job> => {
		for (const {vm} of jobs) {
			vms[vm].inFlight--;
		}

		return new Set(jobs);
	};

	for (let nowMs = 0; nowMs < untilMs; nowMs += stepMs) {
		for (owed += demandPerS * stepMs / 1000; owed >= 1; owed--) {
			const vm = vms[arrivals % vms.length];
			const candidate = {
				id: 's1', load: vm.load(nowMs), slots, isAvoided: false, hasAllowance: true,
			};
			if (chooseBackend([candidate], true) !== undefined) {
				vm.inFlight++;
				waiting.push({vm: arrivals % vms.length, object: (arrivals * 7) % objects, sentAtMs: nowMs});
			}

			arrivals++;
		}

		const late = over([...running, ...waiting].filter(({sentAtMs}) => nowMs - sentAtMs >= timeoutMs));
		running = running.filter(job => !late.has(job));
		waiting = waiting.filter(job => !late.has(job));
		const done = over(running.filter(({endsAtMs}) => endsAtMs! <= nowMs));
		for (const {vm, object} of done) {
			vms[vm].report({running: running.length, waiting: waiting.length}, nowMs);
			warm.add(object);
			served += nowMs >= untilMs / 2 ? 1 : 0;
		}

		running = running.filter(job => !done.has(job));
		while (running.length < slots && waiting.length > 0) {
			const job = waiting.shift()!;
			running.push({...job, endsAtMs: nowMs + (warm.has(job.object) ? warmMs : coldMs)});
		}
	}

	// The demand is under what the warm server can do; callers are owed all of it but for short peaks.
	const asked = demandPerS * untilMs / 2000;
	t.true(served >= asked * 0.9, `${served} of ${asked}`);
});
