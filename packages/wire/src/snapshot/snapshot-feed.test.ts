import test from 'ava';
import fc from 'fast-check';
import {encodeFrame} from '../frame-codec.js';
import {MessageType} from '../messages.js';
import {SnapshotFeed} from './snapshot-feed.js';
import {type SnapshotBody, type SnapshotDeltaBody} from './snapshot-messages.js';
import {SnapshotReceiver} from './snapshot-receiver.js';

const names = fc.uniqueArray(fc.constantFrom('a', 'b', 'c', 'd', 'e'), {maxLength: 5});
const smallNumber = fc.integer({min: 0, max: 2});

const snapshots = fc.record({
	revision: smallNumber,
	configuration: fc.record({
		classes: fc.array(smallNumber, {maxLength: 2}),
		workspaces: fc.tuple(names, smallNumber).map(([list, ratePerS]) => list.map(name => ({name, ratePerS}))),
		keys: names.map(list => list.map(id => ({id, workspace: 'a'}))),
	}),
	members: fc.tuple(names, fc.boolean()).map(([list, leaving]) => list.map(vm => ({vm, leaving}))),
	// May list a server twice for one service; neither entry may be lost.
	backends: fc.array(fc.record({server: fc.constantFrom('s', 't'), service: fc.constantFrom('x', 'y'), slots: smallNumber}), {maxLength: 3}),
	revokedKeyHashes: names,
	keysAgeMs: fc.option(smallNumber, {nil: undefined}),
	shiftGrants: fc.array(smallNumber, {maxLength: 2}),
}).map(value => value as unknown as SnapshotBody);

function withSortedEntries(snapshot: SnapshotBody | undefined): unknown {
	return JSON.parse(JSON.stringify(snapshot, (_key, value: unknown) => Array.isArray(value)
		? value.map(item => JSON.stringify(item)).sort((a, b) => a.localeCompare(b))
		: (typeof value === 'object' && value !== null ? Object.fromEntries(Object.entries(value).sort(([a], [b]) => a.localeCompare(b))) : value)));
}

/** Sends pages as frames do, so that the receiver shares no object with the feed. */
function receiveAll(receiver: SnapshotReceiver, pages: readonly SnapshotDeltaBody[]): SnapshotBody | undefined {
	let snapshot: SnapshotBody | undefined;
	for (const page of pages) {
		snapshot = receiver.receive(page);
	}

	return snapshot;
}

// Guards against a daemon that keeps removed rows or misses changed ones.
test('a receiver that follows all changes holds the same snapshot as one that starts with the full snapshot', t => {
	fc.assert(fc.property(fc.array(snapshots, {minLength: 1, maxLength: 6}), history => {
		const feed = new SnapshotFeed();
		const follower = new SnapshotReceiver();
		let followed: SnapshotBody | undefined;
		for (const snapshot of history) {
			followed = receiveAll(follower, feed.update(snapshot)) ?? followed;
			t.deepEqual(withSortedEntries(followed), withSortedEntries(snapshot));
			t.deepEqual(withSortedEntries(receiveAll(new SnapshotReceiver(), feed.fullPages())), withSortedEntries(snapshot));
		}
	}), {seed: 71, numRuns: 300});
});

function fleetSnapshot(count: number, leaving?: number): SnapshotBody {
	const members = Array.from({length: count}, (_, index) => ({
		vm: `vm-${index}`, failureDomain: 'a', region: 'r', controlAddress: '10.0.0.1:7100', entryUrl: 'http://10.0.0.1:8080', lookupUrl: 'http://10.0.0.1:8081',
		adminUrl: 'http://10.0.0.1:7101', leaving: index === leaving,
	}));
	return {
		revision: 1, configuration: {workspaces: []}, members, backends: [], revokedKeyHashes: [], keysAgeMs: undefined, loads: [], shiftGrants: [], controlIncarnation: 'c',
	};
}

// Guards against a snapshot of a large fleet that exceeds the frame limit, and against updates whose size grows with the fleet.
test('a large snapshot is sent in pages that fit a frame, and a change of one member as one small page', t => {
	const feed = new SnapshotFeed();
	const receiver = new SnapshotReceiver();
	const pages = feed.update(fleetSnapshot(7600));
	t.true(pages.length > 1);
	for (const page of pages) {
		t.notThrows(() => encodeFrame(MessageType.snapshotDelta, 0, page));
	}

	t.is(receiveAll(receiver, pages)?.members.length, 7600);
	const update = feed.update(fleetSnapshot(7600, 3));
	t.is(update.length, 1);
	t.true(encodeFrame(MessageType.snapshotDelta, 0, update[0]).length < 1000);
	t.deepEqual(receiveAll(receiver, update)?.members.filter(({leaving}) => leaving).map(({vm}) => vm), ['vm-3']);
});

// Guards against a snapshot assembled from pages of two updates after the first was interrupted.
test('pages of an interrupted update are dropped when the next one begins', t => {
	const feed = new SnapshotFeed();
	const receiver = new SnapshotReceiver();
	const [firstPage] = feed.update(fleetSnapshot(7600));
	t.is(receiver.receive(firstPage), undefined);
	feed.update(fleetSnapshot(2));
	t.is(receiveAll(receiver, feed.fullPages())?.members.length, 2);
});
