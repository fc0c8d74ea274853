import {randomUUID} from 'node:crypto';
import {
	FescuewickError, hashFraction, ResultCode, type TimerService,
} from '@fescuewick/core';
import {absentVersion, type ObjectStore} from '@fescuewick/store';
import {checkReferences, documentSchema, type ConfigurationDocument} from './document.js';
import {
	checkHead, emptyHead, hasCode, headKey, nextHead, partKey, type ConfigurationHead, type LoadedConfiguration,
} from './head.js';
import {loadConfiguration, type PartCache} from './load.js';
import {splitDocument} from './parts.js';

/** Author and summary of a change, its id (random by default), and how failed store calls are retried. */
export type ChangeInfo = {
	readonly author: string;
	readonly summary: string;
	readonly changeId?: string;
	/** Maximum number of store calls per write; default 5. */
	readonly maxAttempts?: number;
	/** With a timer service, retries use exponential backoff from about 100 ms; without one, they follow immediately. */
	readonly timers?: TimerService;
};

const initialBackoffMs = 100;
const maxBackoffMs = 2000;
const maxConcurrentWrites = 8;

/**
Replaces the configuration in force with `document` if the configuration in force is still `base`; resolves with the head in force, whose `recentChanges` contain the change.

Errors: `configurationInvalid`, `configurationConflict` (another change was accepted first, and this one will never be accepted), and the store's own codes. `storeOutcomeUnknown` is thrown only if the outcome could not be determined.
*/
export async function applyConfiguration(store: ObjectStore, base: LoadedConfiguration | undefined, document: ConfigurationDocument, info: ChangeInfo): Promise<ConfigurationHead> {
	const validDocument = validateDocument(document);
	const changeId = info.changeId ?? randomUUID();
	const {parts, contents} = splitDocument(validDocument);
	const baseHashes = new Set(Object.values(base?.head.parts ?? {}));
	// The iterator is shared by the concurrent writers: each takes the next part from it.
	const missingParts = [...contents].filter(([hash]) => !baseHashes.has(hash)).values();
	const writeMissingParts = async (): Promise<void> => {
		for (const [hash, content] of missingParts) {
			await writePart(store, {hash, content}, {...info, changeId});
		}
	};

	await Promise.all(Array.from({length: maxConcurrentWrites}, async () => writeMissingParts()));
	const {author, summary} = info;
	const head = nextHead(base?.head ?? emptyHead, parts, {changeId, author, summary});
	return writeHead(store, head, base?.version ?? absentVersion, info);
}

/** Function that returns an edited copy of the configuration in force, or its argument if there is nothing to change. */
export type ConfigurationEdit = (current: ConfigurationDocument) => ConfigurationDocument;

/** Result of an edit; if it changed nothing, `head` is the unchanged head. */
export type EditResult = {readonly head: ConfigurationHead; readonly before: ConfigurationDocument; readonly after: ConfigurationDocument; readonly changed: boolean};

const maxEditAttempts = 20;

/**
Applies an edit to the configuration in force. If another operator's change is accepted first, the edit is applied again to the new configuration.

Errors: those of the edit and of `applyConfiguration`; `objectUnknown` when there is no configuration.
*/
export async function editConfiguration(store: ObjectStore, edit: ConfigurationEdit, info: ChangeInfo): Promise<EditResult> {
	const changeId = info.changeId ?? randomUUID();
	const cache: PartCache = new Map();
	for (let attempt = 1; ; attempt++) {
		const base = await loadConfiguration(store, cache);
		if (base === undefined) {
			throw new FescuewickError(ResultCode.objectUnknown, 'there is no configuration yet; apply a file first');
		}

		const after = edit(base.document);
		if (after === base.document) {
			return {
				head: base.head, before: base.document, after, changed: false,
			};
		}

		try {
			const head = await applyConfiguration(store, base, after, {...info, changeId});
			return {
				head, before: base.document, after, changed: true,
			};
		} catch (error) {
			if (attempt >= maxEditAttempts || !hasCode(error, ResultCode.configurationConflict)) {
				throw error;
			}
		}

		await backOff(info.timers, attempt, changeId);
	}
}

function validateDocument(document: ConfigurationDocument): ConfigurationDocument {
	const result = documentSchema.safeParse(document);
	const problem = result.success ? [...checkReferences(result.data)].at(0) : result.error.issues[0];
	if (!result.success || problem !== undefined) {
		throw new FescuewickError(ResultCode.configurationInvalid, `${problem?.path.map(String).join('.') ?? ''}: ${problem?.message ?? ''}`);
	}

	return result.data;
}

async function writePart(store: ObjectStore, {hash, content}: {hash: string; content: string}, {maxAttempts = 5, timers, changeId = hash}: ChangeInfo): Promise<void> {
	for (let attempt = 1; ; attempt++) {
		try {
			// Parts are immutable and content-addressed, so writing one twice is harmless. A part that exists
			// is rewritten because the new version protects it from a concurrent garbage collection.
			await store.write(partKey(hash), content, undefined);
			return;
		} catch (error) {
			if (attempt >= maxAttempts || !hasCode(error, ResultCode.storeOutcomeUnknown)) {
				// A part has no effect until the head references it, so the change was not made.
				throw hasCode(error, ResultCode.storeOutcomeUnknown)
					? new FescuewickError(ResultCode.storeUnavailable, 'store did not answer; the change was not made', {cause: error})
					: error;
			}
		}

		await backOff(timers, attempt, changeId);
	}
}

async function writeHead(store: ObjectStore, head: ConfigurationHead, expectedVersion: number, {maxAttempts = 5, timers}: ChangeInfo): Promise<ConfigurationHead> {
	const {changeId} = head.recentChanges[0];
	let mayBeWritten = false;
	for (let attempt = 1; ; attempt++) {
		try {
			await store.write(headKey, head, expectedVersion);
			return head;
		} catch (error) {
			if (hasCode(error, ResultCode.storeConflict)) {
				return resolveConflict(store, head, mayBeWritten, {maxAttempts, timers});
			}

			// The write is conditional, so a retry after a lost answer cannot apply the change twice. Once an answer
			// was lost, a later failure does not show whether the earlier write took effect.
			mayBeWritten ||= !isCertainlyNotWritten(error);
			if (!mayBeWritten || attempt >= maxAttempts) {
				throw mayBeWritten ? outcomeUnknownError(error) : error;
			}
		}

		await backOff(timers, attempt, changeId);
	}
}

/** Determines which change was accepted as the revision of `newHead`. Returns the head in force if it was the change of `newHead`; otherwise throws. */
async function resolveConflict(store: ObjectStore, newHead: ConfigurationHead, mayBeWritten: boolean, {maxAttempts, timers}: {maxAttempts: number; timers?: TimerService}): Promise<ConfigurationHead> {
	const {changeId, revision} = newHead.recentChanges[0];
	for (let attempt = 1; ; attempt++) {
		try {
			const object = await store.read(headKey);
			const head = object === undefined ? emptyHead : checkHead(object.value);
			const accepted = head.recentChanges.find(change => change.revision === revision);
			if (accepted?.changeId === changeId) {
				return head;
			}

			if (accepted === undefined && mayBeWritten) {
				throw outcomeUnknownError(new Error(`revision ${revision} is no longer among the recent changes`));
			}

			throw conflictError(accepted === undefined ? `revision ${head.revision}` : `revision ${revision} by ${accepted.author}: ${accepted.summary}`);
		} catch (error) {
			if (hasCode(error, ResultCode.configurationConflict) || hasCode(error, ResultCode.storeOutcomeUnknown)) {
				throw error;
			}

			if (attempt >= maxAttempts) {
				throw mayBeWritten ? outcomeUnknownError(error) : conflictError('another revision, which could not be read');
			}
		}

		await backOff(timers, attempt, changeId);
	}
}

function conflictError(newerRevision: string): FescuewickError {
	return new FescuewickError(ResultCode.configurationConflict, `not accepted: the configuration changed to ${newerRevision}`);
}

function outcomeUnknownError(cause: unknown): FescuewickError {
	return new FescuewickError(ResultCode.storeOutcomeUnknown, 'the change may have been accepted; the outcome could not be read from the store', {cause});
}

function isCertainlyNotWritten(error: unknown): boolean {
	return hasCode(error, ResultCode.storeUnavailable) || hasCode(error, ResultCode.storeValueTooLarge);
}

/** Waits before a retry: exponential backoff with a jitter factor of 0.5 to 1.5 derived from the change id and the attempt, so that competing clients do not retry at the same time. */
async function backOff(timers: TimerService | undefined, attempt: number, changeId: string): Promise<void> {
	if (timers !== undefined) {
		const backoffMs = Math.min(maxBackoffMs, initialBackoffMs * (2 ** (attempt - 1)));
		await timers.sleep(backoffMs * (0.5 + hashFraction(`${changeId} ${attempt}`)));
	}
}
