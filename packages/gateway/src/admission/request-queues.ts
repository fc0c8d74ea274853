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
	/** Slots that became free since queued requests were last retried, by service. */
	readonly #freedSlots = new Map<string, number>();

	/** `defer` runs a callback after the closes of callers that have arrived are read, so that no request is sent for a caller that has left. */
	constructor(private readonly defer: (callback: () => void) => void) {}

	of(service: string): RequestQueue<ActiveRequest> {
		let queue = this.#queues.get(service);
		if (queue === undefined) {
			queue = new RequestQueue();
			this.#queues.set(service, queue);
		}

		return queue;
	}

	/** Retries placement of the first queued requests of a service soon, after a slot became free. */
	retryQueuedRequests(service: string): void {
		if (this.of(service).size === 0) {
			return;
		}

		const freedSlots = this.#freedSlots.get(service);
		this.#freedSlots.set(service, (freedSlots ?? 0) + 1);
		if (freedSlots === undefined) {
			this.defer(() => {
				this.#retry(service);
			});
		}
	}

	/** Retries placement of the first queued requests of each service, soon. */
	retryAllQueuedRequests(): void {
		for (const service of this.#queues.keys()) {
			this.retryQueuedRequests(service);
		}
	}

	#retry(service: string): void {
		const maxAttempts = maxAttemptsPerFreeSlot * this.#freedSlots.get(service)!;
		this.#freedSlots.delete(service);
		for (const request of this.of(service).snapshot().slice(0, maxAttempts)) {
			request.onSlotAvailable();
		}
	}
}
