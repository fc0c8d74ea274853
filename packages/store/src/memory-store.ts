import {Buffer} from 'node:buffer';
import {FescuewickError, ResultCode, type TimerService} from '@fescuewick/core';
import {maxValueBytes, ObjectStore, type StoredObject} from './object-store.js';

/** Faults that tests and the emulator inject into the store. */
export type StoreFaults = {
	/** Every call fails at once; nothing is written. */
	down: boolean;
	/** Delay of each call, in milliseconds. */
	slowMs: number;
	/** Number of next writes that take effect but whose answers are lost. */
	loseAnswers: number;
	/** Calls never get an answer, and nothing is written. */
	silent: boolean;
};

/** Counts of calls received since the start, failed ones included; a list counts as a read and a removal as a write. */
export type ReceivedCallCounts = {reads: number; writes: number; watches: number};

type Watcher = {key: string; wake: () => void};

/** An in-memory object store, used as a fake in tests and as the storage of the emulator. */
export class MemoryObjectStore extends ObjectStore {
	readonly faults: StoreFaults = {
		down: false, slowMs: 0, loseAnswers: 0, silent: false,
	};

	readonly calls: ReceivedCallCounts = {reads: 0, writes: 0, watches: 0};
	readonly #objects = new Map<string, StoredObject>();
	readonly #watchers = new Set<Watcher>();
	#version = 0;

	/** `answerTimeoutMs` is the time after which a call without an answer fails. */
	constructor(readonly timers: TimerService, readonly answerTimeoutMs = 1000) {
		super();
	}

	async read(key: string): Promise<StoredObject | undefined> {
		this.calls.reads++;
		await this.#applyFaults(ResultCode.storeTimeout);
		return structuredClone(this.#objects.get(key));
	}

	async list(prefix: string): Promise<StoredObject[]> {
		this.calls.reads++;
		await this.#applyFaults(ResultCode.storeTimeout);
		return [...this.#objects.values()]
			.filter(object => object.key.startsWith(prefix))
			.sort((a, b) => (a.key < b.key ? -1 : 1))
			.map(object => structuredClone(object));
	}

	async write(key: string, value: unknown, expectedVersion: number | undefined): Promise<number> {
		this.calls.writes++;
		const text = JSON.stringify(value);
		if (Buffer.byteLength(text) > maxValueBytes) {
			throw new FescuewickError(ResultCode.storeValueTooLarge, `value of ${key} is larger than ${maxValueBytes} bytes`);
		}

		await this.#applyFaults(ResultCode.storeOutcomeUnknown);
		this.#checkVersion(key, expectedVersion);
		const version = ++this.#version;
		this.#objects.set(key, {key, value: JSON.parse(text) as unknown, version});
		this.#notifyWatchers(key);
		await this.#applyAnswerLoss();
		return version;
	}

	async remove(key: string, expectedVersion: number | undefined): Promise<void> {
		this.calls.writes++;
		await this.#applyFaults(ResultCode.storeOutcomeUnknown);
		this.#checkVersion(key, expectedVersion);
		this.#objects.delete(key);
		this.#version++;
		this.#notifyWatchers(key);
		await this.#applyAnswerLoss();
	}

	async watch(key: string, knownVersion: number, waitMs: number, signal?: AbortSignal): Promise<StoredObject | undefined> {
		this.calls.watches++;
		await this.#applyFaults(ResultCode.storeTimeout);
		if (this.#versionOf(key) === knownVersion) {
			await this.#waitForChange(key, waitMs, signal);
			if (this.faults.down) {
				throw new FescuewickError(ResultCode.storeUnavailable, 'store is down');
			}
		}

		return this.#versionOf(key) === knownVersion ? undefined : structuredClone(this.#objects.get(key));
	}

	/** Ends the wait of all watches; they fail if `faults.down` is set. */
	wakeAll(): void {
		for (const watcher of this.#watchers) {
			watcher.wake();
		}
	}

	#versionOf(key: string): number {
		return this.#objects.get(key)?.version ?? 0;
	}

	#checkVersion(key: string, expectedVersion: number | undefined): void {
		const version = this.#versionOf(key);
		if (expectedVersion !== undefined && expectedVersion !== version) {
			throw new FescuewickError(ResultCode.storeConflict, `object ${key} has version ${version}, expected ${expectedVersion}`);
		}
	}

	#notifyWatchers(key: string): void {
		for (const watcher of this.#watchers) {
			if (watcher.key === key) {
				watcher.wake();
			}
		}
	}

	async #waitForChange(key: string, waitMs: number, signal: AbortSignal | undefined): Promise<void> {
		if (signal?.aborted) {
			return;
		}

		await new Promise<void>(resolve => {
			const watcher: Watcher = {
				key,
				wake: () => {
					this.#watchers.delete(watcher);
					cancel();
					signal?.removeEventListener('abort', watcher.wake);
					resolve();
				},
			};
			const cancel = this.timers.after(waitMs, watcher.wake);
			this.#watchers.add(watcher);
			signal?.addEventListener('abort', watcher.wake, {once: true});
		});
	}

	async #applyFaults(noAnswerCode: ResultCode): Promise<void> {
		if (this.faults.down) {
			throw new FescuewickError(ResultCode.storeUnavailable, 'store is down');
		}

		if (this.faults.silent) {
			await this.timers.sleep(this.answerTimeoutMs);
			throw new FescuewickError(noAnswerCode, 'store did not answer');
		}

		if (this.faults.slowMs > 0) {
			await this.timers.sleep(this.faults.slowMs);
		}
	}

	async #applyAnswerLoss(): Promise<void> {
		if (this.faults.loseAnswers > 0) {
			this.faults.loseAnswers--;
			await this.timers.sleep(this.answerTimeoutMs);
			throw new FescuewickError(ResultCode.storeOutcomeUnknown, 'answer of the store was lost');
		}
	}
}
