import {FescuewickError, ResultCode} from '@fescuewick/core';
import {type ConfigurationDocument} from './document.js';

/** Store key of the configuration head. */
export const headKey = 'config/head';
/** Maximum number of recent changes in the head. A client whose write was not answered searches them for its own change. */
export const maxRecentChanges = 64;
/** Maximum length of author and summary in a change record, in characters; limited because the head is sent to every node with each change. */
export const maxRecordTextLength = 120;

/** One accepted change. */
export type ChangeRecord = {
	readonly changeId: string;
	readonly revision: number;
	readonly author: string;
	readonly summary: string;
};

/** Head of the configuration: the revision in force and the hashes of its parts, by part name. */
export type ConfigurationHead = {
	readonly revision: number;
	readonly parts: Readonly<Record<string, string>>;
	readonly recentChanges: readonly ChangeRecord[];
};

/** A configuration as read from the store. */
export type LoadedConfiguration = {
	readonly head: ConfigurationHead;
	/** Store version of the head, for conditional writes. */
	readonly version: number;
	readonly document: ConfigurationDocument;
};

/** Head before the first change. */
export const emptyHead: ConfigurationHead = {revision: 0, parts: {}, recentChanges: []};

/** Store key of a part. */
export function partKey(hash: string): string {
	return `config/parts/${hash}`;
}

/** Returns the head that follows `previous`, with the change first among its recent changes. */
export function nextHead(previous: ConfigurationHead, parts: Readonly<Record<string, string>>, change: Omit<ChangeRecord, 'revision'>): ConfigurationHead {
	const revision = previous.revision + 1;
	const record: ChangeRecord = {
		changeId: change.changeId,
		revision,
		author: sanitizeRecordText(change.author),
		summary: sanitizeRecordText(change.summary),
	};
	return {revision, parts, recentChanges: [record, ...previous.recentChanges].slice(0, maxRecentChanges)};
}

/** Replaces control characters, because records are printed on other operators' terminals, and truncates the text. */
function sanitizeRecordText(text: string): string {
	return text.replaceAll(/\p{Cc}/gu, ' ').slice(0, maxRecordTextLength);
}

/** Checks the shape of a stored head; throws `storeMalformed`. */
export function checkHead(value: unknown): ConfigurationHead {
	const head = value as Partial<ConfigurationHead> | undefined;
	if (!Number.isSafeInteger(head?.revision) || typeof head?.parts !== 'object' || head.parts === null || !Array.isArray(head.recentChanges)) {
		throw new FescuewickError(ResultCode.storeMalformed, `object ${headKey} is not a configuration head`);
	}

	return head as ConfigurationHead;
}

/** Whether an error is a `FescuewickError` with this code. */
export function hasCode(error: unknown, code: ResultCode): boolean {
	return error instanceof FescuewickError && error.code === code;
}

/** Difference between the heads of two revisions; much smaller than the head when the document is large. */
export type HeadDelta = {
	readonly fromRevision: number;
	readonly revision: number;
	/** Hashes of the parts that differ, by part name; undefined for a removed part. */
	readonly parts: Readonly<Record<string, string | undefined>>;
	/** Changes accepted after `fromRevision`, newest first. */
	readonly changes: readonly ChangeRecord[];
};

/** Returns the delta from one head to a later one. */
export function diffHeads(from: ConfigurationHead, to: ConfigurationHead): HeadDelta {
	const partNames = new Set([...Object.keys(from.parts), ...Object.keys(to.parts)]);
	const changedPartNames = [...partNames].filter(partName => from.parts[partName] !== to.parts[partName]);
	return {
		fromRevision: from.revision,
		revision: to.revision,
		parts: Object.fromEntries(changedPartNames.map(partName => [partName, to.parts[partName]])),
		changes: to.recentChanges.filter(change => change.revision > from.revision),
	};
}

/** Applies a delta to a head; undefined if the delta starts from another revision, in which case the complete head is needed. */
export function patchHead(head: ConfigurationHead, delta: HeadDelta): ConfigurationHead | undefined {
	if (head.revision !== delta.fromRevision) {
		return undefined;
	}

	const parts = Object.entries({...head.parts, ...delta.parts}).filter((entry): entry is [string, string] => entry[1] !== undefined);
	return {
		revision: delta.revision,
		parts: Object.fromEntries(parts),
		recentChanges: [...delta.changes, ...head.recentChanges].slice(0, maxRecentChanges),
	};
}
