import {type Buffer} from 'node:buffer';
import {type Readable} from 'node:stream';
import {FescuewickError, type ResultCode} from '@fescuewick/core';
import {ByteBuffer} from './byte-buffer.js';

/** Reads a body of at most `maxBytes`; a longer one fails with `code` and is not read any further. */
export async function readBounded(body: Readable, maxBytes: number, code: ResultCode): Promise<Buffer> {
	const content = new ByteBuffer();
	for await (const chunk of body as AsyncIterable<Buffer>) {
		if (content.sizeBytes + chunk.length > maxBytes) {
			throw new FescuewickError(code, `the answer is longer than ${maxBytes} bytes`);
		}

		content.append(chunk);
	}

	return content.take();
}
