import test from 'ava';
import {testTitle} from './test-title.js';

// Guards against tests that do not match their titles in the fault matrix and in KNOWN-RED.txt when a run includes files outside packages/.
test('the title of a test does not depend on the files that run with it', t => {
	t.is(testTitle('packages › orders › dist › fleet › claims are decided once'), 'orders › dist › fleet › claims are decided once');
	t.is(testTitle('orders › dist › fleet › claims are decided once'), 'orders › dist › fleet › claims are decided once');
	t.is(testTitle('platform › dist › platform-store › a watch brings changes'), 'platform › dist › platform-store › a watch brings changes');
});
