import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import test, {registerCompletionHandler} from 'ava';
import {runSoak} from './soak.js';

// Keep-alive timers of libraries would keep the test process running.
registerCompletionHandler(() => {
	process.exit();
});

/** Duration of the faults in the short run in CI, in milliseconds. */
const shortRunMs = 15_000;
/** Seed of the short run; its faults include a killed, a stopped and a paused VM, and a store that is restored from a copy. */
const shortRunSeed = 7;

// Guards against violations of the guarantees to callers and backend servers while processes end and network paths fail.
test.serial('soak: a short run under seeded faults violates no guarantee', async t => {
	const directory = await mkdtemp(path.join(tmpdir(), 'fescuewick-soak-'));
	const {broken, faults, requests, served} = await runSoak({seed: shortRunSeed, lengthMs: shortRunMs, directory});
	t.deepEqual(broken, []);
	t.true(faults > 5);
	t.true(requests > 500 && served > 0);
	// The logs are kept if a guarantee is violated, because the assertions above throw.
	await rm(directory, {recursive: true});
});
