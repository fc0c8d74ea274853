import {Buffer} from 'node:buffer';
import process from 'node:process';
import test from 'ava';
import {ByteBuffer} from './byte-buffer.js';

test('chunks are returned as one piece, and the buffer is empty afterwards', t => {
	const buffer = new ByteBuffer();
	for (const text of ['', 'a', 'bc', '', 'd'.repeat(3000), 'e']) {
		buffer.append(Buffer.from(text));
	}

	t.is(buffer.sizeBytes, 3004);
	t.is(buffer.take().toString(), `abc${'d'.repeat(3000)}e`);
	t.is(buffer.take().length, 0);
	buffer.append(Buffer.from('f'));
	t.is(buffer.take().toString(), 'f');
});

test('many chunks of one byte take little more memory than their bytes', t => {
	// Guards against a process that runs out of memory because each byte of a peer is kept as an object.
	const bufferCount = 24;
	const sizeBytes = 262_144;
	const usedBytes = () => {
		const {heapUsed, external} = process.memoryUsage();
		return heapUsed + external;
	};

	const before = usedBytes();
	const buffers = Array.from({length: bufferCount}, () => new ByteBuffer());
	for (const buffer of buffers) {
		for (let index = 0; index < sizeBytes; index++) {
			buffer.append(Buffer.from([index % 256]));
		}
	}

	t.true(usedBytes() - before < bufferCount * sizeBytes * 6, `${usedBytes() - before} bytes`);
	t.is(buffers[0].sizeBytes, sizeBytes);
});
