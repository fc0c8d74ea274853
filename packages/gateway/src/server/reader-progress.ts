import {type Socket} from 'node:net';
import {type TimerService} from '@fescuewick/core';

/** Measures for how long the reader of a socket has taken nothing of what was written to it. */
export class ReaderProgress {
	#flushedBytes = 0;
	#queuedBytes = 0;
	#atMs: number;

	constructor(private readonly socket: Socket, private readonly timers: TimerService) {
		this.#atMs = timers.nowMs();
	}

	/** Time since the reader took something as far as `check` has noticed, in milliseconds; 0 if nothing waits for it. */
	get stalledMs(): number {
		return this.socket.destroyed || this.socket.writableLength === 0 ? 0 : this.timers.nowMs() - this.#atMs;
	}

	/** To be called regularly. */
	check(): void {
		const {bytesWritten, writableLength} = this.socket;
		const flushedBytes = bytesWritten - writableLength;
		// Of a write that the system has taken in part, only the handle knows how much is left.

		const queuedBytes = (this.socket as Socket & {readonly _handle?: {readonly writeQueueSize?: number}})._handle?.writeQueueSize ?? 0;
		if (writableLength === 0 || flushedBytes !== this.#flushedBytes || queuedBytes !== this.#queuedBytes) {
			this.#flushedBytes = flushedBytes;
			this.#queuedBytes = queuedBytes;
			this.#atMs = this.timers.nowMs();
		}
	}
}
