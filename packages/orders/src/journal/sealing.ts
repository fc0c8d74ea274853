import {Buffer} from 'node:buffer';
import {type JournalOptions} from './journal-options.js';
import {type Tail} from './tail.js';
import {type CreateObject, type TailDraft} from './tail-draft.js';

type Sealing = {
	readonly name: string;
	readonly generation: number;
	/** No further segment of the generation follows, so that small ones are merged in any case. */
	readonly isGenerationEnd: boolean;
	/** Contents of the small segments of the tail. */
	readonly small: ReadonlyMap<string, Buffer>;
	readonly options: Pick<JournalOptions, 'mergeBytes' | 'maxSegmentBytes'>;
};

/** Moves the draft's records into a segment, together with the small segments before it if these are worth a large one. */
export async function sealTail(draft: TailDraft, sealing: Sealing, create: CreateObject): Promise<void> {
	const {tail, records} = draft;
	const merged = segmentsToMerge(tail, records.length, sealing);
	const kept = tail.segments.slice(0, tail.segments.length - merged.length);
	const content = Buffer.concat([...merged.map(({name}) => sealing.small.get(name)!), records]);
	const name = `segment-${sealing.name}`;
	await create(name, content);
	draft.segments.set(name, content);
	draft.garbage.push(...merged.map(segment => segment.name));
	draft.records = Buffer.alloc(0);
	draft.tail = {...tail, segments: [...kept, {name, generation: sealing.generation, sizeBytes: content.length}]};
}

function segmentsToMerge({segments}: Tail, tailBytes: number, {generation, isGenerationEnd, small, options}: Sealing): Tail['segments'] {
	let sizeBytes = tailBytes;
	let first = segments.length;
	while (first > 0) {
		const segment = segments[first - 1];
		if (segment.generation !== generation || !small.has(segment.name) || sizeBytes + segment.sizeBytes > options.maxSegmentBytes) {
			break;
		}

		sizeBytes += segment.sizeBytes;
		first--;
	}

	return isGenerationEnd || sizeBytes >= options.mergeBytes ? segments.slice(first) : [];
}
