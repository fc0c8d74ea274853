import {RequestQueue, type QueuedItem} from './request-queue.js';

/** A request that can be queued for a slot. */
export type QueuedRequest = QueuedItem & {
	/** Called when a slot may be free. */
	onSlotAvailable(): void;
};

/** A request in progress, queued or sent. */
export type ActiveRequest = QueuedRequest & {
	/** Aborts the request at shutdown. */
	abort(): void;
};

/** Maximum number of queued requests of a service whose placement is retried when a slot becomes free. */
const maxAttemptsPerFreeSlot = 8;

/** Request queues by service. */
export class RequestQueues {
	readonly #queues = new Map<string, RequestQueue<ActiveRequest>>();

	of(service: string): RequestQueue<ActiveRequest> {
		let queue = this.#queues.get(service);
		if (queue === undefined) {
			queue = new RequestQueue();
			this.#queues.set(service, queue);
		}

		return queue;
	}

	/** Retries placement of the first queued requests of a service. */
	retryQueuedRequests(service: string): void {
		let attempts = 0;
		for (const request of this.of(service).snapshot()) {
			if (attempts++ >= maxAttemptsPerFreeSlot) {
				return;
			}

			request.onSlotAvailable();
		}
	}

	/** Retries placement of the first queued requests of each service. */
	retryAllQueuedRequests(): void {
		for (const service of this.#queues.keys()) {
			this.retryQueuedRequests(service);
		}
	}
}
