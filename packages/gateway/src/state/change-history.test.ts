import test from 'ava';
import fc from 'fast-check';
import {type CollectionRecord} from '@fescuewick/store';
import {Replica} from './replica.js';

const names = ['a', 'b', 'c', 'd'];
/** Long enough that the limit of removed records is reached within a sequence. */
const value = 'x'.repeat(300_000);

enum Step {
	/** The store changes or adds a record. */
	change = 'change',
	remove = 'remove',
	/** The reader lists the store instead of reading the changes. */
	list = 'list',
	/** A peer takes what it lacks from the reader, or from the peer before it. */
	adopt = 'adopt',
}

const stepOf = fc.record({kind: fc.constantFrom(...Object.values(Step)), name: fc.constantFrom(...names), peer: fc.nat(2)});

const revisionsOf = (records: ReadonlyMap<string, CollectionRecord>) => Object.fromEntries([...records].map(([name, {revision}]) => [name, revision]));

test('peers that take what they lack at any time have the records of the store in the end', t => {
	// Guards against a change that is missing because its history was shortened, and against a removed record that comes back.
	fc.assert(fc.property(fc.array(stepOf, {maxLength: 60}), steps => {
		const stored = new Map<string, CollectionRecord>();
		const [reader, ...peers] = Array.from({length: 4}, () => new Replica());
		let revision = 1;
		reader.applyListing({records: [], revision});
		for (const {kind, name, peer} of steps) {
			const known = stored.get(name);
			if (kind === Step.adopt) {
				const source = peer === 0 ? reader : peers[peer - 1];
				if (source.isLoaded) {
					peers[peer].adopt(source.changesSince(peers[peer].position.revision));
				}
			} else if (kind === Step.list) {
				reader.applyListing({records: [...stored.values()], revision});
			} else if (kind === Step.change || known !== undefined) {
				revision++;
				const record = {name, revision, value};
				if (kind === Step.change) {
					stored.set(name, record);
				} else {
					stored.delete(name);
				}

				reader.applyChanges({changes: [{record, isRemoved: kind === Step.remove}], revision});
			}
		}

		for (const [index, peer] of peers.entries()) {
			peer.adopt((index === 0 ? reader : peers[index - 1]).changesSince(peer.position.revision));
			t.deepEqual(revisionsOf(peer.records), revisionsOf(stored));
		}
	}), {seed: 42, numRuns: 300});
});
