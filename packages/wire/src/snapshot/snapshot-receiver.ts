import {FescuewickError, ResultCode} from '@fescuewick/core';
import {decodeBody} from '../frame-codec.js';
import {RowChange, type SnapshotBody, type SnapshotDeltaBody} from './snapshot-messages.js';
import {joinSnapshot, type SnapshotTables} from './snapshot-tables.js';

type Change = readonly [kind: RowChange, table: string, key: string, value: unknown];

/** Receiver's side of snapshots on one link; unchanged rows stay the same objects across updates. */
export class SnapshotReceiver {
	#tables: SnapshotTables = new Map();
	#pages: SnapshotDeltaBody[] = [];

	/** Buffers a page and, on the last page of an update, applies all of them and returns the snapshot. Throws `frameMalformed`. */
	receive(page: SnapshotDeltaBody): SnapshotBody | undefined {
		if (page.first) {
			this.#pages = [];
		}

		this.#pages.push(page);
		if (!page.last) {
			return undefined;
		}

		const pages = this.#pages;
		this.#pages = [];
		if (pages[0].whole) {
			this.#tables = new Map();
		}

		for (const {rows} of pages) {
			for (const row of rows) {
				this.#apply(decodeBody(row) as Change);
			}
		}

		return joinSnapshot(this.#tables);
	}

	#apply([kind, table, key, value]: Change): void {
		switch (kind) {
			case RowChange.set: {
				this.#rows(table).set(key, value);
				break;
			}

			case RowChange.remove: {
				this.#rows(table).delete(key);
				break;
			}

			case RowChange.addTable: {
				this.#tables.set(table, new Map());
				break;
			}

			case RowChange.dropTable: {
				this.#tables.delete(table);
				break;
			}

			default: {
				throw new FescuewickError(ResultCode.frameMalformed, `snapshot page has a change of unknown kind ${String(kind)}`);
			}
		}
	}

	#rows(table: string): Map<string, unknown> {
		const rows = this.#tables.get(table) ?? new Map<string, unknown>();
		this.#tables.set(table, rows);
		return rows;
	}
}
