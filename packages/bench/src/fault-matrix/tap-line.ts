import {testTitle} from './test-title.js';

/** Result state of a test. */
export enum TestState {
	passed = 'passed',
	failed = 'failed',
	skipped = 'skipped',
}

/** A test result parsed from the test runner's TAP output. */
export type TapResult = {readonly title: string; readonly state: TestState};

const resultPattern = /^(?<not>not )?ok (?<number>\d+)(?: - (?<title>.*?))?(?: # (?<directive>SKIP|TODO).*)?$/u;
const remainingPattern = /^# (?<title>\d+ tests? remaining in .+)$/u;

/** Parses a line of the test runner's TAP output; returns undefined if it contains no result. A test file that ends before all of its tests have run counts as a failed test, as the runner reports it only in a comment. */
export function parseTapLine(line: string): TapResult | undefined {
	const remaining = remainingPattern.exec(line);
	if (remaining !== null) {
		return {title: remaining.groups!.title, state: TestState.failed};
	}

	const result = resultPattern.exec(line);
	if (result === null) {
		return undefined;
	}

	const {not, number, title, directive} = result.groups!;
	const state = directive === undefined ? (not === undefined ? TestState.passed : TestState.failed) : TestState.skipped;
	return {title: title === undefined ? `result ${number} without a title` : testTitle(title.replaceAll(String.raw`\#`, '#')), state};
}
