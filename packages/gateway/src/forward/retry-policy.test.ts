import test from 'ava';
import {FailureKind, mayRetry} from './retry-policy.js';

const input = {
	kind: FailureKind.unknown, isRepeatable: true, possibleRuns: 1, attempts: 1, maxAttempts: 2, timeLeftMs: 1000, expectedMs: 200,
};

test('a request that may not be repeated is retried only if the first server did not run it', t => {
	// Guards against a reservation that is run twice.
	t.false(mayRetry({...input, isRepeatable: false}));
	t.false(mayRetry({...input, isRepeatable: false, kind: FailureKind.serverError}));
	t.true(mayRetry({
		...input, isRepeatable: false, kind: FailureKind.notRun, possibleRuns: 0,
	}));
});

test('a request runs on at most as many servers as its route allows', t => {
	t.true(mayRetry(input));
	t.false(mayRetry({...input, possibleRuns: 2}));
	t.false(mayRetry({...input, kind: FailureKind.notRun, possibleRuns: 2}));
	t.false(mayRetry({
		...input, kind: FailureKind.notRun, possibleRuns: 0, attempts: 4,
	}));
});

test('a request is not retried without enough time before its deadline', t => {
	t.false(mayRetry({...input, timeLeftMs: 90}));
});
