import {readFileSync, writeFileSync} from 'node:fs';
import {pathToFileURL} from 'node:url';
import process from 'node:process';
import {resultCodeName} from '@fescuewick/core';
import {codeRows} from './commands/codes.js';
import {exitClasses, otherExitCode} from './exit-codes.js';

/** Location of the committed page of result codes. */
export const resultCodesFile = new URL('../../../docs/result-codes.md', import.meta.url);

const codeRanges: ReadonlyArray<{readonly first: number; readonly title: string}> = [
	{first: 1000, title: 'Success'},
	{first: 1100, title: 'Request and key'},
	{first: 1200, title: 'Admission'},
	{first: 1300, title: 'Orders'},
	{first: 1400, title: 'Backend servers'},
	{first: 1500, title: 'Lookup'},
	{first: 2000, title: 'Control and peers'},
	{first: 3000, title: 'Store'},
	{first: 4000, title: 'Operators\' client'},
];

/** Renders `docs/result-codes.md` from the table in core. */
export function renderResultCodes(): string {
	const sections = codeRanges.map(({first, title}, index) => {
		const rows = codeRows().filter(({code}) => Number(code) >= first && Number(code) < (codeRanges[index + 1]?.first ?? Number.POSITIVE_INFINITY));
		return [
			`## ${first} ${title}`,
			'',
			'| code | name | HTTP status | outcome | exit code | meaning |',
			'| --- | --- | --- | --- | --- | --- |',
			...rows.map(({code, name, httpStatus, outcome, exitCode, text}) => `| ${code} | \`${name}\` | ${httpStatus} | ${outcome} | ${exitCode} | ${text} |`),
		].join('\n');
	});
	return `${[renderIntroduction(), ...sections, renderExitCodeSection()].join('\n\n')}\n`;
}

/** Whether the committed page matches the table in core. */
export function isResultCodesFileCurrent(): boolean {
	return readFileSync(resultCodesFile, 'utf8') === renderResultCodes();
}

function renderIntroduction(): string {
	return [
		'# Result codes',
		'',
		'Generated from `packages/core/src/result-codes.ts` by `node packages/cli/dist/generate-docs.js`; do not edit.',
		'',
		'A response that is not a plain success carries `{code, name, outcome, message, retryAfterMs?}` and the header `x-fescuewick-code`.',
		'The same numbers appear in logs and on the standard error of the operators\' client.',
		'',
		'The outcome says what the caller may conclude about its request:',
		'',
		'- `done`: it ran.',
		'- `not-run`: it did not run and will not; repeating it is safe.',
		'- `unknown`: it may have run.',
	].join('\n');
}

function renderExitCodeSection(): string {
	return [
		'## Exit codes of the operators\' client',
		'',
		'| exit code | class | result codes | meaning |',
		'| --- | --- | --- | --- |',
		...exitClasses.map(({exitCode, name, codes, meaning}) => `| ${exitCode} | ${name} | ${codes.map(code => `${code} \`${resultCodeName(code)}\``).join(', ')} | ${meaning} |`),
		`| ${otherExitCode} | other | all others | An internal error, or a code that the client is not expected to return. |`,
	].join('\n');
}

if (import.meta.url === pathToFileURL(process.argv[1] ?? '').href) {
	writeFileSync(resultCodesFile, renderResultCodes());
}
