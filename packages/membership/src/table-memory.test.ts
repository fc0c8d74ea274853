import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import test from 'ava';
import {ManualTimerService} from '@fescuewick/core';
import {memoryRecord} from './mesh-fixture.js';
import {MemberTable} from './member-table.js';

setFlagsFromString('--expose_gc');
const collectGarbage = runInNewContext('gc') as () => void;

// Guards against a table of the 7,600 members of the design size that takes more than the 32 MB of memory available to control on a node.
test('a table of the design size fits into the memory of a node', t => {
	const entries = Array.from({length: 7600}, (_, index) => {
		const record = memoryRecord(`vm-${index}`, `domain-${index % 26}`);
		return {record, incarnation: {vm: record.vm, startedAtMs: 1, nonce: '0a'}, heardAgeMs: 0};
	});
	const table = new MemberTable('self', new ManualTimerService(), () => {/* The test sends no changes. */});
	collectGarbage();
	const before = process.memoryUsage().heapUsed;
	table.merge({members: structuredClone(entries)}, 'peer');
	collectGarbage();
	t.is(table.size, 7600);
	const sizeBytes = process.memoryUsage().heapUsed - before;
	t.true(sizeBytes < 32e6, `${sizeBytes} bytes`);
});
