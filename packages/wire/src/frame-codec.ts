import {Buffer} from 'node:buffer';
import {Decoder, Encoder} from 'cbor-x';
import {FescuewickError, ResultCode} from '@fescuewick/core';
import {fieldNumbers} from './field-names.js';
import {MessageType} from './messages.js';

/** Maximum length of a frame without its length prefix. */
export const maxFrameBytes = 1024 * 1024;

const headerBytes = 4;
// Records are a cbor-x extension that needs shared state per connection; plain maps keep frames self-contained.
const encoder = new Encoder({
	useRecords: false, mapsAsObjects: true, tagUint8Array: false, keyMap: {...fieldNumbers},
});
const decoder = new Decoder({useRecords: false, mapsAsObjects: true, keyMap: {...fieldNumbers}});

/** A decoded frame; `id` matches an answer to its request and is 0 for one-way messages. */
export type Frame = {readonly type: MessageType; readonly id: number; readonly body: unknown};

/** Encodes a frame with its length prefix; throws `frameTooLarge`. */
export function encodeFrame(type: MessageType, id: number, body: unknown): Buffer {
	const payload = encoder.encode([type, id, body]);
	if (payload.length > maxFrameBytes) {
		throw new FescuewickError(ResultCode.frameTooLarge, `frame of type ${MessageType[type]} has ${payload.length} bytes, the limit is ${maxFrameBytes}`);
	}

	const frame = Buffer.allocUnsafe(headerBytes + payload.length);
	frame.writeUInt32BE(payload.length, 0);
	payload.copy(frame, headerBytes);
	return frame;
}

/** Encodes a value that is embedded as bytes in a frame. */
export function encodeBody(value: unknown): Buffer {
	return encoder.encode(value);
}

/** Decodes a value encoded by `encodeBody`; throws `frameMalformed`. */
export function decodeBody(bytes: Uint8Array): unknown {
	try {
		return decoder.decode(bytes);
	} catch (error) {
		throw new FescuewickError(ResultCode.frameMalformed, 'value in a frame is not valid CBOR', {cause: error});
	}
}

/** Splits a byte stream into frames. */
export class FrameDecoder {
	#chunks: Buffer[] = [];
	#sizeBytes = 0;

	/** Adds received bytes and yields the frames they complete; throws `frameTooLarge` or `frameMalformed`. */
	* push(chunk: Buffer): Generator<Frame, void> {
		this.#chunks.push(chunk);
		this.#sizeBytes += chunk.length;
		while (this.#sizeBytes >= headerBytes) {
			const length = this.#peekPayloadBytes();
			if (length > maxFrameBytes) {
				throw new FescuewickError(ResultCode.frameTooLarge, `frame announces ${length} bytes, the limit is ${maxFrameBytes}`);
			}

			if (this.#sizeBytes < headerBytes + length) {
				return;
			}

			yield decodePayload(this.#consume(headerBytes + length).subarray(headerBytes));
		}
	}

	#peekPayloadBytes(): number {
		if (this.#chunks[0].length < headerBytes) {
			this.#chunks = [Buffer.concat(this.#chunks)];
		}

		return this.#chunks[0].readUInt32BE(0);
	}

	#consume(byteCount: number): Buffer {
		const buffered = this.#chunks.length === 1 ? this.#chunks[0] : Buffer.concat(this.#chunks);
		this.#sizeBytes -= byteCount;
		this.#chunks = this.#sizeBytes === 0 ? [] : [buffered.subarray(byteCount)];
		return buffered.subarray(0, byteCount);
	}
}

function decodePayload(payload: Buffer): Frame {
	let value: unknown;
	try {
		value = decoder.decode(payload);
	} catch (error) {
		throw new FescuewickError(ResultCode.frameMalformed, 'frame is not valid CBOR', {cause: error});
	}

	if (!Array.isArray(value) || value.length !== 3 || typeof value[0] !== 'number' || typeof value[1] !== 'number') {
		throw new FescuewickError(ResultCode.frameMalformed, 'frame is not an array of type, id and body');
	}

	const [type, id, body] = value as [number, number, unknown];
	if (MessageType[type] === undefined) {
		throw new FescuewickError(ResultCode.messageUnknown, `frame has unknown type ${type}`);
	}

	return {type, id, body};
}
