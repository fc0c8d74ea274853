import {FescuewickError, ResultCode} from '@fescuewick/core';
import {canonicalDocument, entryName, type ListName} from './canonical.js';
import {
	checkReferences, documentSchema, type ConfigurationDocument, type DrainSettings, type KeySettings, type ShiftCapSettings,
} from './document.js';

/** Returns an edited copy of a document; throws `objectUnknown` or `configurationInvalid`. */
export type Edit = (document: ConfigurationDocument) => ConfigurationDocument;

/** Adds a key; throws `objectUnknown` for an unknown workspace, `configurationInvalid` for a duplicate id. */
export function issueKey(document: ConfigurationDocument, key: KeySettings): ConfigurationDocument {
	requireEntry(document, 'workspaces', key.workspace, 'workspace');
	if (hasEntry(document, 'keys', key.id)) {
		throw new FescuewickError(ResultCode.configurationInvalid, `key id ${key.id} is in use`);
	}

	return validateAndCanonicalize({...document, keys: [...document.keys, key]});
}

/** Removes a key; throws `objectUnknown` if there is none with this id. */
export function withdrawKey(document: ConfigurationDocument, id: string): ConfigurationDocument {
	requireEntry(document, 'keys', id, 'key');
	return validateAndCanonicalize({...document, keys: document.keys.filter(key => key.id !== id)});
}

/** Drains a failure domain, VM or backend server; returns the same document if it is already drained. */
export function addDrain(document: ConfigurationDocument, drain: DrainSettings): ConfigurationDocument {
	return hasEntry(document, 'drains', entryName('drains', drain)) ? document : validateAndCanonicalize({...document, drains: [...document.drains, drain]});
}

/** Ends a drain; throws `objectUnknown` if there is none. */
export function removeDrain(document: ConfigurationDocument, drain: DrainSettings): ConfigurationDocument {
	const name = entryName('drains', drain);
	requireEntry(document, 'drains', name, 'drain');
	return validateAndCanonicalize({...document, drains: document.drains.filter(entry => entryName('drains', entry) !== name)});
}

/** Sets the shift cap of a service; throws `objectUnknown` for an unknown service. */
export function setShiftCap(document: ConfigurationDocument, cap: ShiftCapSettings): ConfigurationDocument {
	requireEntry(document, 'services', cap.service, 'service');
	return validateAndCanonicalize({...document, shiftCaps: [...document.shiftCaps.filter(entry => entry.service !== cap.service), cap]});
}

/** Removes the shift cap of a service; throws `objectUnknown` if there is none. */
export function removeShiftCap(document: ConfigurationDocument, service: string): ConfigurationDocument {
	requireEntry(document, 'shiftCaps', service, 'shift cap for service');
	return validateAndCanonicalize({...document, shiftCaps: document.shiftCaps.filter(entry => entry.service !== service)});
}

/** Sets the rate (requests per second) and, if given, the burst (requests) of a workspace; throws `objectUnknown` for an unknown workspace. */
export function setWorkspaceRate(document: ConfigurationDocument, name: string, {ratePerS, burst}: {ratePerS: number; burst?: number}): ConfigurationDocument {
	requireEntry(document, 'workspaces', name, 'workspace');
	const workspaces = document.workspaces.map(entry => (entry.name === name ? {...entry, ratePerS, burst: burst ?? entry.burst} : entry));
	return validateAndCanonicalize({...document, workspaces});
}

function hasEntry(document: ConfigurationDocument, list: ListName, name: string): boolean {
	return document[list].some(entry => entryName(list, entry) === name);
}

function requireEntry(document: ConfigurationDocument, list: ListName, name: string, noun: string): void {
	if (!hasEntry(document, list, name)) {
		throw new FescuewickError(ResultCode.objectUnknown, `${noun} ${name} does not exist`);
	}
}

function validateAndCanonicalize(document: ConfigurationDocument): ConfigurationDocument {
	const result = documentSchema.safeParse(document);
	const problem = result.success ? [...checkReferences(result.data)].at(0) : result.error.issues[0];
	if (problem !== undefined) {
		throw new FescuewickError(ResultCode.configurationInvalid, `${problem.path.map(String).join('.')}: ${problem.message}`);
	}

	return canonicalDocument(document);
}
