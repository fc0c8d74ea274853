import {incarnationId, type TimerService} from '@fescuewick/core';
import {
	MemberState, type PeerNetwork, type Random, type Sender,
} from '@fescuewick/membership';
import {type HeartbeatBody} from '@fescuewick/wire';

/** Observations of a peer are used for this long, which is longer than a link may be silent. */
const observationTtlMs = 2500;
/** A peer that delivered no valid configuration is not selected as a source for this time. */
const quarantineMs = 2000;

/** What is known of a peer from its messages. */
type PeerObservation = {
	revision: number;
	incarnation: string | undefined;
	observedAtMs: number;
	/** Latest time at which the peer, or a node whose confirmation it received, is known to have had contact with the store. */
	storeContactAtMs: number;
	quarantinedUntilMs: number;
};

/** Revisions and contacts with the store that peers report. */
export class PeerRevisions {
	readonly #peers: PeerNetwork;
	readonly #timers: TimerService;
	readonly #observations = new Map<string, PeerObservation>();

	constructor(peers: PeerNetwork, timers: TimerService) {
		this.#peers = peers;
		this.#timers = timers;
	}

	/** Records a heartbeat. */
	recordHeartbeat(from: Sender, body: HeartbeatBody): void {
		const nowMs = this.#timers.nowMs();
		const observation = this.#observationOf(from.vm);
		const incarnation = incarnationId(from.incarnation);
		// Within an incarnation the revision only grows; a restarted peer may hold a lower one.
		observation.revision = observation.incarnation === incarnation ? Math.max(observation.revision, body.revision) : body.revision;
		observation.incarnation = incarnation;
		observation.observedAtMs = nowMs;
		const transitMs = body.transitMs ?? 0;
		const contactAgeMs = body.storeReachable ? 0 : body.freshnessAgeMs ?? Number.POSITIVE_INFINITY;
		observation.storeContactAtMs = Math.max(observation.storeContactAtMs, nowMs - transitMs - contactAgeMs);
	}

	/** Records a revision that a peer reported in a message other than a heartbeat. */
	recordRevision(vm: string, revision: number): void {
		const observation = this.#observationOf(vm);
		observation.revision = Math.max(observation.revision, revision);
		observation.observedAtMs = this.#timers.nowMs();
	}

	quarantine(vm: string): void {
		this.#observationOf(vm).quarantinedUntilMs = this.#timers.nowMs() + quarantineMs;
	}

	/** Highest revision among the recent observations. */
	highestRevision(): number {
		let highest = 0;
		for (const entry of this.#recent()) {
			highest = Math.max(highest, entry[1].revision);
		}

		return highest;
	}

	/** Random peer that holds at least `revision` and is not in quarantine; undefined if there is none. */
	pickHolder(revision: number, random: Random): string | undefined {
		const nowMs = this.#timers.nowMs();
		const holders = [...this.#recent()].filter(([, observation]) => observation.revision >= revision && observation.quarantinedUntilMs <= nowMs);
		return holders.at(Math.floor(random() * holders.length))?.[0];
	}

	/** Revisions by live member, this node included; members without a link to this node are absent. */
	confirmed(ownRevision: number): Map<string, number> {
		const confirmed = new Map([[this.#peers.self.vm, ownRevision]]);
		for (const {record, state, incarnation} of this.#peers.members()) {
			const observation = this.#observations.get(record.vm);
			const isCurrent = observation?.incarnation !== undefined && incarnation !== undefined && observation.incarnation === incarnationId(incarnation);
			if (observation !== undefined && isCurrent && (state === MemberState.alive || state === MemberState.suspect)) {
				confirmed.set(record.vm, observation.revision);
			}
		}

		return confirmed;
	}

	/** Whether a recent observation shows that the store answered any node within `withinMs`. */
	storeContactReported(withinMs: number): boolean {
		const sinceMs = this.#timers.nowMs() - withinMs;
		return [...this.#recent()].some(([, observation]) => observation.storeContactAtMs >= sinceMs);
	}

	/** Removes the observations of former members. */
	prune(): void {
		const members = new Set(this.#peers.members().map(member => member.record.vm));
		for (const vm of this.#observations.keys()) {
			if (!members.has(vm)) {
				this.#observations.delete(vm);
			}
		}
	}

	* #recent(): Generator<[string, PeerObservation]> {
		const sinceMs = this.#timers.nowMs() - observationTtlMs;
		for (const entry of this.#observations) {
			if (entry[1].observedAtMs >= sinceMs) {
				yield entry;
			}
		}
	}

	#observationOf(vm: string): PeerObservation {
		let observation = this.#observations.get(vm);
		if (observation === undefined) {
			observation = {
				revision: 0, incarnation: undefined, observedAtMs: Number.NEGATIVE_INFINITY, storeContactAtMs: Number.NEGATIVE_INFINITY, quarantinedUntilMs: Number.NEGATIVE_INFINITY,
			};
			this.#observations.set(vm, observation);
		}

		return observation;
	}
}
