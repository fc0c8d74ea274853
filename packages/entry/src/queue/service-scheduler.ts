import {
	FescuewickError, ResultCode, type Cancel, type TimerService,
} from '@fescuewick/core';
import {type BackendLease, type BackendPool} from '../backends/backend-pool.js';
import {FairQueue, type QueueItem} from './fair-queue.js';

const sweepIntervalMs = 50;
const minRetryAfterMs = 100;
/** Leaves room for answers that take longer than the mean latency. */
const latencyMarginFactor = 1.5;
const maxRetryAfterMs = 5000;

/** A request for a backend slot. */
export type SlotRequest = QueueItem & {
	/** Deadline of the class, from the arrival of the request. */
	readonly deadlineMs: number;
	/** Longest time since the last answer on the connection; a new connection always qualifies. */
	readonly maxIdleMs?: number;
	/** Called when a slot is granted. */
	readonly onSlot: (lease: BackendLease) => void;
	/** Called instead of `onSlot` when the request is refused; it was not sent. */
	readonly onRefused: (error: FescuewickError) => void;
};

/** Assigns the free slots of one service's backend pool to queued requests by fair queueing. */
export class ServiceScheduler {
	readonly queue: FairQueue<SlotRequest>;
	readonly #cancel: Cancel;
	#isDispatching = false;

	constructor(
		readonly service: string,
		private readonly options: {
			readonly timers: TimerService;
			readonly pool: BackendPool;
			readonly maxQueuedRequests: number;
			readonly weightOf: (workspace: string) => number;
		},
	) {
		this.queue = new FairQueue(options.weightOf);
		this.#cancel = options.timers.repeat(sweepIntervalMs, () => {
			this.sweep();
		});
	}

	get pool(): BackendPool {
		return this.options.pool;
	}

	/** Queues a request, or refuses it at once if it cannot be answered within its deadline. */
	submit(request: SlotRequest): void {
		if (this.queue.size === 0 && !this.#isDispatching && this.#canMeetDeadline(request, 0)) {
			const lease = this.pool.pick();
			if (lease !== undefined) {
				this.#grantSlot(request, lease);
				return;
			}
		}

		const admissionError = this.#admissionError(request);
		if (admissionError !== undefined) {
			request.onRefused(admissionError);
			return;
		}

		this.queue.add(request);
		this.dispatch();
	}

	/** Removes a request from the queue; returns whether it was still queued. */
	remove(request: SlotRequest): boolean {
		return this.queue.remove(request);
	}

	/** Assigns free slots; must be called whenever a slot, a grant or a server becomes available. */
	dispatch(): void {
		// `onSlot` can release its slot synchronously, which calls this method again.
		if (this.#isDispatching) {
			return;
		}

		this.#isDispatching = true;
		try {
			while (this.queue.size > 0) {
				const lease = this.pool.pick();
				if (lease === undefined) {
					break;
				}

				this.#assignNext(lease);
			}
		} finally {
			this.#isDispatching = false;
		}
	}

	/** Refuses queued requests that can no longer be answered within their deadline. */
	sweep(): void {
		this.dispatch();
		const slotIntervalMs = this.#slotIntervalMs();
		for (const workspace of this.queue.workspaces()) {
			const serviceFraction = this.queue.serviceFractionOf(workspace);
			let position = 0;
			for (const item of this.queue.itemsOf(workspace)) {
				if (this.#canMeetDeadline(item, position * slotIntervalMs / serviceFraction)) {
					position++;
				} else if (this.queue.remove(item)) {
					item.onRefused(this.#deadlineError(position * slotIntervalMs / serviceFraction));
				}
			}
		}
	}

	/** Refuses all queued requests. */
	stop(): void {
		this.#cancel();
		for (let item = this.queue.take(); item !== undefined; item = this.queue.take()) {
			item.onRefused(new FescuewickError(ResultCode.draining, 'the VM is shutting down'));
		}
	}

	/** Mean time between two released slots in milliseconds; infinite without usable slots. */
	#slotIntervalMs(): number {
		const slots = this.pool.usableSlots();
		return slots === 0 ? Number.POSITIVE_INFINITY : this.pool.latencyMs() / slots;
	}

	#assignNext(lease: BackendLease): void {
		const request = this.#dequeueInTime();
		if (request === undefined) {
			this.pool.releaseUnused(lease);
			return;
		}

		this.#grantSlot(request, lease);
	}

	#grantSlot(request: SlotRequest, lease: BackendLease): void {
		if (request.maxIdleMs === undefined || lease.connection.lastAnswerAtMs === undefined || this.options.timers.nowMs() - lease.connection.lastAnswerAtMs <= request.maxIdleMs) {
			request.onSlot(lease);
			return;
		}

		// Even the server's most recently used connection was idle for too long, so a new one replaces it.
		request.onSlot({...lease, connection: lease.backend.connections.replaceUnused(lease.connection)});
	}

	/** Dequeues the next request that can be answered within its deadline; refuses those before it. */
	#dequeueInTime(): SlotRequest | undefined {
		let request = this.queue.take();
		while (request !== undefined && !this.#canMeetDeadline(request, 0)) {
			request.onRefused(this.#deadlineError(0));
			request = this.queue.take();
		}

		return request;
	}

	#admissionError(request: SlotRequest): FescuewickError | undefined {
		if (this.pool.usableSlots() === 0) {
			return new FescuewickError(ResultCode.noBackend, 'no backend server of the service can take the request', {retryAfterMs: 1000});
		}

		const queuedCount = this.queue.sizeOf(request.workspace);
		if (queuedCount >= this.options.maxQueuedRequests) {
			const waitMs = queuedCount * this.#slotIntervalMs() / this.queue.serviceFractionOf(request.workspace);
			return new FescuewickError(ResultCode.queueFull, 'the queue of the workspace is full', {retryAfterMs: this.#retryAfterMs(waitMs)});
		}

		if (this.queue.size === 0) {
			return this.#canMeetDeadline(request, 0) ? undefined : this.#deadlineError(0);
		}

		const waitMs = positionOf(this.queue.itemsOf(request.workspace), request) * this.#slotIntervalMs() / this.queue.serviceFractionOf(request.workspace);
		return this.#canMeetDeadline(request, waitMs) ? undefined : this.#deadlineError(waitMs);
	}

	#canMeetDeadline(item: SlotRequest, waitMs: number): boolean {
		const remainingMs = item.deadlineAtMs - this.options.timers.nowMs();
		// Capped at half of the deadline: a latency estimate that is too high would otherwise refuse every request and never be corrected.
		const serviceMs = Math.min(this.pool.latencyMs() * latencyMarginFactor, item.deadlineMs / 2);
		return waitMs + serviceMs < remainingMs;
	}

	#deadlineError(waitMs: number): FescuewickError {
		return new FescuewickError(ResultCode.deadlineUnreachable, 'the request cannot be answered within its deadline', {retryAfterMs: this.#retryAfterMs(waitMs)});
	}

	#retryAfterMs(waitMs: number): number {
		return Math.round(Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, waitMs)));
	}
}

function positionOf(items: readonly SlotRequest[], request: SlotRequest): number {
	let position = 0;
	while (position < items.length && items[position].dueAtMs <= request.dueAtMs) {
		position++;
	}

	return position;
}
