import {incarnationId, type TimerService} from '@fescuewick/core';
import {MemberState, type Member, type PeerNetwork} from '@fescuewick/membership';
import {MessageType} from '@fescuewick/wire';

/** Maximum number of concurrent requests; a revocation is sent to a large fleet in batches. */
const maxConcurrentRequests = 32;
const requestTimeoutMs = 1000;
const retryDelayMs = 500;
/** Members that have not confirmed within this time are not sent the revocation again; they get it when peers whose sets of revoked keys differ exchange them. */
const propagationTimeoutMs = 600_000;

/** Whether a member is known to hold a revocation. */
export type Confirmation = {readonly vm: string; readonly state: MemberState; readonly confirmed: boolean};

/** Sends revocations to every member and records which members have confirmed them. */
export class RevocationPropagator {
	readonly #peers: PeerNetwork;
	readonly #timers: TimerService;
	/** Incarnations that are known to hold a hash, by hash. */
	readonly #confirmed = new Map<string, Set<string>>();
	#stopped = false;

	constructor(peers: PeerNetwork, timers: TimerService) {
		this.#peers = peers;
		this.#timers = timers;
	}

	/** Records that an incarnation holds the hashes; hashes that are not being propagated are ignored. */
	recordConfirmation(hashes: Iterable<string>, incarnation: string): void {
		for (const hash of hashes) {
			this.#confirmed.get(hash)?.add(incarnation);
		}
	}

	/** State of a hash at each member; `holdsSameSet` returns whether a member is known to hold the same set as this node. */
	confirmationsOf(hash: string, isHeld: boolean, holdsSameSet: (member: Member) => boolean): Confirmation[] {
		const confirmed = this.#confirmed.get(hash);
		return this.#peers.members().map(member => ({
			vm: member.record.vm,
			state: member.state,
			confirmed: member.record.vm === this.#peers.self.vm
				? isHeld
				: isHeld && (holdsSameSet(member) || (member.incarnation !== undefined && confirmed?.has(incarnationId(member.incarnation)) === true)),
		}));
	}

	/** Sends the hashes to every member until all members that are not dead have confirmed them. */
	async propagate(hashes: readonly string[]): Promise<void> {
		for (const hash of hashes) {
			this.#confirmed.set(hash, this.#confirmed.get(hash) ?? new Set());
		}

		const endMs = this.#timers.nowMs() + propagationTimeoutMs;
		while (!this.#stopped && this.#timers.nowMs() < endMs) {
			const unconfirmed = this.#unconfirmedMembers(hashes);
			for (let index = 0; index < unconfirmed.length; index += maxConcurrentRequests) {
				await Promise.all(unconfirmed.slice(index, index + maxConcurrentRequests).map(async member => this.#sendTo(member, hashes)));
			}

			if (this.#unconfirmedMembers(hashes).length === 0) {
				return;
			}

			await this.#timers.sleep(retryDelayMs);
		}
	}

	stop(): void {
		this.#stopped = true;
	}

	#unconfirmedMembers(hashes: readonly string[]): Member[] {
		return this.#peers.members().filter(member => member.record.vm !== this.#peers.self.vm && member.state !== MemberState.dead
			&& !hashes.every(hash => member.incarnation !== undefined && this.#confirmed.get(hash)?.has(incarnationId(member.incarnation))));
	}

	async #sendTo(member: Member, keyHashes: readonly string[]): Promise<void> {
		try {
			await this.#peers.request(member.record.vm, MessageType.revocations, {keyHashes}, requestTimeoutMs);
			const incarnation = this.#peers.member(member.record.vm)?.incarnation;
			if (incarnation !== undefined) {
				this.recordConfirmation(keyHashes, incarnationId(incarnation));
			}
		} catch {
			// The member stays unconfirmed, and the request is repeated.
		}
	}
}
