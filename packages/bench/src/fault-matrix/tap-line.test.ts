import test from 'ava';
import {parseTapLine, TestState} from './tap-line.js';

test('results of the test runner are read with their state', t => {
	t.deepEqual(parseTapLine('ok 3 - packages › core › dist › a timer fires'), {title: 'core › dist › a timer fires', state: TestState.passed});
	t.deepEqual(parseTapLine('not ok 4 - a timer fires'), {title: 'a timer fires', state: TestState.failed});
	t.deepEqual(parseTapLine('ok 5 - a timer fires # SKIP'), {title: 'a timer fires', state: TestState.skipped});
	t.is(parseTapLine('# a timer fires'), undefined);
	t.is(parseTapLine('1..5'), undefined);
});

test('a failure without a title and a file that ends early are failed tests', t => {
	// Guards against a run that ends with exit code 1 and a missing result, but reports no failed test.
	t.is(parseTapLine('not ok 7')?.state, TestState.failed);
	t.deepEqual(parseTapLine('# 1 test remaining in packages/local/dist/faults/vms.test.js'), {title: '1 test remaining in packages/local/dist/faults/vms.test.js', state: TestState.failed});
	t.is(parseTapLine('# 2 tests remaining in a.test.js')?.state, TestState.failed);
});
