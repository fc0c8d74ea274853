import {Buffer} from 'node:buffer';
import {FescuewickError, ResultCode} from '@fescuewick/core';
import {type StoredAnswer} from '@fescuewick/wire';
import {z} from 'zod';

const count = z.number().int().nonnegative();

const tailSchema = z.strictObject({
	/** Id of the last batch, from which a writer recognises its own write after a lost response. */
	batch: z.string(),
	/** Highest record time; record times never decrease, whichever VM writes. */
	timeS: count,
	/** Latest generation that was moved into the filters. */
	expiredThrough: z.number().int(),
	/** Sealed segments in journal order. */
	segments: z.array(z.strictObject({name: z.string(), generation: count, sizeBytes: count})),
	/** Filters of expired orders; orders are added to the last one only. */
	filters: z.array(z.strictObject({name: z.string(), count})),
	/** The latest small answers, so that a repeat still gets the first answer after the owner has failed. */
	answers: z.array(z.strictObject({
		id: z.string(), status: count, headers: z.record(z.string(), z.string()), body: z.string(),
	})),
	/** Records that are not in a segment yet, base64. */
	records: z.string(),
});

const contentSchema = z.strictObject({content: z.string()});

/** Value of a partition's tail object. */
export type Tail = z.infer<typeof tailSchema>;
/** An answer as stored in the tail. */
export type TailAnswer = Tail['answers'][number];

/** Tail of a partition that was never written. */
export const emptyTail: Tail = {
	batch: '', timeS: 0, expiredThrough: -1, segments: [], filters: [], answers: [], records: '',
};

/** Checks a tail read from the store; throws `storeMalformed`. */
export function parseTail(value: unknown): Tail {
	const result = tailSchema.safeParse(value);
	if (!result.success) {
		throw new FescuewickError(ResultCode.storeMalformed, `journal tail is malformed: ${result.error.message}`);
	}

	return result.data;
}

/** The bytes of a segment or filter object; throws `storeMalformed`. */
export function parseContent(value: unknown): Buffer {
	const result = contentSchema.safeParse(value);
	if (!result.success) {
		throw new FescuewickError(ResultCode.storeMalformed, `journal object is malformed: ${result.error.message}`);
	}

	return Buffer.from(result.data.content, 'base64');
}

/** Converts an answer for the tail. */
export function toTailAnswer(id: string, {status, headers, body}: StoredAnswer): TailAnswer {
	return {
		id, status, headers: {...headers}, body: Buffer.from(body).toString('base64'),
	};
}

/** Converts an answer from the tail. */
export function fromTailAnswer({status, headers, body}: TailAnswer): StoredAnswer {
	return {status, headers, body: new Uint8Array(Buffer.from(body, 'base64'))};
}
