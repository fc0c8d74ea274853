import {type Buffer} from 'node:buffer';
import {type BloomFilter} from '../claim-table/bloom-filter.js';
import {type Tail} from './tail.js';

/** Tail of the next write, and the changes to apply once the write took effect. */
export type TailDraft = {
	tail: Tail;
	/** Records of the tail before base64. */
	records: Buffer;
	readonly filters: Map<string, BloomFilter>;
	readonly segments: Map<string, Buffer>;
	readonly garbage: string[];
};

/** Creates an immutable object of the partition. */
export type CreateObject = (name: string, content: Buffer) => Promise<void>;
