import {FescuewickError, ResultCode, sha256Hex} from '@fescuewick/core';
import {type ObjectStore} from '@fescuewick/store';
import {
	checkHead, hasCode, headKey, partKey, type ConfigurationHead, type LoadedConfiguration,
} from './head.js';
import {joinDocument} from './parts.js';

/** Maximum number of concurrent part reads; more would exhaust the store's rate limit in one burst. */
const maxConcurrentReads = 8;
/** Maximum number of head reads per load. A part can be missing only if the head was replaced during the load; the new head is then read. */
const maxHeadReads = 3;

/** Contents of parts, by hash. */
export type PartCache = Map<string, string>;

/** Reads the configuration in force; undefined before the first change. With a cache, only parts missing from it are read; afterwards it holds exactly the parts of this head. */
export async function loadConfiguration(store: ObjectStore, cache?: PartCache): Promise<LoadedConfiguration | undefined> {
	for (let attempt = 1; ; attempt++) {
		const object = await store.read(headKey);
		if (object === undefined) {
			return undefined;
		}

		const head = checkHead(object.value);
		try {
			return {head, version: object.version, document: joinDocument(await readParts(store, head, cache))};
		} catch (error) {
			if (attempt >= maxHeadReads || !hasCode(error, ResultCode.storeNotFound)) {
				throw error;
			}
		}
	}
}

/** Reads the contents of all parts of a head, by part name; throws `storeNotFound` or `storeMalformed`. */
export async function readParts(store: ObjectStore, head: ConfigurationHead, cache: PartCache = new Map()): Promise<Record<string, string>> {
	const contents: Record<string, string> = {};
	// The iterator is shared by the concurrent readers: each takes the next part from it.
	const pending = Object.entries(head.parts).values();
	const readPendingParts = async (): Promise<void> => {
		for (const [partName, hash] of pending) {
			contents[partName] = cache.get(hash) ?? await readPart(store, partName, hash);
		}
	};

	await Promise.all(Array.from({length: maxConcurrentReads}, async () => readPendingParts()));
	cache.clear();
	for (const [partName, hash] of Object.entries(head.parts)) {
		cache.set(hash, contents[partName]);
	}

	return contents;
}

async function readPart(store: ObjectStore, partName: string, hash: string): Promise<string> {
	const part = await store.read(partKey(hash));
	if (part === undefined) {
		throw new FescuewickError(ResultCode.storeNotFound, `configuration part ${partName} (${hash}) is missing`);
	}

	if (typeof part.value !== 'string' || sha256Hex(part.value) !== hash) {
		throw new FescuewickError(ResultCode.storeMalformed, `configuration part ${partName} (${hash}) does not match its hash`);
	}

	return part.value;
}
