import {readdirSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import test from 'ava';
import {readConfigurationFile} from '@fescuewick/config';
import {exitClasses, exitCodeOf} from './exit-codes.js';
import {isResultCodesFileCurrent} from './generate-docs.js';
import {renderTable} from './output/table.js';

// Guards against a page of result codes that is out of date.
test('docs/result-codes.md is current', t => {
	t.true(isResultCodesFileCurrent(), 'run node packages/cli/dist/generate-docs.js');
});

// Guards against a result code with two exit codes, and against an error that exits with 0.
test('exit classes do not overlap and only success exits with 0', t => {
	const codes = exitClasses.flatMap(entry => entry.codes);
	t.is(new Set(codes).size, codes.length);
	t.deepEqual(codes.filter(code => exitCodeOf(code) === 0), [1000]);
});

// Guards against example files that do not pass validation.
test('the example files are valid', t => {
	const folder = new URL('../../../examples/', import.meta.url);
	const files = readdirSync(folder).filter(file => file.endsWith('.yaml'));
	t.true(files.length >= 2);
	for (const file of files) {
		const {document} = readConfigurationFile(fileURLToPath(new URL(file, folder)));
		t.is(document.workspaces.length, 8);
	}
});

// Guards against tables with lines longer than a terminal of 80 columns.
test('the last column of a table is wrapped at 80 columns', t => {
	const lines = renderTable(['A', 'B'], [['x', 'word '.repeat(40).trim()]]).split('\n');
	t.true(lines.length > 2);
	t.true(lines.every(line => line.length <= 80));
});
