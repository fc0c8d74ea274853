import test from 'ava';
import fc from 'fast-check';
import {ManualTimerService} from '@fescuewick/core';
import {MemoryObjectStore} from '@fescuewick/store';
import {largeDocument, sampleDocument} from './sample.js';
import {
	applyConfiguration, collectGarbage, editConfiguration, garbageGroupCount, hasCode, headKey, loadConfiguration, setWorkspaceRate, withdrawKey, type ChangeRecord, type ConfigurationHead,
} from './index.js';

const info = {author: 'abeba', summary: 'test'};

/** Advances the timers until the promise is settled. */
async function runTimersUntilSettled<Value>(timers: ManualTimerService, work: Promise<Value>): Promise<Value> {
	const state = {ended: false};
	const watched = (async () => {
		try {
			return await work;
		} finally {
			state.ended = true;
		}
	})();
	for (let round = 0; round < 10_000 && !state.ended; round++) {
		await timers.advance(50);
	}

	return watched;
}

/** Makes the store apply the next `count` writes of the head without answering them; `afterWrite` runs after each of them. */
function loseHeadAnswers(store: MemoryObjectStore, count: number, afterWrite?: () => void): void {
	const write = store.write.bind(store);
	let remaining = count;
	store.write = async (key, value, version) => {
		const losesAnswer = key === headKey && remaining > 0;
		if (!losesAnswer) {
			return write(key, value, version);
		}

		remaining--;
		store.faults.loseAnswers = 1;
		try {
			return await write(key, value, version);
		} finally {
			afterWrite?.();
		}
	};
}

async function createStoreWithSample(): Promise<{timers: ManualTimerService; store: MemoryObjectStore}> {
	const timers = new ManualTimerService();
	const store = new MemoryObjectStore(timers);
	await applyConfiguration(store, undefined, sampleDocument(), info);
	return {timers, store};
}

// Guards against accepting the changes of two operators for the same revision.
test('the second of two concurrent changes is rejected with an error that names the first', async t => {
	const {store} = await createStoreWithSample();
	const base = await loadConfiguration(store);
	await applyConfiguration(store, base, setWorkspaceRate(base!.document, 'bole', {ratePerS: 11}), {author: 'abeba', summary: 'bole up'});
	const error = await t.throwsAsync(async () => applyConfiguration(store, base, setWorkspaceRate(base!.document, 'bole', {ratePerS: 12}), info), {any: true});
	t.like(error, {code: 4001});
	t.regex((error as Error).message, /abeba: bole up/);
});

// Guards against a change applied twice, or reported as failed, when the answer to its write is lost.
test('the outcome of a write with a lost answer is resolved by the change id', async t => {
	const {timers, store} = await createStoreWithSample();
	const base = await loadConfiguration(store);
	loseHeadAnswers(store, 1);
	const head = await runTimersUntilSettled(timers, applyConfiguration(store, base, setWorkspaceRate(base!.document, 'bole', {ratePerS: 11}), {...info, changeId: 'c1', timers}));
	t.is(head.revision, 2);
	const loaded = await loadConfiguration(store);
	t.is(loaded?.head.recentChanges.filter(change => change.changeId === 'c1').length, 1);
});

// Guards against reporting that nothing was written when the store goes down after an answer was lost.
test('a store that goes down after a lost answer leaves the outcome unknown', async t => {
	const {timers, store} = await createStoreWithSample();
	const base = await loadConfiguration(store);
	const next = setWorkspaceRate(base!.document, 'bole', {ratePerS: 11});
	loseHeadAnswers(store, 1, () => {
		store.faults.down = true;
	});
	const error = await t.throwsAsync(runTimersUntilSettled(timers, applyConfiguration(store, base, next, {...info, timers})), {any: true});
	t.like(error, {code: 3003});
	store.faults.down = false;
	const loaded = await loadConfiguration(store);
	t.is(loaded?.head.revision, 2);
});

// Guards against reporting a change as rejected when it was accepted but is no longer among the recent changes.
test('the outcome is unknown once the revision is no longer among the recent changes', async t => {
	const {timers, store} = await createStoreWithSample();
	const base = await loadConfiguration(store);
	loseHeadAnswers(store, 1);
	const work = applyConfiguration(store, base, setWorkspaceRate(base!.document, 'bole', {ratePerS: 11}), {...info, timers});
	await timers.advance(900);
	const object = await store.read(headKey);
	const head = object!.value as ConfigurationHead;
	t.is(head.revision, 2);
	await store.write(headKey, {...head, revision: 100, recentChanges: [{...info, changeId: 'x', revision: 100}]}, undefined);
	t.like(await t.throwsAsync(runTimersUntilSettled(timers, work), {any: true}), {code: 3003});
});

type FaultStep = {readonly slowMs: number; readonly loseHeadAnswers: number; readonly loseAnswers: number; readonly downMs: number; readonly silentMs: number; readonly pauseMs: number};

// Guards against skipped or repeated revisions, and against accepted changes that are lost or applied twice.
test('concurrent operators under random faults: each accepted change appears once', async t => {
	const step: fc.Arbitrary<FaultStep> = fc.record({
		slowMs: fc.nat(80), loseHeadAnswers: fc.nat(2), loseAnswers: fc.nat(1), downMs: fc.nat(200), silentMs: fc.nat(200), pauseMs: fc.integer({min: 50, max: 1500}),
	});
	await fc.assert(fc.asyncProperty(fc.array(step, {minLength: 3, maxLength: 12}), fc.integer({min: 2, max: 4}), async (steps, operators) => {
		const {timers, store} = await createStoreWithSample();
		const acceptedIds: string[] = [];
		const unknownOutcomes: string[] = [];
		const changesByRevision = new Map<number, ChangeRecord>();
		const runOperator = async (operator: number): Promise<void> => {
			for (let index = 0; index < 5; index++) {
				const changeId = `${operator}.${index}`;
				try {
					const edit = (current: Parameters<typeof setWorkspaceRate>[0]) => setWorkspaceRate(current, 'bole', {ratePerS: current.workspaces[0].ratePerS + 1});
					await editConfiguration(store, edit, {
						author: `operator-${operator}`, summary: changeId, changeId, timers,
					});
					acceptedIds.push(changeId);
				} catch (error) {
					if (hasCode(error, 3003)) {
						unknownOutcomes.push(changeId);
					}
				}
			}
		};

		const injectFaults = async (): Promise<void> => {
			for (const {slowMs, loseHeadAnswers: headAnswers, loseAnswers, downMs, silentMs, pauseMs} of steps) {
				loseHeadAnswers(store, headAnswers);
				Object.assign(store.faults, {slowMs, loseAnswers, down: true});
				await timers.sleep(downMs);
				Object.assign(store.faults, {down: false, silent: true});
				await timers.sleep(silentMs);
				store.faults.silent = false;
				await timers.sleep(pauseMs);
			}
		};

		const end = {done: false};
		const observe = async (): Promise<void> => {
			while (!end.done) {
				const head = await readHeadWithoutFaults(store);
				for (const change of head?.recentChanges ?? []) {
					t.is(changesByRevision.get(change.revision)?.changeId ?? change.changeId, change.changeId);
					changesByRevision.set(change.revision, change);
				}

				await timers.sleep(10);
			}
		};

		const work = Promise.all([injectFaults(), ...Array.from({length: operators}, async (_, operator) => runOperator(operator))]);
		const observing = observe();
		await runTimersUntilSettled(timers, work);
		Object.assign(store.faults, {slowMs: 0, loseAnswers: 0});
		const {head, document} = (await loadConfiguration(store))!;
		await timers.advance(20);
		end.done = true;
		await runTimersUntilSettled(timers, observing);

		const ids = [...changesByRevision.values()].map(change => change.changeId);
		t.is(new Set(ids).size, ids.length, 'no change applied twice');
		t.deepEqual([...changesByRevision.keys()].sort((a, b) => a - b), Array.from({length: head.revision}, (_, index) => index + 1));
		t.deepEqual(acceptedIds.filter(id => !ids.includes(id)), [], 'no accepted change lost');
		t.deepEqual(ids.filter(id => id.includes('.') && !acceptedIds.includes(id) && !unknownOutcomes.includes(id)), [], 'no change reported as rejected was accepted');
		// Each change adds 1 to the rate, so the rate would be too low if a change had been reverted.
		t.is(document.workspaces[0].ratePerS, 10 + head.revision - 1);
	}), {seed: 13, numRuns: 25});
});

async function readHeadWithoutFaults(store: MemoryObjectStore): Promise<ConfigurationHead | undefined> {
	const {slowMs, down, silent} = store.faults;
	Object.assign(store.faults, {slowMs: 0, down: false, silent: false});
	const reading = store.read(headKey);
	Object.assign(store.faults, {slowMs, down, silent});
	const object = await reading;
	return object?.value as ConfigurationHead | undefined;
}

async function collectAllGroups(store: MemoryObjectStore, nowMs: number): Promise<number> {
	let removed = 0;
	for (let group = 0; group < garbageGroupCount; group++) {
		const result = await collectGarbage(store, {group, nowMs, minUnreferencedMs: 1000});
		removed += result.removed;
	}

	return removed;
}

async function changeRate(store: MemoryObjectStore, ratePerS: number): Promise<void> {
	await editConfiguration(store, current => setWorkspaceRate(current, 'bole', {ratePerS}), info);
}

// Guards against unreferenced parts accumulating in the store, and against removing parts that a recent head references.
test('unreferenced parts are removed once no recent head can reference them', async t => {
	const {store} = await createStoreWithSample();
	for (let rate = 100; rate < 110; rate++) {
		await changeRate(store, rate);
	}

	t.is(await collectAllGroups(store, 0), 0);
	t.is(await collectAllGroups(store, 10_000), 0, 'became unreferenced within the recent changes');
	for (let rate = 200; rate < 265; rate++) {
		await changeRate(store, rate);
	}

	t.is(await collectAllGroups(store, 500), 0, 'unreferenced for less than the minimum time');
	t.is(await collectAllGroups(store, 10_000), 10);
	const loaded = await loadConfiguration(store);
	t.is(loaded?.document.workspaces[0].ratePerS, 264);
});

// Guards against removing a part that an operator references again during a garbage collection.
test('a part that a concurrent change references again is kept', async t => {
	const {store} = await createStoreWithSample();
	await changeRate(store, 100);
	for (let rate = 200; rate < 210; rate++) {
		await changeRate(store, rate);
	}

	await collectAllGroups(store, 0);
	for (let rate = 300; rate < 365; rate++) {
		await changeRate(store, rate);
	}

	const remove = store.remove.bind(store);
	let concurrentChangeMade = false;
	store.remove = async (key, version) => {
		if (!concurrentChangeMade) {
			concurrentChangeMade = true;
			const part = await store.read(key);
			const [entry] = JSON.parse(part!.value as string) as Array<{ratePerS: number}>;
			await changeRate(store, entry.ratePerS);
		}

		return remove(key, version);
	};

	await collectAllGroups(store, 10_000);
	t.true(concurrentChangeMade);
	t.truthy(await loadConfiguration(store));
});

// Guards against reading hundreds of unchanged parts again when one part changed.
test('with a part cache, only changed parts are read', async t => {
	const timers = new ManualTimerService();
	const store = new MemoryObjectStore(timers);
	await applyConfiguration(store, undefined, largeDocument(500), {author: 'abeba\u001B[2J', summary: 'first'});
	const cache = new Map<string, string>();
	await loadConfiguration(store, cache);
	await editConfiguration(store, current => withdrawKey(current, 'key-9'), info);
	const before = store.calls.reads;
	const loaded = await loadConfiguration(store, cache);
	t.true(store.calls.reads - before <= 3);
	t.is(loaded?.document.keys.length, 499);
	t.is(cache.size, new Set(Object.values(loaded!.head.parts)).size);
	t.is(loaded?.head.recentChanges[1].author, 'abeba [2J', 'no control characters reach a terminal');
});
