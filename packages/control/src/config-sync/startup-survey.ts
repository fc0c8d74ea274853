import {type TimerService} from '@fescuewick/core';
import {MemberState, type PeerNetwork} from '@fescuewick/membership';
import {MessageType} from '@fescuewick/wire';
import {headTimeoutMs} from './peer-fetcher.js';
import {type PeerRevisions} from './peer-revisions.js';

/** A starting node waits this long for its links to open before it treats the answers of its peers as complete. */
export const linkSettleMs = 1500;

/** Maximum number of concurrent requests when the revisions of all members of a fleet are requested. */
const maxConcurrentRequests = 32;

/** Highest revision that peers reported; `complete` if every reachable peer has answered. */
export type PeerSurvey = {readonly highestRevision: number; readonly complete: boolean};

/** Requests the revision of every reachable peer. */
export async function surveyPeers(peers: PeerNetwork, revisions: PeerRevisions): Promise<PeerSurvey> {
	const answered = new Set<string>();
	let highestRevision = 0;
	await Promise.all(reachableVms(peers).map(async vm => {
		try {
			const {revision} = await peers.request(vm, MessageType.configHeadRequest, {}, headTimeoutMs);
			answered.add(vm);
			highestRevision = Math.max(highestRevision, revision);
			revisions.recordRevision(vm, revision);
		} catch {
			// The peer still counts as reachable while its heartbeats arrive, so the survey stays incomplete.
		}
	}));
	return {highestRevision, complete: reachableVms(peers).every(vm => answered.has(vm))};
}

/** Requests the revision of all members that are not dead, with or without a link; undefined for those that do not answer. */
export async function collectRevisions(peers: PeerNetwork): Promise<Map<string, number | undefined>> {
	const vms = peers.members().filter(({state}) => state !== MemberState.dead).map(({record}) => record.vm);
	const revisions = new Map<string, number | undefined>();
	for (let index = 0; index < vms.length; index += maxConcurrentRequests) {
		await Promise.all(vms.slice(index, index + maxConcurrentRequests).map(async vm => {
			try {
				const {revision} = await peers.request(vm, MessageType.configHeadRequest, {}, headTimeoutMs);
				revisions.set(vm, revision);
			} catch {
				revisions.set(vm, undefined);
			}
		}));
	}

	return revisions;
}

/** Surveys the revisions of peers for a starting node that cannot read the store, once its links have had time to open. */
export class StartupSurvey {
	readonly #startedAtMs: number;
	#running = false;

	constructor(readonly peers: PeerNetwork, readonly revisions: PeerRevisions, readonly timers: TimerService) {
		this.#startedAtMs = timers.nowMs();
	}

	/** Runs a survey; resolves with undefined while links are still opening or another survey is running. */
	async run(): Promise<PeerSurvey | undefined> {
		if (this.#running || this.timers.nowMs() - this.#startedAtMs < linkSettleMs) {
			return undefined;
		}

		this.#running = true;
		try {
			return await surveyPeers(this.peers, this.revisions);
		} finally {
			this.#running = false;
		}
	}
}

function reachableVms(peers: PeerNetwork): string[] {
	return peers.members()
		.filter(({record, state, heardAgeMs}) => record.vm !== peers.self.vm && state === MemberState.alive && heardAgeMs !== undefined)
		.map(({record}) => record.vm);
}
