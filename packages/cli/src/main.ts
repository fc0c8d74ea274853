#!/usr/bin/env node
import {randomBytes} from 'node:crypto';
import {userInfo} from 'node:os';
import process from 'node:process';
import {SystemTimerService} from '@fescuewick/core';
import {RateLimitedStore, HttpObjectStore} from '@fescuewick/store';
import {createAdminFetch} from './fleet/admin-fetch.js';
import {runCommandLine, type OpenedStore} from './program.js';

// Limits the store calls of one command, so that most of the store's capacity remains available to the fleet.
const callsPerS = 50;
const burst = 100;
const maxWaitMs = 30_000;
const adminTimeoutMs = 2000;

const timers = new SystemTimerService();
const abort = new AbortController();
process.once('SIGINT', () => {
	abort.abort();
});
process.once('SIGTERM', () => {
	abort.abort();
});

function openStore(url: string, timeoutMs: number): OpenedStore {
	const client = new HttpObjectStore({
		url, timeoutMs, connections: 8, timers, repeatsTimedOutReads: true,
	});
	return {
		store: new RateLimitedStore(client, {
			callsPerS, burst, maxWaitMs, timers,
		}),
		close: async () => client.close(),
	};
}

function userName(): string {
	try {
		return userInfo().username;
	} catch {
		// `userInfo` throws if the user ID has no entry in the system's user database.
		return `uid ${process.getuid?.() ?? 'unknown'}`;
	}
}

process.exitCode = await runCommandLine(process.argv.slice(2), {
	openStore,
	fetch: createAdminFetch(timers, adminTimeoutMs),
	output: {
		out(text) {
			process.stdout.write(`${text}\n`);
		},
		err(text) {
			process.stderr.write(`${text}\n`);
		},
	},
	timers,
	randomBytes,
	userName: userName(),
	signal: abort.signal,
});
