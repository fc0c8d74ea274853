import {spawn} from 'node:child_process';
import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import test from 'ava';

const urlOf = (file: string) => JSON.stringify(new URL(file, import.meta.url).href);
const daemon = `
import {listenForSignals} from ${urlOf('process-signals.js')};
listenForSignals();
console.log('loading');
await new Promise(resolve => setTimeout(resolve, process.env.TEST_LOAD_MS));
const {z} = await import('zod');
const {runDaemon} = await import(${urlOf('run-daemon.js')});
await runDaemon({
	name: 'test-daemon',
	description: 'A daemon that takes a while to stop',
	settingsSchema: z.object({size: z.number(), startMs: z.number().default(0)}),
	settingsVariable: 'TEST_SETTINGS',
	logsTo: 'stdout',
	async start(settings) {
		console.log('starting');
		await new Promise(resolve => setTimeout(resolve, settings.startMs));
		console.log('started ' + settings.size);
		return {
			reload(changed) {
				console.log('reloaded ' + changed.size);
				if (changed.size === 13) {
					setTimeout(() => { throw new Error('in a timer'); }, 0);
					void Promise.reject(new Error('in a promise'));
					setTimeout(() => console.log('went on'), 50);
				}
			},
			async stop() {
				console.log('stopping');
				await new Promise(resolve => setTimeout(resolve, 600));
				console.log('stopped');
			},
		};
	},
});
`;

/** Longest wait for a line of a daemon, in milliseconds; far above what a busy machine needs. */
const printTimeoutMs = 20_000;

function startDaemon(settings = 'size: 1\n', loadMs = 0, logLevel = 'silent') {
	const settingsFile = path.join(mkdtempSync(path.join(tmpdir(), 'run-daemon-')), 'settings.yaml');
	writeFileSync(settingsFile, settings);
	const env = Object.fromEntries([...Object.entries(process.env), ['TEST_SETTINGS', settingsFile], ['TEST_LOAD_MS', String(loadMs)], ['FESCUEWICK_LOG', logLevel]]);
	const child = spawn(process.execPath, ['--input-type=module', '-e', daemon], {env, stdio: ['ignore', 'pipe', 'inherit']});
	let output = '';
	child.stdout.on('data', chunk => {
		output += String(chunk);
	});
	const ended = new Promise<string>(resolve => {
		child.once('exit', (code, signal) => {
			resolve(signal ?? `code ${code}`);
		});
	});
	const printed = async (text: string) => {
		const startedAtMs = performance.now();
		while (!output.includes(text)) {
			if (performance.now() - startedAtMs > printTimeoutMs) {
				child.kill('SIGKILL');
				throw new Error(`the daemon did not print "${text}" within ${printTimeoutMs} ms; it printed: ${output}`);
			}

			if (child.exitCode !== null || child.signalCode !== null) {
				throw new Error(`the daemon ended with ${child.signalCode ?? `code ${child.exitCode}`} before it printed "${text}"; it printed: ${output}`);
			}

			await new Promise(resolve => {
				setTimeout(resolve, 10);
			});
		}
	};

	return {
		settingsFile, child, ended, printed,
	};
}

test('signals during a graceful stop do not interrupt it', async t => {
	// Guards against requests that are aborted because a SIGHUP or a second SIGTERM interrupts the graceful stop.
	const {child, ended, printed} = startDaemon();
	await printed('started 1');
	child.kill('SIGTERM');
	await printed('stopping');
	child.kill('SIGHUP');
	child.kill('SIGTERM');
	child.kill('SIGINT');
	await printed('stopped');
	t.is(await ended, 'code 0');
});

test('a signal that comes during the start stops the daemon gracefully once it has started', async t => {
	// Guards against a daemon that is killed while it serves requests, because the signal comes before its start has returned.
	const {child, ended, printed} = startDaemon('size: 1\nstartMs: 400\n');
	await printed('starting');
	child.kill('SIGTERM');
	await printed('stopped');
	t.is(await ended, 'code 0');
});

test('signals that come while the modules of a daemon are loaded do not end the process', async t => {
	// Guards against a process that ends by a SIGHUP which only says that the settings changed, or by a SIGTERM without a graceful stop.
	const {child, ended, printed} = startDaemon('size: 1\n', 300);
	await printed('loading');
	child.kill('SIGHUP');
	child.kill('SIGTERM');
	await printed('started 1');
	await printed('stopped');
	t.is(await ended, 'code 0');
});

test('settings that change during the start are read once it has ended', async t => {
	// Guards against settings that stay in force although they changed, because the signal came before the start had returned.
	const {settingsFile, child, ended, printed} = startDaemon('size: 1\nstartMs: 400\n');
	await printed('starting');
	writeFileSync(settingsFile, 'size: 2\n');
	child.kill('SIGHUP');
	await printed('reloaded 2');
	child.kill('SIGTERM');
	t.is(await ended, 'code 0');
});

test('a start that does not finish delays the exit by at most its limit', async t => {
	const {child, ended, printed} = startDaemon('size: 1\nstartMs: 60000\n');
	await printed('starting');
	const signalledAtMs = performance.now();
	child.kill('SIGTERM');
	t.is(await ended, 'code 0');
	// The shortest grace period of the deployments is 6 s.
	t.true(performance.now() - signalledAtMs < 6000);
});

test('errors that nothing handles are logged and do not end the process', async t => {
	// Guards against an unexpected error in the work on one request that ends the work on all others.
	const {settingsFile, child, ended, printed} = startDaemon('size: 1\n', 0, 'error');
	await printed('started 1');
	writeFileSync(settingsFile, 'size: 13\n');
	child.kill('SIGHUP');
	await printed('went on');
	child.kill('SIGTERM');
	t.is(await ended, 'code 0');
	await printed('"origin":"uncaughtException"');
	await printed('"origin":"unhandledRejection"');
});

test('changed settings are read on SIGHUP and without a signal; with invalid ones the current ones stay in force', async t => {
	const {settingsFile, child, ended, printed} = startDaemon();
	await printed('started 1');
	writeFileSync(settingsFile, 'size: many\n');
	child.kill('SIGHUP');
	writeFileSync(settingsFile, 'size: 2\n');
	child.kill('SIGHUP');
	await printed('reloaded 2');
	await new Promise(resolve => {
		setTimeout(resolve, 50);
	});
	writeFileSync(settingsFile, 'size: 33\n');
	await printed('reloaded 33');
	child.kill('SIGTERM');
	t.is(await ended, 'code 0');
});
