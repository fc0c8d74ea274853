// Runs the shell commands in Markdown pages against a local deployment. A block marked "sh run" is passed to bash unchanged;
// every line of a following block marked "text expect" must occur in its output.
import {spawn} from 'node:child_process';
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {createInterface} from 'node:readline';

const pages = process.argv.length > 2 ? process.argv.slice(2) : ['README.md', 'docs/OPERATIONS.md'];
const blockPattern = /^```(?<kind>sh run|text expect)\n(?<text>.*?)^```$/gms;

async function startLocal() {
	const child = spawn(process.execPath, ['packages/local/dist/main.js'], {stdio: ['ignore', 'pipe', 'inherit']});
	for await (const line of createInterface({input: child.stdout})) {
		if (line.startsWith('ready')) {
			// Waits, because the owners of the order journal can still change in the first seconds; a person takes longer than that to paste a command.
			await sleep(3000);
			return child;
		}
	}

	throw new Error('the local deployment ended before it reported that it is ready');
}

async function runShell(script) {
	const child = spawn('bash', ['-e'], {stdio: ['pipe', 'pipe', 'pipe']});
	let output = '';
	for (const stream of [child.stdout, child.stderr]) {
		stream.on('data', chunk => {
			output += chunk;
		});
	}

	child.stdin.end(script);
	const code = await new Promise(resolve => {
		child.once('close', resolve);
	});
	return {code, output};
}

let failures = 0;
let runs = 0;

function reportFailure(message) {
	failures++;
	process.stdout.write(`${message}\n`);
}

function checkOutput(page, text, output) {
	for (const line of text.split('\n').filter(line => line !== '')) {
		if (!output.includes(line)) {
			reportFailure(`${page}: line ${JSON.stringify(line)} is missing from the output:\n${output}`);
		}
	}
}

async function checkPage(page) {
	let last = {code: 0, output: ''};
	for (const {groups: {kind, text}} of readFileSync(page, 'utf8').matchAll(blockPattern)) {
		if (kind !== 'sh run') {
			checkOutput(page, text, last.output);
			continue;
		}

		last = await runShell(text);
		runs++;
		if (last.code !== 0) {
			reportFailure(`${page}: command failed with exit code ${last.code}:\n${text}\n${last.output}`);
		}
	}
}

for (const page of pages) {
	const local = await startLocal();
	await checkPage(page);
	local.kill('SIGTERM');
	const code = await new Promise(resolve => {
		local.once('exit', resolve);
	});
	if (code !== 0) {
		reportFailure(`${page}: the local deployment ended with exit code ${code} after SIGTERM`);
	}
}

process.stdout.write(`${runs} command blocks run, ${failures} failures\n`);
process.exitCode = failures > 0 || runs === 0 ? 1 : 0;
