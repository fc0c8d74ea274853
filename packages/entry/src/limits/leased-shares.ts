import {type ShareHolder} from '@fescuewick/shares';
import {RateLimiter, type RateDecision} from './rate-limiter.js';
import {SlotGrants} from './slot-grants.js';

/** Limits request rates by the shares that are leased to this VM. */
export class LeasedRateLimiter extends RateLimiter {
	constructor(private readonly holder: ShareHolder) {
		super();
	}

	take(workspace: string): RateDecision {
		const retryAfterMs = this.holder.take(workspace);
		return {allowed: retryAfterMs === 0, retryAfterMs};
	}

	override hasShare(workspace: string): boolean {
		return this.holder.hasShare(workspace);
	}
}

/** Grants the slots and connections of the shares that are leased to this VM. */
export class LeasedSlotGrants extends SlotGrants {
	constructor(private readonly holder: ShareHolder) {
		super();
	}

	slots(server: string): number {
		return this.holder.slotsOf(server).slots;
	}

	connections(server: string): number {
		return this.holder.slotsOf(server).connections;
	}
}
