import test from 'ava';
import {vmRecord} from '../testing/fixtures.js';
import {
	readersPerRegion, isStoreReader, StoreAccess, type ReaderCandidate,
} from './store-readers.js';

function candidatesOf(domains: Readonly<Record<string, number>>): ReaderCandidate[] {
	return Object.entries(domains).flatMap(([domain, count]) => Array.from({length: count}, (_, index) => ({
		record: vmRecord(`${domain}-vm-${index}`, domain), isReady: true, access: StoreAccess.idle,
	})));
}

function readersAmong(candidates: readonly ReaderCandidate[]): ReaderCandidate[] {
	return candidates.filter(({record}) => isStoreReader(record.vm, candidates));
}

test('a region of any size has the same number of readers, in different failure domains', t => {
	// Guards against store calls that grow with the fleet, and against a region without readers after the loss of a failure domain.
	for (const size of [1, 10, 200]) {
		const readers = readersAmong(candidatesOf({'north-1': size, 'north-2': size, 'north-3': size}));
		t.is(readers.length, readersPerRegion);
		t.is(new Set(readers.map(({record}) => record.failureDomain)).size, 3);
	}
});

test('a reader that the store refuses or that stops is replaced by another VM', t => {
	// Guards against a region whose readers are all refused while the store would serve other VMs.
	const all = candidatesOf({'north-1': 5, 'north-2': 5});
	const first = new Set(readersAmong(all).map(({record}) => record.vm));
	const changed = all.map(candidate => first.has(candidate.record.vm) ? {...candidate, access: StoreAccess.refused} : candidate);
	const next = readersAmong(changed);
	t.is(next.length, readersPerRegion);
	t.false(next.some(({record}) => first.has(record.vm)));
	const stopping = all.map(candidate => first.has(candidate.record.vm) ? {...candidate, isReady: false} : candidate);
	t.false(readersAmong(stopping).some(({record}) => first.has(record.vm)));
});

test('while the store refuses all VMs, the number of readers stays the same', t => {
	// Guards against an outage in which every VM calls the store.
	const all = candidatesOf({'north-1': 20, 'north-2': 20}).map(candidate => ({...candidate, access: StoreAccess.refused}));
	t.is(readersAmong(all).length, readersPerRegion);
});

test('a VM without live peers is a reader, also while it is not ready', t => {
	const [alone] = candidatesOf({'north-1': 1});
	t.true(isStoreReader(alone.record.vm, [{...alone, isReady: false}]));
});
