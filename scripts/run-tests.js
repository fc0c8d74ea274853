// Runs ava with TAP output, prints failures and counts, writes reports/test-results.json for the fault matrix,
// and tolerates failures of exactly the tests listed in KNOWN-RED.txt.
import {spawn} from 'node:child_process';
import {
	existsSync, mkdirSync, readFileSync, writeFileSync,
} from 'node:fs';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {evaluateMatrix, parseMatrix} from '../packages/bench/dist/fault-matrix/matrix.js';
import {parseTapLine, TestState} from '../packages/bench/dist/fault-matrix/tap-line.js';

// Tests of whole deployments run on the system clock, and tests with controlled time keep a core busy. When both ran at
// once, heartbeats were late and VMs declared each other dead, so the groups run one after the other.
const realTimeFiles = ['packages/local/dist/**/*.test.js', 'packages/bench/dist/processes/*.test.js', 'packages/soak/dist/soak.test.js'];
// These fill the memory of a gateway process and keep cores busy.
const crowdFiles = ['packages/bench/dist/processes/untrusted-clients/*.test.js'];
const groups = process.argv.length > 2
	? [process.argv.slice(2)]
	: [
		['packages/*/dist/**/*.test.js', 'platform/dist/**/*.test.js', ...[...realTimeFiles, ...crowdFiles].map(pattern => `!${pattern}`)],
		['--concurrency', '2', ...realTimeFiles],
		['--concurrency', '1', ...crowdFiles],
	];

async function runAva(parameters) {
	const child = spawn(process.execPath, ['node_modules/ava/entrypoints/cli.mjs', '--tap', ...parameters], {stdio: ['ignore', 'pipe', 'inherit']});
	const exited = new Promise(resolve => {
		child.once('exit', code => {
			resolve(code ?? 1);
		});
	});
	const results = await readTap(child.stdout);
	return {results, exitCode: await exited};
}

async function readTap(input) {
	const results = [];
	let inFailure = false;
	for await (const line of createInterface({input})) {
		const result = parseTapLine(line);
		if (result !== undefined) {
			const {title, state} = result;
			results.push(result);
			inFailure = state === TestState.failed;
			process.stdout.write(`${state === TestState.passed ? '  ok' : `  ${state.toUpperCase()}`} ${title}\n`);
		} else if (inFailure && !line.startsWith('1..')) {
			process.stdout.write(`${line}\n`);
		}
	}

	return results;
}

function readKnownRed() {
	const lines = existsSync('KNOWN-RED.txt') ? readFileSync('KNOWN-RED.txt', 'utf8').split('\n') : [];
	return new Set(lines.filter(line => line.startsWith('test: ')).map(line => line.slice('test: '.length).trim()));
}

const knownRed = readKnownRed();
const results = [];
let isBroken = false;
for (const group of groups) {
	const {results: groupResults, exitCode} = await runAva(group);
	results.push(...groupResults);
	// If the runner crashes, its exit code is not 0 although no test failed.
	if (groupResults.length === 0 || (exitCode !== 0 && groupResults.every(result => result.state !== TestState.failed))) {
		isBroken = true;
		process.stdout.write(`the test runner ended with exit code ${exitCode} after ${groupResults.length} results, none of them failed\n`);
	}
}

mkdirSync('reports', {recursive: true});
writeFileSync('reports/test-results.json', JSON.stringify(results, undefined, '\t'));

const failed = results.filter(result => result.state === TestState.failed);
const unexpected = failed.filter(result => !knownRed.has(result.title));
for (const {title} of failed.filter(result => knownRed.has(result.title))) {
	process.stdout.write(`known red: ${title}\n`);
}

for (const title of knownRed) {
	const state = results.find(result => result.title === title)?.state;
	if (state !== TestState.failed) {
		process.stdout.write(`listed in KNOWN-RED.txt but ${state ?? 'not found'}: ${title}\n`);
	}
}

const matrixProblems = process.argv.length > 2 ? [] : checkMatrix();
for (const problem of matrixProblems) {
	process.stdout.write(`fault matrix: ${problem}\n`);
}

const passed = results.filter(result => result.state === TestState.passed).length;
const skipped = results.filter(result => result.state === TestState.skipped).length;
process.stdout.write(`${passed} passed, ${unexpected.length} failed, ${skipped} skipped\n`);
process.exitCode = unexpected.length > 0 || matrixProblems.length > 0 || passed === 0 || isBroken ? 1 : 0;

// Each cell of the fault matrix names tests of this run; failed ones must be listed in KNOWN-RED.txt and are printed.
function checkMatrix() {
	const file = 'docs/fault-matrix.yaml';
	const matrix = evaluateMatrix(parseMatrix(readFileSync(file, 'utf8'), file), results, knownRed);
	for (const title of matrix.knownRed) {
		process.stdout.write(`fault matrix: known red cell: ${title}\n`);
	}

	return matrix.problems;
}
