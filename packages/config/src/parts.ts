import {
	FescuewickError, hash64, ResultCode, sha256Hex,
} from '@fescuewick/core';
import {
	entryName, sortEntries, type ListEntry, type ListName,
} from './canonical.js';
import {documentSchema, type ConfigurationDocument} from './document.js';

/** Names of the document's top-level lists. Each list is stored as one part, except that workspaces and keys are stored as several parts if they exceed `maxPartEntries`. */
export const listNames = ['classes', 'services', 'workspaces', 'keys', 'drains', 'shiftCaps'] as const;

/**
Maximum number of entries in one part of a list that is stored in several parts.

A change sends one part and the head to every node. With 4,000 keys, a limit of 64 entries gives about 90 parts of at most 16 KB, each with an entry of about 80 bytes in the head; with a lower limit, the head would become larger than the part.
*/
export const maxPartEntries = 64;

const splittableLists: ReadonlySet<ListName> = new Set(['workspaces', 'keys']);
const maxHashPrefixBits = 32;

/** Parts of a document: `parts` holds the SHA-256 content hashes by part name, `contents` the contents by content hash. */
export type SplitParts = {parts: Record<string, string>; contents: Map<string, string>};

/**
Splits a document into content-addressed parts.

A long list of workspaces or keys is divided by the leading bits of the hash of the entry's name. The division thus depends only on the set of entries, and a change of one entry usually replaces only one part. Part `keys/01` holds the keys whose hash starts with the bits 01.
*/
export function splitDocument(document: ConfigurationDocument): SplitParts {
	const parts: Record<string, string> = {};
	const contents = new Map<string, string>();
	for (const list of listNames) {
		for (const {partName, entries} of splitList(list, document[list])) {
			const content = JSON.stringify(entries);
			const hash = sha256Hex(content);
			parts[partName] = hash;
			contents.set(hash, content);
		}
	}

	return {parts, contents};
}

/** Joins part contents, given by part name, into a document and validates it against the schema; throws `configurationInvalid`. */
export function joinDocument(contents: Readonly<Record<string, string>>): ConfigurationDocument {
	const raw: Partial<Record<ListName, unknown[]>> = {};
	const joinedLists = new Set<ListName>();
	for (const [partName, content] of Object.entries(contents)) {
		const list = listOfPart(partName);
		if (partName !== list) {
			joinedLists.add(list);
		}

		raw[list] = [...raw[list] ?? [], ...parsePart(partName, content)];
	}

	const result = documentSchema.safeParse(raw);
	if (!result.success) {
		throw new FescuewickError(ResultCode.configurationInvalid, `stored configuration is not valid: ${result.error.issues[0]?.message ?? ''}`);
	}

	const document = result.data;
	return {
		...document,
		workspaces: joinedLists.has('workspaces') ? sortEntries('workspaces', document.workspaces) : document.workspaces,
		keys: joinedLists.has('keys') ? sortEntries('keys', document.keys) : document.keys,
	};
}

function parsePart(partName: string, content: string): unknown[] {
	try {
		return JSON.parse(content) as unknown[];
	} catch (error) {
		throw new FescuewickError(ResultCode.configurationInvalid, `stored configuration part ${partName} is not valid JSON`, {cause: error});
	}
}

/** Whether a part name is valid: a list name or, for lists that may be stored in several parts, a list name with hash bits as in `keys/01`. */
export function isPartName(partName: string): boolean {
	const [list, hashPrefix, ...rest] = partName.split('/');
	return (listNames as readonly string[]).includes(list) && rest.length === 0
		&& (hashPrefix === undefined || (splittableLists.has(list as ListName) && /^[01]+$/.test(hashPrefix)));
}

function listOfPart(partName: string): ListName {
	const list = partName.split('/')[0];
	if (!isPartName(partName)) {
		throw new FescuewickError(ResultCode.configurationInvalid, `stored configuration has a part with invalid name ${partName}`);
	}

	return list as ListName;
}

type ListPart = {readonly partName: string; readonly entries: readonly ListEntry[]};
type HashedEntry = {readonly entry: ListEntry; readonly nameHash: bigint};

function * splitList(list: ListName, entries: readonly ListEntry[]): Generator<ListPart> {
	if (entries.length <= maxPartEntries || !splittableLists.has(list)) {
		yield {partName: list, entries};
		return;
	}

	const hashedEntries = sortEntries(list, entries).map(entry => ({entry, nameHash: hash64(entryName(list, entry))}));
	yield * splitByHashPrefix(list, hashedEntries, '');
}

function * splitByHashPrefix(list: ListName, hashedEntries: readonly HashedEntry[], hashPrefix: string): Generator<ListPart> {
	if (hashedEntries.length <= maxPartEntries || hashPrefix.length >= maxHashPrefixBits) {
		if (hashedEntries.length > 0) {
			yield {partName: `${list}/${hashPrefix}`, entries: hashedEntries.map(({entry}) => entry)};
		}

		return;
	}

	const shift = BigInt(63 - hashPrefix.length);
	const [zeros, ones]: [HashedEntry[], HashedEntry[]] = [[], []];
	for (const item of hashedEntries) {
		// eslint-disable-next-line no-bitwise -- entries are divided by single bits of the hash
		(((item.nameHash >> shift) & 1n) === 0n ? zeros : ones).push(item);
	}

	yield * splitByHashPrefix(list, zeros, `${hashPrefix}0`);
	yield * splitByHashPrefix(list, ones, `${hashPrefix}1`);
}
