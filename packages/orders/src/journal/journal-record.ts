import {Buffer} from 'node:buffer';
import {type ClaimantDigest, type OrderId} from '../order-key/order-id.js';

/** Kinds of journal record; the numbers are part of the stored format. */
export enum RecordKind {
	claim = 1,
	done = 2,
	release = 3,
	/** The order ended without a complete answer. */
	unknown = 4,
}

/** Kinds of record that end a claim. */
export type EndKind = Exclude<RecordKind, RecordKind.claim>;

/** Stored kind of a claim record that ends with a content hash. */
const claimWithContentHash = 5;

/** A state change of an order. Records are applied in journal sequence, and the last record of an order decides. */
export type JournalRecord = {
	readonly kind: RecordKind;
	readonly words: OrderId['words'];
	readonly claimant: ClaimantDigest;
	/** Seconds since the epoch, never lower than in an earlier record. */
	readonly timeS: number;
	/** Hash of the claimed request's content; 0 if it is not compared, and in records of other kinds. */
	readonly contentHash: number;
};

/** Size of an encoded record without content hash. */
export const recordBytes = 29;
const contentHashBytes = 4;

/** Encodes records in the stored binary format, without separators. */
export function encodeRecords(records: readonly JournalRecord[]): Buffer {
	const bytes = Buffer.alloc(records.reduce((sum, record) => sum + recordBytes + (hasContentHash(record) ? contentHashBytes : 0), 0));
	let offset = 0;
	for (const record of records) {
		const {kind, words, claimant, timeS, contentHash} = record;
		const withContent = hasContentHash(record);
		offset = bytes.writeUInt8(withContent ? claimWithContentHash : kind, offset);
		for (const word of [...words, ...claimant, timeS, ...(withContent ? [contentHash] : [])]) {
			offset = bytes.writeUInt32BE(word, offset);
		}
	}

	return bytes;
}

/** Decodes a sequence of records; throws a RangeError if it is truncated or has an unknown kind. */
export function * decodeRecords(bytes: Buffer): Generator<JournalRecord> {
	let offset = 0;
	while (offset < bytes.length) {
		const storedKind = bytes.readUInt8(offset);
		const withContent = storedKind === claimWithContentHash;
		if (!withContent && RecordKind[storedKind] === undefined) {
			throw new RangeError(`journal record at byte ${offset} has unknown kind ${storedKind}`);
		}

		const sizeBytes = recordBytes + (withContent ? contentHashBytes : 0);
		if (offset + sizeBytes > bytes.length) {
			throw new RangeError(`journal record at byte ${offset} of ${bytes.length} is truncated`);
		}

		const wordsOffset = offset + 1;
		const word = (index: number) => bytes.readUInt32BE(wordsOffset + (index * 4));
		yield {
			kind: withContent ? RecordKind.claim : storedKind,
			words: [word(0), word(1), word(2), word(3)],
			claimant: [word(4), word(5)],
			timeS: word(6),
			contentHash: withContent ? word(7) : 0,
		};
		offset += sizeBytes;
	}
}

function hasContentHash({kind, contentHash}: JournalRecord): boolean {
	return kind === RecordKind.claim && contentHash !== 0;
}
