import test from 'ava';
import {
	errorBody, FescuewickError, Outcome, ResultCode, resultCodeName, resultCodeTable, toFescuewickError,
} from './index.js';

// Guards against a code without a row in the table or with a status outside HTTP's range.
test('every result code has a table row', t => {
	for (const code of Object.values(ResultCode).filter(value => typeof value === 'number')) {
		const info = resultCodeTable[code];
		t.truthy(info, `no row for ${resultCodeName(code)}`);
		t.true(info.httpStatus >= 200 && info.httpStatus < 600);
		t.true(info.text.endsWith('.'));
	}
});

// Guards against error bodies that omit `retryAfterMs` or report the wrong outcome.
test('error bodies carry name, outcome and retry delay', t => {
	t.deepEqual(errorBody(ResultCode.rateExceeded, 'slow down', 250), {
		code: 1201, name: 'rateExceeded', outcome: Outcome.notRun, message: 'slow down', retryAfterMs: 250,
	});
	t.false('retryAfterMs' in errorBody(ResultCode.backendCut));
});

// Guards against messages whose format directives are expanded and against errors wrapped twice.
test('errors keep their message and cause', t => {
	const cause = new Error('socket hang up');
	const error = new FescuewickError(ResultCode.backendCut, '100%s cut', {cause});
	t.true(error.message.startsWith('100%s cut'));
	t.is(error.outcome, Outcome.unknown);
	t.is(toFescuewickError(error), error);
	t.is(toFescuewickError('text').code, ResultCode.internal);
});
