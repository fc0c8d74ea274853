import test from 'ava';
import {Replica} from './replica.js';

const record = (name: string, revision: number) => ({name, revision, value: name});

test('a copy takes over a peer\'s copy only if the peer has a change that it lacks', t => {
	// Guards against a stale peer bringing back a record that was removed.
	const own = new Replica();
	own.applyListing({records: [record('a', 3)], revision: 20});
	const stale = new Replica();
	stale.applyListing({records: [record('a', 3), record('b', 10)], revision: 15});
	t.false(own.adopt(stale.image()));
	const newer = new Replica();
	newer.applyListing({records: [record('a', 3)], revision: 20});
	newer.applyChanges({changes: [{record: record('c', 25), isRemoved: false}], revision: 25});
	t.true(own.adopt(newer.image()));
	t.deepEqual([...own.records.keys()], ['a', 'c']);
	t.deepEqual(own.revisions, {valid: 25, changed: 25});
});

test('an older listing and an older change of a record are ignored', t => {
	// Guards against a late answer of the store moving a copy back.
	const replica = new Replica();
	replica.applyListing({records: [record('a', 12)], revision: 12});
	t.false(replica.applyListing({records: [record('a', 4)], revision: 5}));
	replica.applyChanges({changes: [{record: record('a', 11), isRemoved: false}], revision: 12});
	t.is(replica.records.get('a')?.revision, 12);
});

test('a watch without changes moves the valid revision only', t => {
	// Guards against peers fetching copies that differ in nothing but the time of the last call.
	const replica = new Replica();
	replica.applyListing({records: [], revision: 3});
	replica.applyChanges({changes: [], revision: 9});
	t.deepEqual(replica.revisions, {valid: 9, changed: 3});
	t.false(replica.isBehind({valid: 20, changed: 9}));
	t.true(replica.isBehind({valid: 20, changed: 10}));
});
