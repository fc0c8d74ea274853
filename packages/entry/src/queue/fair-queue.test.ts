import test from 'ava';
import fc from 'fast-check';
import {FairQueue, type QueueItem} from './fair-queue.js';

const weights: Readonly<Record<string, number>> = {
	a: 1, b: 2, c: 5, d: 40,
};
const names = Object.keys(weights);
const newQueue = () => new FairQueue<QueueItem>(name => weights[name]);
const item = (workspace: string, dueAtMs = 0, deadlineAtMs = 0): QueueItem => ({workspace, dueAtMs, deadlineAtMs});

/** Serves `visits` requests while all workspaces in `backlogged` stay backlogged; returns the number served for each. */
function serve(queue: FairQueue<QueueItem>, backlogged: readonly string[], visits: number): Map<string, number> {
	const served = new Map<string, number>(backlogged.map(name => [name, 0]));
	for (const name of backlogged) {
		queue.add(item(name));
		queue.add(item(name));
	}

	for (let visit = 0; visit < visits; visit++) {
		const {workspace} = queue.take()!;
		served.set(workspace, served.get(workspace)! + 1);
		queue.add(item(workspace));
	}

	return served;
}

// Guards against a workspace that gets more or less than its weighted share while all workspaces stay backlogged.
test('backlogged workspaces share the service by weight, within one request per other workspace', t => {
	fc.assert(fc.property(fc.uniqueArray(fc.constantFrom(...names), {minLength: 1}), fc.integer({min: 1, max: 600}), (backlogged, visits) => {
		const served = serve(newQueue(), backlogged, visits);
		const sum = backlogged.reduce((total, name) => total + weights[name], 0);
		for (const name of backlogged) {
			const fair = visits * weights[name] / sum;
			// Each flow's deficit stays below one request, so a flow can be ahead by at most one request per other flow.
			t.true(Math.abs(served.get(name)! - fair) <= backlogged.length, `${name}: ${served.get(name)!} of ${visits}, fair is ${fair}`);
		}
	}), {seed: 51, numRuns: 200});
});

// Guards against an empty result of `take` while requests are queued, lost requests and requests served twice.
test('the queue is work conserving and serves each request once', t => {
	const step = fc.oneof(fc.record({add: fc.constantFrom(...names)}), fc.constant('take' as const), fc.record({removeAt: fc.nat(20)}));
	fc.assert(fc.property(fc.array(step, {maxLength: 120}), steps => {
		const queue = newQueue();
		const waiting = new Set<QueueItem>();
		for (const next of steps) {
			if (next === 'take') {
				const taken = queue.take();
				t.is(taken === undefined, waiting.size === 0);
				t.true(taken === undefined || waiting.delete(taken));
			} else if ('add' in next) {
				const added = item(next.add, waiting.size % 3);
				queue.add(added);
				waiting.add(added);
			} else {
				const removed = [...waiting].at(next.removeAt);
				t.is(removed !== undefined && queue.remove(removed), removed !== undefined && waiting.delete(removed));
			}

			t.is(queue.size, waiting.size);
		}
	}), {seed: 52, numRuns: 300});
});

// Guards against one workspace starving the others with many requests that are due earlier.
test('many earlier-due requests of one workspace do not starve another', t => {
	const queue = newQueue();
	for (let index = 0; index < 1000; index++) {
		queue.add(item('d', -1000));
	}

	queue.add(item('a', 1000));
	const position = Array.from({length: 1001}, () => queue.take()!.workspace).indexOf('a');
	// The weights are 40 and 1, so one round serves 41 requests.
	t.true(position <= 41, `served at position ${position}`);
});

// Guards against a request served before another one of its workspace that is due earlier.
test('within a workspace, requests are served by arrival plus lateness target, then by deadline', t => {
	const queue = newQueue();
	for (const [dueAtMs, deadlineAtMs] of [[30, 1], [10, 9], [20, 5], [10, 3]]) {
		queue.add(item('a', dueAtMs, deadlineAtMs));
	}

	t.deepEqual(Array.from({length: 4}, () => queue.take()!).map(({dueAtMs, deadlineAtMs}) => [dueAtMs, deadlineAtMs]), [[10, 3], [10, 9], [20, 5], [30, 1]]);
});
