import {incarnationId, type TimerService} from '@fescuewick/core';
import {MemberState, type PeerNetwork} from '@fescuewick/membership';
import {MessageType} from '@fescuewick/wire';
import {takeoverWaitMs} from '../limits.js';
import {type FenceRegister} from './fence-register.js';

/** Request timeout for the fence at one VM. */
export const fenceTimeoutMs = 400;
const fenceRetryMs = 200;

/** Options of a takeover. */
export type TakeoverOptions = {
	readonly peers: PeerNetwork;
	readonly timers: TimerService;
	readonly register: FenceRegister;
	/** Returns false once the takeover was cancelled. */
	readonly isActive: () => boolean;
	/** VM that handed the bucket over and no longer grants from it; it is not fenced. */
	readonly stoppedVm?: string;
};

/** Result of fencing the earlier allocators of a bucket. */
export type FenceResult = {
	/** False if the takeover was cancelled, or a VM knows of a newer claim or of another claim with the same epoch. */
	readonly accepted: boolean;
	/** Whether another VM claims the bucket with the same epoch. */
	readonly tied: boolean;
	/** Whether every VM answered and none knew of an earlier allocator; false after a handover. */
	readonly first: boolean;
	/** Highest earlier epoch known to any VM. */
	readonly previousEpoch: number;
	/** VMs that were assumed to be stopped without an answer. */
	readonly unfencedVms: ReadonlySet<string>;
};

/**
Fences a bucket: makes every VM of the failure domain stop allocating it under older epochs.

A VM that is dead, or that does not answer for `takeoverWaitMs` while this VM is running, is assumed to be stopped: inside a failure domain, VMs either die or pause, and a paused VM steps down when it resumes.
*/
export async function fenceBucket(options: TakeoverOptions, bucket: number, epoch: number): Promise<FenceResult> {
	const {peers, timers, register, isActive} = options;
	const claimant = incarnationId(peers.incarnation);
	const startedAtMs = timers.nowMs();
	const unfencedVms = new Set<string>();
	const done = new Set(options.stoppedVm === undefined ? [] : [options.stoppedVm]);
	let first = options.stoppedVm === undefined;
	const own = register.accept({bucket, epoch}, claimant);
	if (!own.accepted) {
		return {
			accepted: false, tied: false, first: false, previousEpoch: epoch, unfencedVms,
		};
	}

	let {previousEpoch} = own;
	first &&= own.previousEpoch === 0;
	while (isActive()) {
		const waiting = peers.members().filter(({record}) => record.failureDomain === peers.self.failureDomain && record.vm !== peers.self.vm && !done.has(record.vm));
		for (const {record, state} of waiting) {
			if (state === MemberState.dead || timers.nowMs() - startedAtMs >= takeoverWaitMs) {
				done.add(record.vm);
				unfencedVms.add(record.vm);
				first = false;
			}
		}

		const open = waiting.filter(({record}) => !done.has(record.vm));
		const replies = await Promise.allSettled(open.map(async ({record}) => {
			const reply = await peers.request(record.vm, MessageType.shareRequest, {
				holder: claimant, epoch, demands: [], fence: {bucket, epoch},
			}, fenceTimeoutMs);
			return {vm: record.vm, epoch: reply.epoch};
		}));
		for (const reply of replies) {
			if (reply.status === 'rejected') {
				continue;
			}

			if (reply.value.epoch >= epoch) {
				register.record(bucket, reply.value.epoch);
				return {
					accepted: false, tied: reply.value.epoch === epoch, first: false, previousEpoch: epoch, unfencedVms,
				};
			}

			previousEpoch = Math.max(previousEpoch, reply.value.epoch);
			first &&= reply.value.epoch === 0;
			done.add(reply.value.vm);
		}

		if (waiting.every(({record}) => done.has(record.vm))) {
			return {
				accepted: true, tied: false, first, previousEpoch, unfencedVms,
			};
		}

		await timers.sleep(fenceRetryMs);
	}

	return {
		accepted: false, tied: false, first: false, previousEpoch: epoch, unfencedVms,
	};
}
