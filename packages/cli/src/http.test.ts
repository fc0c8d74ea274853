import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {randomBytes} from 'node:crypto';
import test from 'ava';
import {SystemTimerService} from '@fescuewick/core';
import {loadConfiguration} from '@fescuewick/config';
import {startStoreServer} from '@fescuewick/emulator';
import {HttpObjectStore, MemoryObjectStore} from '@fescuewick/store';
import {createAdminFetch} from './fleet/admin-fetch.js';
import {runCommandLine} from './program.js';

const file = new URL('../../../examples/nadeem.yaml', import.meta.url);

// Guards against changes that are lost or applied twice when concurrent operators use real connections that lose answers or stop responding.
test('concurrent changes over HTTP are each applied once despite lost answers and silent connections', async t => {
	const timers = new SystemTimerService();
	const memoryStore = new MemoryObjectStore(timers, 50);
	const server = await startStoreServer(memoryStore, {host: '127.0.0.1', port: 0});
	const folder = mkdtempSync(path.join(tmpdir(), 'fescuewick-'));
	t.teardown(async () => {
		await server.close();
		rmSync(folder, {recursive: true});
	});
	const settings = path.join(folder, 'settings.yaml');
	writeFileSync(settings, `storeUrl: ${server.url}\nstoreTimeoutMs: 1000\nauthor: abeba\n`);
	const run = async (...args: string[]): Promise<number> => runCommandLine(['--settings', settings, ...args], {
		openStore(url, timeoutMs) {
			const client = new HttpObjectStore({
				url, timeoutMs, connections: 2, repeatsTimedOutReads: true,
			});
			return {store: client, close: async () => client.close()};
		},
		fetch: createAdminFetch(timers, 300),
		output: {
			out: () => undefined,
			err(text) {
				t.log(text);
			},
		},
		timers,
		randomBytes,
		userName: 'nobody',
		signal: new AbortController().signal,
	});
	t.is(await run('apply', file.pathname), 0);
	memoryStore.faults.loseAnswers = 4;
	const operators = [1, 2, 3].map(async operator => {
		for (const index of [1, 2, 3]) {
			t.is(await run('key', 'issue', 'cairo-courts', '--id', `key-${operator}-${index}`), 0);
		}
	});
	const faults = [100, 200, 300].map(async delayMs => {
		await timers.sleep(delayMs);
		server.silenceOpenConnections();
	});
	await Promise.all([...operators, ...faults]);
	const loaded = await loadConfiguration(memoryStore);
	t.is(loaded?.head.revision, 10);
	t.is(loaded?.document.keys.length, 9);
	t.is(new Set(loaded?.head.recentChanges.map(change => change.changeId)).size, 10);
});
