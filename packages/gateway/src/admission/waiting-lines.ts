import {WaitingLine, type QueuedItem} from './waiting-line.js';

/** A request that can be queued for a slot. */
export type QueuedRequest = QueuedItem & {
	/** Called when a slot may be free. */
	onRoom(): void;
};

/** A request in progress, queued or sent. */
export type ActiveRequest = QueuedRequest & {
	/** Aborts the request at shutdown. */
	abandon(): void;
};

/** Maximum number of queued requests of a service whose placement is retried when a slot becomes free. */
const maxAttemptsPerFreeSlot = 8;

/** Request queues by service. */
export class WaitingLines {
	readonly #queues = new Map<string, WaitingLine<ActiveRequest>>();

	of(service: string): WaitingLine<ActiveRequest> {
		let queue = this.#queues.get(service);
		if (queue === undefined) {
			queue = new WaitingLine();
			this.#queues.set(service, queue);
		}

		return queue;
	}

	/** Retries placement of the first queued requests of a service. */
	roomFor(service: string): void {
		let attempts = 0;
		for (const request of this.of(service).snapshot()) {
			if (attempts++ >= maxAttemptsPerFreeSlot) {
				return;
			}

			request.onRoom();
		}
	}

	/** Retries placement of the first queued requests of each service. */
	room(): void {
		for (const service of this.#queues.keys()) {
			this.roomFor(service);
		}
	}
}
