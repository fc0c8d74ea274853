import {type TimerService} from '@fescuewick/core';
import {BackendState, type BackendRecord} from '../model/records.js';

/** How long a removed record is remembered, in milliseconds. A copy from which the store is restored is some seconds old; the store may be away for as long again. */
const memoryMs = 60_000;

/** Records of backend servers whose entries were removed, with which the entries in a copy of the store are compared. */
export class DepartedBackends {
	readonly #removed = new Map<string, {readonly record: BackendRecord; readonly atMs: number}>();

	constructor(private readonly timers: TimerService) {}

	/** Remembers the last record of a server whose entry was removed. */
	add(record: BackendRecord): void {
		const nowMs = this.timers.nowMs();
		for (const [id, {atMs}] of this.#removed) {
			if (nowMs - atMs > memoryMs) {
				this.#removed.delete(id);
			}
		}

		this.#removed.set(record.id, {record, atMs: nowMs});
	}

	/** Forgets a server that has registered again. */
	delete(id: string): void {
		this.#removed.delete(id);
	}

	/** Whether a record from a copy of the store shows a server as it was before it left, drained, restarted or wrote its record again; `known` is the record in use, if any. */
	isOutdated(listed: BackendRecord, known: BackendRecord | undefined): boolean {
		const removed = this.#removed.get(listed.id);
		const isRemembered = removed !== undefined && this.timers.nowMs() - removed.atMs <= memoryMs;
		const last = isRemembered ? removed.record : known;
		if (last === undefined || listed.startedAtMs > last.startedAtMs) {
			return false;
		}

		const writtenLater = (listed.sequence ?? 0) - (last.sequence ?? 0);
		if (listed.startedAtMs < last.startedAtMs || writtenLater < 0) {
			return true;
		}

		const isBackInUse = isRemembered || (last.state === BackendState.draining && listed.state === BackendState.ready);
		return isBackInUse && writtenLater === 0;
	}
}
