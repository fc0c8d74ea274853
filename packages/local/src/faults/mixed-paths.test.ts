import process from 'node:process';
import test, {registerCompletionHandler} from 'ava';
import {cellsOf} from './mixed-rows.js';

// Connections that a relay has silenced can stay open after the tests and would keep the test process running.
registerCompletionHandler(() => {
	process.exit();
});

for (const {title, problems} of cellsOf(['domain-cut', 'silent-connection', 'domain-cut+store-down', 'silent-connection+operators-race'])) {
	// Guards against violations that the step's check in step-checks.ts reports during the fault and after it.
	test.serial(title, async t => {
		t.deepEqual(await problems(), []);
	});
}
