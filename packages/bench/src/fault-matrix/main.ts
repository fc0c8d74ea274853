#!/usr/bin/env node
import {readFileSync, writeFileSync} from 'node:fs';
import process from 'node:process';
import {Command} from 'commander';
import {
	evaluateMatrix, parseMatrix, renderMatrix, type TestResult,
} from './matrix.js';

const program = new Command('fault-matrix')
	.description('Builds docs/fault-matrix.md from the test results; fails when a cell names a test that is missing, or one that did not pass and is not listed as known to fail')
	.option('--cells <file>', 'YAML file that assigns tests to cells', 'docs/fault-matrix.yaml')
	.option('--results <file>', 'test results', 'reports/test-results.json')
	.option('--output <file>', 'page to write', 'docs/fault-matrix.md')
	.option('--known-red <file>', 'list of tests that are known to fail', 'KNOWN-RED.txt')
	.option('--check', 'fail if the page on disk is out of date, instead of writing it', false);
const options = program.parse().opts<{cells: string; results: string; output: string; knownRed: string; check: boolean}>();

const definition = parseMatrix(readFileSync(options.cells, 'utf8'), options.cells);
const results = JSON.parse(readFileSync(options.results, 'utf8')) as TestResult[];
const knownRed = new Set(readFileSync(options.knownRed, 'utf8').split('\n').filter(line => line.startsWith('test: ')).map(line => line.slice('test: '.length).trim()));
const matrix = evaluateMatrix(definition, results, knownRed);
for (const problem of matrix.problems) {
	process.stderr.write(`${problem}\n`);
}

const page = renderMatrix(definition, matrix);
if (options.check) {
	if (readFileSync(options.output, 'utf8') !== page) {
		process.stderr.write(`${options.output} is out of date; run npm run matrix\n`);
		process.exitCode = 1;
	}
} else {
	writeFileSync(options.output, page);
}

if (matrix.problems.length > 0) {
	process.exitCode = 1;
}
