import {type TimerService} from '@fescuewick/core';
import {type PeerNetwork, type Sender} from '@fescuewick/membership';
import {type HeartbeatBody} from '@fescuewick/wire';

/** Records when a heartbeat of each failure domain was last received; without contact with the store, the age of keys follows from it. */
export class KeyFreshness {
	readonly #peers: PeerNetwork;
	readonly #timers: TimerService;
	/** Latest time at which a member of a failure domain is known to have sent a heartbeat. */
	readonly #heartbeatAtMs = new Map<string, number>();
	/** Failure domain by member; rebuilt after each change of the members. */
	#domains: Map<string, string> | undefined;

	constructor(peers: PeerNetwork, timers: TimerService) {
		this.#peers = peers;
		this.#timers = timers;
	}

	/** Discards the cached failure domains; called when the members have changed. */
	onMembersChanged(): void {
		this.#domains = undefined;
	}

	/** Records a heartbeat; one without a known transit time is ignored, because it may have waited in a buffer. */
	recordHeartbeat(from: Sender, body: HeartbeatBody): void {
		this.#domains ??= new Map(this.#peers.members().map(({record}) => [record.vm, record.failureDomain]));
		const failureDomain = this.#domains.get(from.vm);
		if (failureDomain !== undefined && body.transitMs !== undefined) {
			const sentAtMs = this.#timers.nowMs() - body.transitMs;
			this.#heartbeatAtMs.set(failureDomain, Math.max(sentAtMs, this.#heartbeatAtMs.get(failureDomain) ?? sentAtMs));
		}
	}

	/** Largest time since the last heartbeat among the other failure domains; undefined if one has sent none. */
	heartbeatAgeMs(): number | undefined {
		const own = this.#peers.self.failureDomain;
		const members = this.#peers.members();
		const others = new Set(members.map(member => member.record.failureDomain).filter(domain => domain !== own));
		// In a fleet with one failure domain, its peers are required instead; a fleet with one node requires no heartbeat.
		const requiredDomains = others.size > 0 ? others : new Set(members.length > 1 ? [own] : []);
		let ageMs = 0;
		for (const domain of requiredDomains) {
			const atMs = this.#heartbeatAtMs.get(domain);
			if (atMs === undefined) {
				return undefined;
			}

			ageMs = Math.max(ageMs, this.#timers.nowMs() - atMs);
		}

		return ageMs;
	}
}
