import {Buffer} from 'node:buffer';
import {type JournalOptions} from './journal-options.js';
import {type Tail} from './tail.js';
import {type CreateObject, type TailDraft} from './tail-draft.js';

type SealParameters = {
	readonly name: string;
	readonly generation: number;
	/** True if no further segment of the generation follows; small segments are then merged even below the minimum size. */
	readonly isGenerationEnd: boolean;
	/** Contents of the small segments of the tail. */
	readonly smallSegments: ReadonlyMap<string, Buffer>;
	readonly options: Pick<JournalOptions, 'minMergedBytes' | 'maxSegmentBytes'>;
};

/** Moves the draft's records into a new segment, merged with preceding small segments if the total reaches the minimum size or the generation ends. */
export async function sealTail(draft: TailDraft, sealing: SealParameters, create: CreateObject): Promise<void> {
	const {tail, records} = draft;
	const merged = segmentsToMerge(tail, records.length, sealing);
	const kept = tail.segments.slice(0, tail.segments.length - merged.length);
	const content = Buffer.concat([...merged.map(({name}) => sealing.smallSegments.get(name)!), records]);
	const name = `segment-${sealing.name}`;
	await create(name, content);
	draft.segments.set(name, content);
	draft.garbage.push(...merged.map(segment => segment.name));
	draft.records = Buffer.alloc(0);
	draft.tail = {...tail, segments: [...kept, {name, generation: sealing.generation, sizeBytes: content.length}]};
}

function segmentsToMerge({segments}: Tail, tailSizeBytes: number, {generation, isGenerationEnd, smallSegments, options}: SealParameters): Tail['segments'] {
	let sizeBytes = tailSizeBytes;
	let first = segments.length;
	while (first > 0) {
		const segment = segments[first - 1];
		if (segment.generation !== generation || !smallSegments.has(segment.name) || sizeBytes + segment.sizeBytes > options.maxSegmentBytes) {
			break;
		}

		sizeBytes += segment.sizeBytes;
		first--;
	}

	return isGenerationEnd || sizeBytes >= options.minMergedBytes ? segments.slice(first) : [];
}
