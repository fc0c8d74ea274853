import {ResultCode, sha256Hex} from '@fescuewick/core';
import {absentVersion, type ObjectStore} from '@fescuewick/store';
import {
	checkHead, hasCode, headKey, type ConfigurationHead,
} from './head.js';

/** Default minimum time for which a part must have been unreferenced before it is removed, in milliseconds. */
export const defaultMinUnreferencedMs = 3_600_000;
/** Number of groups into which parts are divided by the first two hexadecimal digits of their hash; each call of `collectGarbage` handles one group. */
export const garbageGroupCount = 256;
/** Maximum number of parts removed by one call. */
export const maxRemovalsPerCall = 100;

/** A part that the head did not reference at the last collection, with the revision and time at which it was first seen unreferenced. */
type RemovalCandidate = {readonly version: number; readonly revision: number; readonly sinceMs: number};
type RemovalCandidates = Readonly<Record<string, RemovalCandidate>>;

/** Group to collect, wall-clock time, and minimum time without a reference (default `defaultMinUnreferencedMs`). */
export type GarbageOptions = {readonly group: number; readonly nowMs: number; readonly minUnreferencedMs?: number};
/** Number of parts that were removed, and of unreferenced parts of the group that remain candidates. */
export type GarbageResult = {readonly removed: number; readonly remainingCandidates: number};

/** Store key of the removal candidates of a group. */
export function garbageCandidatesKey(group: number): string {
	return `config/garbage/${groupPrefix(group)}`;
}

/** Group to collect after the change to a revision; over many revisions, every group is selected. */
export function garbageGroupOf(revision: number): number {
	// The revision is hashed because operators who make changes alternately would otherwise always select the same groups.
	return Number.parseInt(sha256Hex(String(revision)).slice(0, 2), 16);
}

/**
Removes unreferenced parts of one group.

A part is removed once it has been unreferenced, at the same store version, since before the oldest of the recent changes and for at least `minUnreferencedMs`. A client that references a part again rewrites it first, which changes its version and makes the conditional removal fail. This protection does not depend on synchronized clocks.
*/
export async function collectGarbage(store: ObjectStore, {group, nowMs, minUnreferencedMs = defaultMinUnreferencedMs}: GarbageOptions): Promise<GarbageResult> {
	const candidatesObject = await store.read(garbageCandidatesKey(group));
	const storedCandidates = (candidatesObject?.value ?? {}) as RemovalCandidates;
	const storedParts = await store.list(`config/parts/${groupPrefix(group)}`);
	// The head is read after the list, so a listed part that this head does not reference was unreferenced at its revision.
	const headObject = await store.read(headKey);
	if (headObject === undefined) {
		return {removed: 0, remainingCandidates: 0};
	}

	const head = checkHead(headObject.value);
	const candidates = updateCandidates(head, storedCandidates, storedParts.map(({key, version}) => ({hash: key.slice('config/parts/'.length), version})), nowMs);
	const oldestRecentRevision = head.recentChanges.at(-1)?.revision ?? head.revision;
	const removable = Object.entries(candidates)
		.filter(([, candidate]) => candidate.revision < oldestRecentRevision && nowMs - candidate.sinceMs >= minUnreferencedMs)
		.slice(0, maxRemovalsPerCall);
	let removed = 0;
	for (const [hash, {version}] of removable) {
		removed += await removePart(store, hash, version) ? 1 : 0;
	}

	const processed = new Set(removable.map(([hash]) => hash));
	const remaining = Object.fromEntries(Object.entries(candidates).filter(([hash]) => !processed.has(hash)));
	if (JSON.stringify(remaining) !== JSON.stringify(storedCandidates)) {
		await saveCandidates(store, group, remaining, candidatesObject?.version ?? absentVersion);
	}

	return {removed, remainingCandidates: Object.keys(remaining).length};
}

function updateCandidates(head: ConfigurationHead, storedCandidates: RemovalCandidates, storedParts: ReadonlyArray<{hash: string; version: number}>, nowMs: number): Record<string, RemovalCandidate> {
	const referencedHashes = new Set(Object.values(head.parts));
	const candidates: Record<string, RemovalCandidate> = {};
	for (const {hash, version} of storedParts) {
		if (referencedHashes.has(hash)) {
			continue;
		}

		const storedCandidate = storedCandidates[hash];
		candidates[hash] = storedCandidate?.version === version ? storedCandidate : {version, revision: head.revision, sinceMs: nowMs};
	}

	return candidates;
}

async function removePart(store: ObjectStore, hash: string, version: number): Promise<boolean> {
	try {
		await store.remove(`config/parts/${hash}`, version);
		return true;
	} catch (error) {
		if (hasCode(error, ResultCode.storeConflict)) {
			return false;
		}

		throw error;
	}
}

async function saveCandidates(store: ObjectStore, group: number, candidates: RemovalCandidates, expectedVersion: number): Promise<void> {
	try {
		await store.write(garbageCandidatesKey(group), candidates, expectedVersion);
	} catch (error) {
		// Another collector has written its candidates for the same group, which are equally valid.
		if (!hasCode(error, ResultCode.storeConflict)) {
			throw error;
		}
	}
}

function groupPrefix(group: number): string {
	return (group % garbageGroupCount).toString(16).padStart(2, '0');
}
