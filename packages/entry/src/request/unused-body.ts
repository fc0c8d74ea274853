import {type Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {type TimerService} from '@fescuewick/core';
import {RequestFraming} from './body-reader.js';

/** Longest rest of a body that is read although its request is answered, in bytes. */
const maxUnusedBytes = 16_777_216;
/** Longest time for which the rest of a body is read although its request is answered, in milliseconds. */
const maxUnusedMs = 20_000;

/**
Reads and drops the rest of a body whose request is answered, because the next request on the connection is read only behind it.

Calls `onExcess` with the reason, instead of reading on, if the rest is too long, takes too long or comes in chunks of a few bytes.
*/
export function dropUnusedBody(request: IncomingMessage, timers: TimerService, onExcess: (reason: string) => void): void {
	if (request.destroyed || (request.complete && request.readableLength === 0)) {
		return;
	}

	const framing = new RequestFraming(request);
	let sizeBytes = 0;
	const stop = () => {
		cancel();
		request.off('readable', drop);
		request.off('end', stop);
		request.off('close', stop);
	};

	const exceed = (reason: string) => {
		stop();
		onExcess(reason);
	};

	const drop = () => {
		for (let chunk = request.read() as Buffer | null; chunk !== null; chunk = request.read() as Buffer | null) {
			sizeBytes += chunk.length;
		}

		if (framing.problem !== undefined) {
			exceed(`the rest of the body has ${framing.problem}`);
		} else if (sizeBytes > maxUnusedBytes) {
			exceed(`the rest of the body is longer than ${maxUnusedBytes} bytes`);
		}
	};

	const cancel = timers.after(maxUnusedMs, () => {
		exceed(`the rest of the body did not arrive within ${maxUnusedMs} ms`);
	});
	request.on('readable', drop);
	request.on('end', stop);
	request.on('close', stop);
	// A reader that has stopped may have left data, of which no event tells.
	drop();
}
