import {type Buffer} from 'node:buffer';
import {type Socket} from 'node:net';
import {buildConnector} from 'undici';
import {FramingAllowance} from '../request/framing-allowance.js';

/** Bytes that are handed to the HTTP client's parser at a time. It works through all of them also after it has found that a head is too long. */
const maxReadBytes = 4096;

/** Makes the HTTP client read a socket in small pieces, and none once the socket is destroyed; destroys the socket when the answer exceeds its allowance. */
export function boundReads(socket: Socket, allowance: FramingAllowance): void {
	const read = socket.read.bind(socket) as (sizeBytes?: number) => Buffer | null;
	socket.read = sizeBytes => {
		if (socket.destroyed) {
			return null;
		}

		// The stream reads zero bytes of itself to have its buffer filled, and drops what such a read returns.
		if (sizeBytes === 0) {
			return read(0);
		}

		// What the parser made of the earlier pieces is known by now.
		const {problem} = allowance;
		if (problem !== undefined) {
			socket.destroy(new Error(`the server sent ${problem}`));
			return null;
		}

		const piece = socket.readableLength > maxReadBytes ? read(maxReadBytes) : read();
		allowance.recordReceived(piece?.length ?? 0);
		return piece;
	};
}

/** Creates a connector for connections that carry one short answer each, of at most `maxAnswerBytes` with its head. */
export function shortAnswerConnector({connectTimeoutMs, maxAnswerBytes}: {readonly connectTimeoutMs: number; readonly maxAnswerBytes: number}): buildConnector.connector {
	const connector = buildConnector({timeout: connectTimeoutMs});
	return (options, callback) => {
		connector(options, (...result) => {
			const [error, socket] = result;
			if (error === null) {
				boundReads(socket, new FramingAllowance(maxAnswerBytes));
			}

			callback(...result);
		});
	};
}
