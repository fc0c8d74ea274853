import {spawn} from 'node:child_process';
import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import test from 'ava';

const daemon = `
import {z} from 'zod';
import {runDaemon} from ${JSON.stringify(new URL('run-daemon.js', import.meta.url).href)};
await runDaemon({
	name: 'test-daemon',
	description: 'A daemon that takes a while to stop',
	settingsSchema: z.object({size: z.number()}),
	settingsVariable: 'TEST_SETTINGS',
	async start(settings) {
		console.log('started ' + settings.size);
		return {
			reload(changed) {
				console.log('reloaded ' + changed.size);
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

function startDaemon() {
	const settingsFile = path.join(mkdtempSync(path.join(tmpdir(), 'run-daemon-')), 'settings.yaml');
	writeFileSync(settingsFile, 'size: 1\n');
	const env = Object.fromEntries([...Object.entries(process.env), ['TEST_SETTINGS', settingsFile], ['FESCUEWICK_LOG', 'silent']]);
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
		while (!output.includes(text)) {
			await new Promise(resolve => {
				setTimeout(resolve, 10);
			});
		}
	};

	return {
		settingsFile, child, ended, printed,
	};
}

test('signals that come during a stop do not cut it short', async t => {
	// Guards against requests that are cut when a SIGHUP or a second SIGTERM follows a SIGTERM.
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

test('changed settings are read on SIGHUP and without a signal; invalid ones leave the present ones in force', async t => {
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
