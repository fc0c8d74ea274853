import process from 'node:process';
import test, {registerCompletionHandler} from 'ava';
import {cellsOf} from './mixed-rows.js';

// Connections that a relay has silenced can stay open after the tests and would keep the test process running.
registerCompletionHandler(() => {
	process.exit();
});

const faults = [
	'store-down+process-dies',
	'answer-lost+process-dies',
	'operators-race+answer-lost',
	'region-fails+store-down',
	'store-slow+process-dies',
	'lease-lapsed-paused+store-down',
];

for (const {title, problems} of cellsOf(faults)) {
	// Guards against violations that the step's check in step-checks.ts reports during the fault and after it.
	test.serial(title, async t => {
		t.deepEqual(await problems(), []);
	});
}
