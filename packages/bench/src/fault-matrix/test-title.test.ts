import test from 'ava';
import {testTitle} from './test-title.js';

// Guards against a fault matrix and a KNOWN-RED.txt that miss their tests when a run also has files outside packages/.
test('a test has one title, whatever files run with it', t => {
	t.is(testTitle('packages › orders › dist › fleet › claims are decided once'), 'orders › dist › fleet › claims are decided once');
	t.is(testTitle('orders › dist › fleet › claims are decided once'), 'orders › dist › fleet › claims are decided once');
	t.is(testTitle('platform › dist › platform-store › a watch brings changes'), 'platform › dist › platform-store › a watch brings changes');
});
