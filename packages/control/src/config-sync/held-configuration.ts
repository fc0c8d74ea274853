import {type Buffer} from 'node:buffer';
import {FescuewickError, ResultCode, sha256Hex} from '@fescuewick/core';
import {
	emptyHead, isPartName, joinDocument, type ConfigurationDocument, type ConfigurationHead,
} from '@fescuewick/config';

/** Validates a head from the store or a peer; throws `configurationUnreadable`. */
export function parseHead(value: unknown): ConfigurationHead {
	const {revision, parts, recentChanges} = (value ?? {}) as Partial<ConfigurationHead>;
	const isValid = Number.isSafeInteger(revision) && revision! >= 0 && typeof parts === 'object' && parts !== null && Array.isArray(recentChanges)
		&& Object.entries(parts).every(([name, hash]) => isPartName(name) && typeof hash === 'string' && /^[\da-f]{64}$/.test(hash));
	if (!isValid) {
		throw new FescuewickError(ResultCode.configurationUnreadable, 'head of the configuration is malformed');
	}

	return {revision: revision!, parts, recentChanges};
}

/** Highest accepted configuration that a node holds, with the contents of its parts. */
export class HeldConfiguration {
	#head: ConfigurationHead = emptyHead;
	#document: ConfigurationDocument | undefined;
	#contents = new Map<string, Buffer>();

	get head(): ConfigurationHead {
		return this.#head;
	}

	get revision(): number {
		return this.#head.revision;
	}

	/** Undefined before the first configuration. */
	get document(): ConfigurationDocument | undefined {
		return this.#document;
	}

	content(hash: string): Buffer | undefined {
		return this.#contents.get(hash);
	}

	/** Whether a head may replace the held one: only a higher revision may. */
	accepts(head: ConfigurationHead): boolean {
		return head.revision > this.#head.revision;
	}

	/** Hashes of the parts of `head` that are not held. */
	missingHashes(head: ConfigurationHead): string[] {
		return [...new Set(Object.values(head.parts))].filter(hash => !this.#contents.has(hash));
	}

	/** Whether a head refers to the same parts as the held one. */
	hasSamePartsAs(head: ConfigurationHead): boolean {
		const names = new Set([...Object.keys(head.parts), ...Object.keys(this.#head.parts)]);
		return [...names].every(name => head.parts[name] === this.#head.parts[name]);
	}

	/**
	Replaces the configuration by a higher revision; for any other revision, returns false and keeps the held configuration.

	Throws `configurationUnreadable` if a part is missing or does not match its hash, and `configurationInvalid` if the parts do not form a document.
	*/
	adopt(head: ConfigurationHead, fetched: ReadonlyMap<string, Buffer>): boolean {
		if (!this.accepts(head)) {
			return false;
		}

		const contents = new Map<string, Buffer>();
		const texts: Record<string, string> = {};
		for (const [name, hash] of Object.entries(head.parts)) {
			const content = this.#contents.get(hash) ?? fetched.get(hash);
			if (content === undefined) {
				throw new FescuewickError(ResultCode.configurationUnreadable, `configuration part ${name} (${hash}) of revision ${head.revision} is missing`);
			}

			texts[name] = content.toString('utf8');
			if (!this.#contents.has(hash) && sha256Hex(texts[name]) !== hash) {
				throw new FescuewickError(ResultCode.configurationUnreadable, `configuration part ${name} of revision ${head.revision} does not match its hash ${hash}`);
			}

			contents.set(hash, content);
		}

		const document = parseDocument(texts, head.revision);
		this.#head = head;
		this.#contents = contents;
		this.#document = document;
		return true;
	}
}

function parseDocument(texts: Readonly<Record<string, string>>, revision: number): ConfigurationDocument {
	try {
		return joinDocument(texts);
	} catch (error) {
		throw new FescuewickError(ResultCode.configurationInvalid, `parts of configuration revision ${revision} do not form a valid document`, {cause: error});
	}
}
