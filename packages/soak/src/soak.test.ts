import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import test, {registerCompletionHandler} from 'ava';
import {runSoak} from './soak.js';

// Keep-alive timers of libraries would hold the test process.
registerCompletionHandler(() => {
	process.exit();
});

/** Faults of the short run in CI, in milliseconds. */
const shortRunMs = 15_000;
/** Seed of the short run; its faults include a killed, a stopped and a paused VM. */
const shortRunSeed = 3;

// Guards against promises that callers and backend servers see broken while processes end and paths fail.
test.serial('soak: a short run under seeded faults breaks no promise', async t => {
	const directory = await mkdtemp(path.join(tmpdir(), 'fescuewick-soak-'));
	const {broken, faults, requests, served} = await runSoak({seed: shortRunSeed, lengthMs: shortRunMs, directory});
	t.deepEqual(broken, []);
	t.true(faults > 5);
	t.true(requests > 500 && served > 0);
	// The logs stay when a promise is broken.
	await rm(directory, {recursive: true});
});
