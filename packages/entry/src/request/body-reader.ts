import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {Readable} from 'node:stream';
import {FescuewickError, ResultCode, type TimerService} from '@fescuewick/core';
import {ByteBuffer} from './byte-buffer.js';
import {FramingAllowance} from './framing-allowance.js';

/** Body of a request: empty, buffered in memory, or streamed with only its beginning buffered. */
export type RequestBody = {
	/** Buffered bytes; the whole body if `stream` is undefined. */
	readonly buffered: Buffer;
	/** Stream of the whole body including `buffered`, if it exceeds the buffer limit; can be sent only once. */
	readonly stream: Readable | undefined;
	/** Declared length in bytes; undefined for a chunked body. */
	readonly lengthBytes: number | undefined;
};

/** Limits the memory for buffered bodies of all requests. */
export class BodyBufferBudget {
	#used = 0;

	constructor(private readonly limitBytes: number) {}

	get usedBytes(): number {
		return this.#used;
	}

	/** Reserves memory; returns false if the limit would be exceeded. */
	reserve(sizeBytes: number): boolean {
		if (this.#used + sizeBytes > this.limitBytes) {
			return false;
		}

		this.#used += sizeBytes;
		return true;
	}

	release(sizeBytes: number): void {
		this.#used -= sizeBytes;
	}
}

/** Limits for reading a body. */
export type BodyLimits = {readonly maxBodyBytes: number; readonly maxReplayBytes: number; readonly bodyTimeMs: number};

/** Allowance for the chunk sizes of a request's body, in bytes. */
const maxFramingBytes = 8192;
/** Least bytes that a chunk takes besides its content: a digit and two line ends. */
const minChunkFramingBytes = 5;

/** The empty body. */
export const noBody: RequestBody = {buffered: Buffer.alloc(0), stream: undefined, lengthBytes: 0};

/** Whether the headers of a request declare a body. */
export function hasBody({headers}: IncomingMessage): boolean {
	return headers['transfer-encoding'] !== undefined || (headers['content-length'] !== undefined && headers['content-length'] !== '0');
}

/** Throws `bodyTooLarge` if the declared length exceeds the limit. */
export function checkBodyLength({headers}: IncomingMessage, maxBodyBytes: number): void {
	if (Number(headers['content-length'] ?? 0) > maxBodyBytes) {
		throw new FescuewickError(ResultCode.bodyTooLarge, `the body is longer than ${maxBodyBytes} bytes`);
	}
}

/** Buffers a body up to the replay limit and leaves the rest as a stream; rejects with `requestTimeout`, `bodyTooLarge`, `malformedRequest` or `callerLeft`. */
export async function readBody(request: IncomingMessage, limits: BodyLimits, timers: TimerService): Promise<RequestBody> {
	checkBodyLength(request, limits.maxBodyBytes);
	const declared = request.headers['content-length'];
	const lengthBytes = declared === undefined ? undefined : Number(declared);
	const framing = new RequestFraming(request);
	const {buffered, complete} = await readBuffered(request, limits, timers, framing);
	return {buffered, stream: complete ? undefined : streamBody(request, buffered, limits.maxBodyBytes, framing), lengthBytes: complete ? buffered.length : lengthBytes};
}

/** Checks that a chunked body does not come in chunks of a few bytes without end. The bytes of its chunk sizes are estimated, because what the socket has received may hold the caller's next requests. */
export class RequestFraming {
	readonly #allowance = new FramingAllowance(maxFramingBytes);

	constructor(request: IncomingMessage) {
		if (request.headers['transfer-encoding'] === undefined) {
			return;
		}

		// Chunks are counted as the parser passes them on: a reader gets all that have arrived as one.
		const push = request.push.bind(request);
		request.push = (chunk: Buffer | null, ...parameters) => {
			if (chunk !== null) {
				this.#allowance.recordReceived(chunk.length + minChunkFramingBytes);
				this.#allowance.recordBody(chunk.length);
			}

			return push(chunk, ...parameters);
		};
	}

	/** Why the body must not be read any further; undefined while it may. */
	get problem(): string | undefined {
		return this.#allowance.problem;
	}
}

function malformedBody(problem: string): FescuewickError {
	return new FescuewickError(ResultCode.malformedRequest, `the body has ${problem}`);
}

async function readBuffered(request: IncomingMessage, {maxReplayBytes, bodyTimeMs}: BodyLimits, timers: TimerService, framing: RequestFraming): Promise<{buffered: Buffer; complete: boolean}> {
	return new Promise((resolve, reject) => {
		const content = new ByteBuffer();
		const finish = (settle: () => void) => {
			cancel();
			request.off('readable', onReadable);
			request.off('end', onEnd);
			request.off('close', onClose);
			request.off('error', onClose);
			settle();
		};

		const onReadable = () => {
			// Without a size, all chunks that have arrived are read as one.
			for (let chunk = request.read() as Buffer | null; chunk !== null; chunk = request.read() as Buffer | null) {
				content.append(chunk);
				const {problem} = framing;
				if (problem !== undefined) {
					finish(() => {
						reject(malformedBody(problem));
					});
					return;
				}

				if (content.sizeBytes > maxReplayBytes) {
					finish(() => {
						resolve({buffered: content.take(), complete: false});
					});
					return;
				}
			}
		};

		const onEnd = () => {
			finish(() => {
				resolve({buffered: content.take(), complete: true});
			});
		};

		const onClose = () => {
			finish(() => {
				reject(new FescuewickError(ResultCode.callerLeft, 'the request ended before its body was complete'));
			});
		};

		const cancel = timers.after(bodyTimeMs, () => {
			finish(() => {
				reject(new FescuewickError(ResultCode.requestTimeout, `the body did not arrive within ${bodyTimeMs} ms`));
			});
		});
		request.on('readable', onReadable);
		request.on('end', onEnd);
		request.on('close', onClose);
		request.on('error', onClose);
	});
}

/** Streams the buffered beginning and the rest with backpressure from the backend server. */
function streamBody(request: IncomingMessage, buffered: Buffer, maxBodyBytes: number, framing: RequestFraming): Readable {
	return Readable.from(bodyChunks(request, buffered, maxBodyBytes, framing), {objectMode: false, highWaterMark: 65_536});
}

async function * bodyChunks(request: IncomingMessage, buffered: Buffer, maxBodyBytes: number, framing: RequestFraming): AsyncGenerator<Buffer> {
	yield buffered;
	let sizeBytes = buffered.length;
	// A server may answer before it has read the whole body; this must not close the caller's connection.
	for await (const chunk of request.iterator({destroyOnReturn: false}) as AsyncIterable<Buffer>) {
		sizeBytes += chunk.length;
		const {problem} = framing;
		if (problem !== undefined) {
			throw malformedBody(problem);
		}

		if (sizeBytes > maxBodyBytes) {
			throw new FescuewickError(ResultCode.bodyTooLarge, `the body is longer than ${maxBodyBytes} bytes`);
		}

		yield chunk;
	}

	if (!request.complete) {
		throw new FescuewickError(ResultCode.callerLeft, 'the request ended before its body was complete');
	}
}
