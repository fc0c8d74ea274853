import {type Cancel, type TimerService} from '@fescuewick/core';
import {maxQueueWaitMs} from '../admission/admission.js';
import {type RequestQueue} from '../admission/request-queue.js';
import {type ActiveRequest} from '../admission/request-queues.js';
import {type AdmittedRequest} from './admitted-request.js';
import {type ForwardingContext} from './forwarding-context.js';

/** Longest time that a request may wait for a slot, in milliseconds; 0 or less if it cannot be served before its deadline. */
export function slotWaitLimitMs({service, route, arrivedAtMs, deadlineAtMs}: AdmittedRequest, {queues, placer, latency, timers}: ForwardingContext, priority: number, expectedMs: number): number {
	const nowMs = timers.nowMs();
	const serviceMs = latency.typicalMs(service, route.targetMs / 2);
	return maxQueueWaitMs({
		ahead: queues.of(service).countAhead(priority),
		slots: placer.slotsInRegion(service, serviceMs),
		serviceMs,
		expectedMs,
		targetMs: Math.max(0, route.targetMs - (nowMs - arrivedAtMs)),
		timeLeftMs: deadlineAtMs - nowMs,
	});
}

/** A request's wait in the queue of its service. */
export class SlotWait {
	/** Time spent in the queue in completed waits, in milliseconds. */
	waitedMs = 0;
	#leaveQueue: Cancel | undefined;

	constructor(private readonly request: ActiveRequest, private readonly queue: RequestQueue<ActiveRequest>, private readonly timers: TimerService) {}

	get isWaiting(): boolean {
		return this.#leaveQueue !== undefined;
	}

	/** Enters the queue for at most `waitMs`. */
	begin(waitMs: number, onTimeout: () => void): void {
		const enqueuedAtMs = this.timers.nowMs();
		this.queue.add(this.request);
		const cancel = this.timers.after(waitMs, () => {
			this.end();
			onTimeout();
		});
		this.#leaveQueue = () => {
			cancel();
			this.queue.remove(this.request);
			this.waitedMs += this.timers.nowMs() - enqueuedAtMs;
		};
	}

	/** Leaves the queue; has no effect if the request is not in it. */
	end(): void {
		const leaveQueue = this.#leaveQueue;
		this.#leaveQueue = undefined;
		leaveQueue?.();
	}
}
