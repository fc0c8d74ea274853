import {type Buffer} from 'node:buffer';
import {isDeepStrictEqual} from 'node:util';
import {encodeBody} from '../frame-codec.js';
import {RowChange, type SnapshotBody, type SnapshotDeltaBody} from './snapshot-messages.js';
import {splitSnapshot} from './snapshot-tables.js';

/** A quarter of the frame limit, so that heartbeats do not queue behind a long page. */
const maxPageBytes = 256 * 1024;

type EncodedRow = {readonly value: unknown; readonly bytes: Buffer};
type EncodedTables = Map<string, Map<string, EncodedRow>>;

/** Sender's side of snapshots: caches the last one, encoded row by row, and returns pages of the changed rows. */
export class SnapshotFeed {
	#tables: EncodedTables | undefined;

	/** Stores a new snapshot and returns the pages that update a receiver of the previous one; none if nothing changed. */
	update(snapshot: SnapshotBody): SnapshotDeltaBody[] {
		const before = this.#tables;
		this.#tables = encodeTables(snapshot, before);
		return before === undefined ? this.fullPages() : paginate(diffTables(before, this.#tables), false);
	}

	/** Pages of the full last snapshot, for a receiver that holds none; empty before the first `update`. */
	fullPages(): SnapshotDeltaBody[] {
		return this.#tables === undefined ? [] : paginate(diffTables(new Map(), this.#tables), true);
	}
}

/** Pages of one full snapshot, for senders that cache none. */
export function fullSnapshotPages(snapshot: SnapshotBody): SnapshotDeltaBody[] {
	return new SnapshotFeed().update(snapshot);
}

/** Reuses the encoded form of unchanged rows: comparing a row costs less than encoding it again. */
function encodeTables(snapshot: SnapshotBody, before: EncodedTables | undefined): EncodedTables {
	const tables: EncodedTables = new Map();
	for (const [table, rows] of splitSnapshot(snapshot)) {
		const rowsBefore = before?.get(table);
		const encodedRows = new Map<string, EncodedRow>();
		for (const [key, value] of rows) {
			const rowBefore = rowsBefore?.get(key);
			const isUnchanged = rowBefore !== undefined && isDeepStrictEqual(rowBefore.value, value);
			encodedRows.set(key, isUnchanged ? rowBefore : {value, bytes: encodeBody([RowChange.set, table, key, value])});
		}

		tables.set(table, encodedRows);
	}

	return tables;
}

function * diffTables(before: EncodedTables, after: EncodedTables): Generator<Uint8Array> {
	for (const [table, rows] of before) {
		const rowsAfter = after.get(table);
		if (rowsAfter === undefined) {
			yield encodeBody([RowChange.dropTable, table]);
			continue;
		}

		for (const key of rows.keys()) {
			if (!rowsAfter.has(key)) {
				yield encodeBody([RowChange.remove, table, key]);
			}
		}
	}

	for (const [table, rows] of after) {
		const rowsBefore = before.get(table);
		if (rowsBefore === undefined && rows.size === 0) {
			yield encodeBody([RowChange.addTable, table]);
		}

		for (const [key, row] of rows) {
			if (rowsBefore?.get(key) !== row) {
				yield row.bytes;
			}
		}
	}
}

function paginate(rows: Iterable<Uint8Array>, isFull: boolean): SnapshotDeltaBody[] {
	const pages: Uint8Array[][] = [];
	let sizeBytes = 0;
	for (const row of rows) {
		if (pages.length === 0 || sizeBytes + row.length > maxPageBytes) {
			pages.push([]);
			sizeBytes = 0;
		}

		pages.at(-1)!.push(row);
		sizeBytes += row.length;
	}

	return pages.map((page, index) => ({
		whole: isFull, first: index === 0, last: index === pages.length - 1, rows: page,
	}));
}
