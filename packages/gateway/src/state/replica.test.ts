import test from 'ava';
import {settle} from '@fescuewick/core';
import {Replica} from './replica.js';
import {StoreEra} from './store-era.js';

const record = (name: string, revision: number) => ({name, revision, value: name});

test('a replica adopts that of a peer only if the peer has a change that it lacks', t => {
	// Guards against a stale peer that restores a removed record.
	const own = new Replica();
	own.applyListing({records: [record('a', 3)], revision: 20});
	const stale = new Replica();
	stale.applyListing({records: [record('a', 3), record('b', 10)], revision: 15});
	t.false(own.adopt(stale.changesSince(-1)));
	const newer = new Replica();
	newer.applyListing({records: [record('a', 3)], revision: 20});
	newer.applyChanges({changes: [{record: record('c', 25), isRemoved: false}], revision: 25});
	t.true(own.adopt(newer.changesSince(-1)));
	t.deepEqual([...own.records.keys()], ['a', 'c']);
	t.deepEqual(own.revisions, {valid: 25, changed: 25});
});

test('an older listing and an older change of a record are ignored', t => {
	// Guards against a late answer of the store that reverts a replica.
	const replica = new Replica();
	replica.applyListing({records: [record('a', 12)], revision: 12});
	t.false(replica.applyListing({records: [record('a', 4)], revision: 5}));
	replica.applyChanges({changes: [{record: record('a', 11), isRemoved: false}], revision: 12});
	t.is(replica.records.get('a')?.revision, 12);
});

test('a watch without changes raises only the valid revision', t => {
	// Guards against peers that fetch replicas which differ only in the time of the last call.
	const replica = new Replica();
	replica.applyListing({records: [record('a', 3)], revision: 3});
	replica.applyChanges({changes: [], revision: 9});
	t.deepEqual(replica.revisions, {valid: 9, changed: 3});
	t.false(replica.isBehind({valid: 20, changed: 9}));
	t.true(replica.isBehind({valid: 20, changed: 10}));
});

test('a replica that lacks the last changes gets only these, and one that lacks more gets all records', t => {
	// Guards against hundreds of VMs that each fetch all records for every change.
	const reader = new Replica();
	reader.applyListing({records: [record('a', 3), record('b', 4), record('c', 5)], revision: 20});
	const behind = new Replica();
	behind.adopt(reader.changesSince(-1));
	reader.applyChanges({changes: [{record: record('b', 22), isRemoved: true}, {record: record('d', 23), isRemoved: false}], revision: 25});
	reader.applyListing({records: [record('a', 3), record('d', 23), record('e', 28)], revision: 30});
	const delta = reader.changesSince(20);
	t.true('changes' in delta && delta.changes.length === 4);
	t.true(behind.adopt(delta));
	t.deepEqual([...behind.records.keys()].sort(), ['a', 'd', 'e']);
	t.deepEqual(behind.revisions, reader.revisions);
	t.true('records' in reader.changesSince(19));
	t.false(behind.adopt(delta));
});

test('a replica retains only the last change of a record, however often it changes', t => {
	// Guards against a replica that grows with every change, and against a message with all versions of a large record.
	const replica = new Replica();
	replica.applyListing({records: [], revision: 1});
	replica.applyChanges({changes: [{record: record('b', 2), isRemoved: false}], revision: 2});
	for (let revision = 3; revision <= 1000; revision++) {
		replica.applyChanges({changes: [{record: record('a', revision), isRemoved: false}], revision});
	}

	for (const [since, expected] of [[1, ['b', 'a']], [2, ['a']], [999, ['a']], [1000, []]] as const) {
		const delta = replica.changesSince(since);
		t.deepEqual('changes' in delta && delta.changes.map(({record}) => record.name), [...expected]);
	}
});

test('a replica retains removed records up to a limit on their bytes, and gives all records to peers that lack more', t => {
	// Guards against a replica that grows with every removal, and against an incomplete list of changes.
	const replica = new Replica();
	replica.applyListing({records: [record('a', 1)], revision: 1});
	const value = 'x'.repeat(10_000);
	for (let revision = 2; revision <= 601; revision += 2) {
		const name = `s${revision}`;
		replica.applyChanges({changes: [{record: {name, revision, value}, isRemoved: false}], revision});
		replica.applyChanges({changes: [{record: {name, revision: revision + 1, value}, isRemoved: true}], revision: revision + 1});
	}

	t.true(replica.removedBytes > 1_000_000 && replica.removedBytes <= 1_048_576, `${replica.removedBytes} bytes`);
	t.true('records' in replica.changesSince(300));
	const delta = replica.changesSince(501);
	t.true('changes' in delta);
	t.deepEqual('changes' in delta && delta.changes.map(({isRemoved}) => isRemoved), Array.from({length: 50}, () => true));
});

test('a record that is removed and added again within a batch counts only as changed', async t => {
	// Guards against a backend server that restarted between two watches and is not used again.
	const replica = new Replica();
	replica.applyListing({records: [record('a', 3)], revision: 3});
	const change = replica.events.once('change');
	replica.applyChanges({changes: [{record: record('a', 4), isRemoved: true}, {record: record('a', 5), isRemoved: false}], revision: 5});
	t.deepEqual(await change, {changed: [record('a', 5)], removed: []});
});

test('peers confirm the revision of a replica that is not read from the store', t => {
	// Guards against a VM that becomes a reader with a revision older than the store's history.
	const replica = new Replica();
	t.false(replica.confirm({valid: 30, changed: 10}));
	replica.applyListing({records: [record('a', 3)], revision: 20});
	t.true(replica.confirm({valid: 30, changed: 10}));
	t.deepEqual(replica.revisions, {valid: 30, changed: 10});
	t.false(replica.confirm({valid: 50, changed: 40}), 'the peer has a change that this replica lacks');
	t.false(replica.confirm({valid: 25, changed: 10}));
});

test('the replica of a starting VM is not fetched by peers and confirms no removal that it cannot know of', t => {
	// Guards against all VMs fetching all records from each VM that starts, and against a removal that is never learned of.
	const listing = {records: [record('a', 3)], revision: 40};
	const started = new Replica();
	started.applyListing(listing);
	const upToDate = new Replica();
	upToDate.applyListing({records: [record('a', 3), record('b', 10)], revision: 20});
	t.false(upToDate.isBehind(started.advertisedRevisions));
	t.false(upToDate.confirm(started.advertisedRevisions), 'b was removed after 20');
	t.is(upToDate.revisions.valid, 20);
	const reader = new Replica();
	reader.applyListing({records: [record('a', 3), record('b', 10)], revision: 20});
	reader.applyChanges({changes: [{record: record('b', 30), isRemoved: true}], revision: 50});
	t.true(upToDate.isBehind(reader.advertisedRevisions));
	t.true(upToDate.adopt(reader.changesSince(20)));
	t.deepEqual([...upToDate.records.keys()], ['a']);
	t.deepEqual(upToDate.advertisedRevisions, {valid: 50, changed: 50});
});

test('the replica of a starting VM learns the last change from readers and then reports it', t => {
	const started = new Replica();
	started.applyListing({records: [record('a', 3)], revision: 40});
	t.false(started.confirm({valid: 35, changed: 30}), 'the reader has not read as far as this replica yet');
	t.deepEqual(started.advertisedRevisions, {valid: 3, changed: 3});
	t.true(started.confirm({valid: 55, changed: 30}));
	t.deepEqual(started.advertisedRevisions, {valid: 55, changed: 30});
});

test('all records from a peer are treated like a listing', t => {
	// Guards against a VM that reports a replica as complete up to a revision whose removals its peer could not know.
	const peer = new Replica();
	peer.applyListing({records: [record('a', 3)], revision: 40});
	const first = new Replica();
	t.true(first.adopt(peer.changesSince(-1)));
	t.deepEqual(first.advertisedRevisions, {valid: 3, changed: 3});
	t.is(first.revisions.valid, 40);
});

test('a record that is changed and removed within a batch is removed, also at peers', t => {
	// Guards against a backend server that left and stays in the replicas of peers.
	const reader = new Replica();
	reader.applyListing({records: [record('a', 3), record('b', 4)], revision: 4});
	const peer = new Replica();
	peer.adopt(reader.changesSince(-1));
	reader.applyChanges({changes: [{record: record('a', 5), isRemoved: false}, {record: record('a', 6), isRemoved: true}], revision: 6});
	t.deepEqual([...reader.records.keys()], ['b']);
	t.true(peer.adopt(reader.changesSince(4)));
	t.deepEqual([...peer.records.keys()], ['b']);
});

test('the first listing of a higher era replaces a replica as a whole, also if its revision is lower', async t => {
	// Guards against a replica that waits for the revision that it knows from before the store was restored.
	const replica = new Replica();
	replica.applyListing({records: [record('a', 3), record('b', 40)], revision: 60, era: 1});
	await settle();
	const change = replica.events.once('change');
	t.true(replica.applyListing({records: [record('a', 3), record('c', 5)], revision: 7, era: 2}));
	t.deepEqual([...replica.records.keys()], ['a', 'c']);
	t.deepEqual(replica.revisions, {valid: 7, changed: 5, era: 2});
	const {changed, removed, isRestore} = await change;
	t.deepEqual(changed.map(({name}) => name), ['c']);
	t.deepEqual(removed.map(({name}) => name), ['b']);
	t.true(isRestore);
	replica.applyChanges({changes: [{record: record('d', 9), isRemoved: false}], revision: 9, era: 2});
	t.true(replica.records.has('d'));
});

test('a record with the revision and the name of one from before the restore counts as changed if its value differs', async t => {
	// Guards against content of revisions that the store has assigned again and that is taken for known.
	const replica = new Replica();
	replica.applyListing({records: [{name: 'a', revision: 3, value: {x: 1}}, {name: 'b', revision: 4, value: {x: 1}}], revision: 4, era: 1});
	await settle();
	const change = replica.events.once('change');
	replica.applyListing({records: [{name: 'a', revision: 3, value: {x: 1}}, {name: 'b', revision: 4, value: {x: 2}}], revision: 4, era: 2});
	const {changed} = await change;
	t.deepEqual(changed.map(({name}) => name), ['b']);
});

test('listings and changes of a lower era are ignored, whatever their revisions', t => {
	// Guards against a late answer from before the restore, and against changes that do not follow the replica.
	const replica = new Replica();
	replica.applyListing({records: [record('a', 3)], revision: 5, era: 2});
	t.false(replica.applyListing({records: [record('b', 90)], revision: 90, era: 1}));
	replica.applyChanges({changes: [{record: record('b', 90), isRemoved: false}], revision: 90, era: 1});
	replica.applyChanges({changes: [{record: record('c', 9), isRemoved: false}], revision: 9, era: 3});
	replica.confirmRead(50, 1);
	t.deepEqual([...replica.records.keys()], ['a']);
	t.deepEqual(replica.position, {revision: 5, era: 2});
	t.is(replica.confirmedAtMs, Number.NEGATIVE_INFINITY);
});

test('a peer in a lower era confirms nothing and has nothing that is missing', t => {
	// Guards against a peer that has not noticed the restore and whose higher revisions count as newer.
	const replica = new Replica();
	replica.applyListing({records: [record('a', 3)], revision: 5, era: 2});
	const peer = new Replica();
	peer.applyListing({records: [record('a', 3), record('b', 80)], revision: 90, era: 1});
	t.false(replica.isBehind(peer.advertisedRevisions));
	t.false(replica.adopt(peer.changesSince(5, 2)));
	t.false(replica.confirm(peer.advertisedRevisions));
	replica.confirmPeerReading({changedBy: 1, ageMs: 0}, 1);
	t.is(replica.confirmedAtMs, Number.NEGATIVE_INFINITY);
	t.true(peer.isBehind(replica.advertisedRevisions));
	t.true(peer.adopt(replica.changesSince(90, 1)), 'it gets all records, although its revision is higher');
	t.deepEqual([...peer.records.keys()], ['a']);
});

test('a replica of a lower era than the highest one known is confirmed by nobody and reported as not loaded', t => {
	// Guards against state from before the restore that counts as current because the VM has not listed the collection again yet.
	const era = new StoreEra();
	const replica = new Replica(() => 100, era);
	era.observeAnswer({era: 1, revision: 5});
	replica.applyListing({records: [record('a', 3)], revision: 5, era: 1});
	replica.confirmRead(50, 1);
	t.true(replica.isCurrent);
	era.observePeer({era: 2, revision: 3}, 'peer');
	t.false(replica.isCurrent);
	replica.confirmRead(90, 1);
	replica.confirmPeerReading({changedBy: 5, ageMs: 0}, 1);
	replica.confirmPeerReading({changedBy: 3, ageMs: 0}, 2);
	t.false(replica.confirm({valid: 9, changed: 3, era: 1}));
	t.false(replica.isBehind({valid: 90, changed: 90, era: 1}), 'it is not fetched from peers that have not noticed');
	t.false(replica.isBehind({valid: -1, changed: -1, era: 2}), 'nor from those that have not listed it again');
	t.true(replica.isBehind({valid: 3, changed: 3, era: 2}));
	t.is(replica.confirmedAtMs, 50);
	t.is(replica.reading, undefined);
	t.deepEqual(replica.advertisedRevisions, {valid: -1, changed: -1});
	t.deepEqual([...replica.records.keys()], ['a'], 'its content stays in use');
});
