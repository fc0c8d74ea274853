import {ObjectStore, type StoredObject} from './object-store.js';

/** Kinds of call to a store. */
export enum StoreCallKind {
	read = 'read',
	list = 'list',
	write = 'write',
	remove = 'remove',
	watch = 'watch',
}

/** A decorator of a store: every call goes through one method that the subclass implements. */
export abstract class StoreDecorator extends ObjectStore {
	constructor(protected readonly inner: ObjectStore) {
		super();
	}

	async read(key: string): Promise<StoredObject | undefined> {
		return this.intercept(StoreCallKind.read, async () => this.inner.read(key));
	}

	async list(prefix: string): Promise<StoredObject[]> {
		return this.intercept(StoreCallKind.list, async () => this.inner.list(prefix));
	}

	async write(key: string, value: unknown, expectedVersion: number | undefined): Promise<number> {
		return this.intercept(StoreCallKind.write, async () => this.inner.write(key, value, expectedVersion));
	}

	async remove(key: string, expectedVersion: number | undefined): Promise<void> {
		return this.intercept(StoreCallKind.remove, async () => this.inner.remove(key, expectedVersion));
	}

	async watch(key: string, knownVersion: number, waitMs: number, signal?: AbortSignal): Promise<StoredObject | undefined> {
		return this.intercept(StoreCallKind.watch, async () => signal?.aborted ? undefined : this.inner.watch(key, knownVersion, waitMs, signal), signal);
	}

	/** Executes a call, with the subclass's own steps before or after it; `signal` ends the wait of a watch. */
	protected abstract intercept<Value>(kind: StoreCallKind, call: () => Promise<Value>, signal?: AbortSignal): Promise<Value>;
}
