import {Buffer} from 'node:buffer';
import test from 'ava';
import {
	decodeRecords, encodeRecords, RecordKind, recordBytes, type JournalRecord,
} from './journal-record.js';

const fields = {words: [1, 2, 3, 0xFF_FF_FF_FF] as const, claimant: [5, 6] as const, timeS: 1_700_000_000};
const records: JournalRecord[] = [
	{kind: RecordKind.claim, contentHash: 0xFE_DC_BA_98, ...fields},
	{kind: RecordKind.done, contentHash: 0, ...fields},
	{kind: RecordKind.claim, contentHash: 0, ...fields},
	{kind: RecordKind.unknown, contentHash: 0, ...fields},
	{kind: RecordKind.release, contentHash: 0, ...fields},
];

// Guards against decoding records of different sizes at wrong offsets.
test('records with and without content hash are read as they were written', t => {
	const bytes = encodeRecords(records);
	t.is(bytes.length, (records.length * recordBytes) + 4);
	t.deepEqual([...decodeRecords(bytes)], records);
});

// Guards against misreading claims of an earlier journal format, which have no content hash.
test('claims of a journal without content hashes are read', t => {
	const bytes = Buffer.alloc(recordBytes);
	bytes.writeUInt8(1, 0);
	for (const [index, word] of [...fields.words, ...fields.claimant, fields.timeS].entries()) {
		bytes.writeUInt32BE(word, 1 + (index * 4));
	}

	t.deepEqual([...decodeRecords(bytes)], [records[2]]);
});

// Guards against a damaged journal being read as empty or with fewer records.
test('truncated records and unknown kinds are errors', t => {
	const bytes = encodeRecords(records);
	for (const cutAt of [1, recordBytes, recordBytes + 3, bytes.length - 1]) {
		t.throws(() => [...decodeRecords(bytes.subarray(0, cutAt))], {instanceOf: RangeError});
	}

	bytes.writeUInt8(9, 0);
	t.throws(() => [...decodeRecords(bytes)], {instanceOf: RangeError});
});
