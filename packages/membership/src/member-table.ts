import {
	hash64, incarnationId, nextState, type Incarnation, type TimerService,
} from '@fescuewick/core';
import {type MemberDigestBody, type VmRecord} from '@fescuewick/wire';
import {memberChart} from './charts.js';
import {MemberState, type Member} from './peer-network.js';

/** A peer is suspect after this time without a message from it. */
export const suspectAfterMs = 1500;
/** A peer is dead after this time without a message from it. */
export const deadAfterMs = 3000;
/** A dead member that the platform does not list is removed from the table after this time. */
export const forgetAfterMs = 60_000;
/** Minimum interval between two refutations of reports that declare a member dead from which this node receives messages. */
const refuteIntervalMs = 1000;
/** The age in a report does not include the transit time of each hop, so times that differ by no more than this count as equal. */
const evidenceToleranceMs = 500;
/** Sums of hashes below this modulus are represented exactly by a `number`. */
const hashModulus = 2 ** 52;

type MemberEntry = {
	record: VmRecord;
	/** Number of changes that the member made to its record; reports with a lower number are outdated. */
	recordSequence: number;
	/** Whether the member announces that it is leaving. */
	announcedLeaving: boolean;
	/** Whether the platform's list marks it as leaving. */
	listedLeaving: boolean;
	incarnation: Incarnation | undefined;
	/** A state of the member chart. There is no chart runner for each member: one takes 17 KB, too much for the 7,600 members of the design size. */
	state: MemberState;
	/** Hash of the member's entry in a digest. */
	hash: number;
	/** When the last message arrived from the member itself. */
	lastMessageAtMs: number | undefined;
	/** Latest time at which the member is known to have been alive, from its own messages or from reports. */
	lastAliveAtMs: number;
	/** Whether the state follows from messages on this node's own link rather than from reports. */
	monitored: boolean;
	listed: boolean;
	changedAtMs: number;
	refutedAtMs: number;
};

type DigestEntry = MemberDigestBody['members'][number];

/** A node's view of the other members: their records, incarnations and states. */
export class MemberTable {
	readonly #entries = new Map<string, MemberEntry>();
	/** Sums of the members' hashes by failure domain. */
	readonly #hashSums = new Map<string, number>();
	readonly #timers: TimerService;
	readonly #onChange: (vm: string) => void;
	#platformListed = false;

	/** `onChange` is called with each member whose record, incarnation or state changed. */
	constructor(readonly selfVm: string, timers: TimerService, onChange: (vm: string) => void) {
		this.#timers = timers;
		this.#onChange = onChange;
	}

	get size(): number {
		return this.#entries.size;
	}

	* members(): Generator<Member> {
		const nowMs = this.#timers.nowMs();
		for (const entry of this.#entries.values()) {
			yield memberOf(entry, nowMs);
		}
	}

	member(vm: string): Member | undefined {
		const entry = this.#entries.get(vm);
		return entry === undefined ? undefined : memberOf(entry, this.#timers.nowMs());
	}

	record(vm: string): VmRecord | undefined {
		return this.#entries.get(vm)?.record;
	}

	state(vm: string): MemberState | undefined {
		return this.#entries.get(vm)?.state;
	}

	incarnation(vm: string): Incarnation | undefined {
		return this.#entries.get(vm)?.incarnation;
	}

	hasAddress(controlAddress: string): boolean {
		return [...this.#entries.values()].some(entry => entry.record.controlAddress === controlAddress);
	}

	/** Names of the members of some failure domains. */
	vmsOf(failureDomains: ReadonlySet<string>): string[] {
		return [...this.#entries.values()].filter(entry => failureDomains.has(entry.record.failureDomain)).map(entry => entry.record.vm);
	}

	/** Applies the platform's list: adds members, marks those that are leaving, and records which are no longer listed. */
	updateList(records: readonly VmRecord[]): void {
		this.#platformListed = true;
		const listed = new Set(records.map(record => record.vm));
		for (const record of records) {
			if (record.vm === this.selfVm) {
				continue;
			}

			const entry = this.#entries.get(record.vm) ?? this.#add(record);
			entry.listed = true;
			entry.listedLeaving = record.leaving;
			const isReachable = entry.state === MemberState.alive || entry.state === MemberState.suspect;
			// The addresses that a reachable member announces are newer than those of the list, which is updated later.
			this.#setRecord(entry, isReachable ? {...entry.record, leaving: entry.announcedLeaving || record.leaving} : record);
		}

		for (const entry of this.#entries.values()) {
			entry.listed = listed.has(entry.record.vm);
		}
	}

	/** Whether messages of this incarnation are accepted; a newer incarnation replaces the older one. */
	acceptIncarnation(record: VmRecord, incarnation: Incarnation): boolean {
		const entry = this.#entries.get(record.vm) ?? this.#add(record);
		if (entry.incarnation !== undefined && incarnationId(entry.incarnation) !== incarnationId(incarnation)) {
			const deadForMs = this.#timers.nowMs() - entry.lastAliveAtMs;
			// After a clock correction a restarted process may seem older than the one it replaces, so it is accepted once that one has been dead for long enough.
			if (!isNewer(incarnation, entry.incarnation) && (entry.state !== MemberState.dead || deadForMs < deadAfterMs)) {
				return false;
			}
		}

		this.#setIncarnation(entry, incarnation);
		return true;
	}

	/** Records that a message arrived from the member itself. */
	recordMessageFrom(vm: string): void {
		const entry = this.#entries.get(vm);
		if (entry !== undefined) {
			entry.lastMessageAtMs = this.#timers.nowMs();
			entry.lastAliveAtMs = entry.lastMessageAtMs;
			entry.monitored = true;
			this.#applyEvent(entry, 'heard');
		}
	}

	/** Lets the state of a member follow from the reports of others. */
	unmonitor(vm: string): void {
		const entry = this.#entries.get(vm);
		if (entry !== undefined) {
			entry.monitored = false;
		}
	}

	/** Marks a member as dead after its own announcement that it stops. */
	markStopped(vm: string): void {
		const entry = this.#entries.get(vm);
		if (entry !== undefined) {
			this.#applyEvent(entry, 'lost');
		}
	}

	/** Updates the states of monitored members by the time since their last message; removes members that have been dead for `forgetAfterMs`. */
	evaluate(): void {
		const nowMs = this.#timers.nowMs();
		for (const entry of this.#entries.values()) {
			const sinceMessageMs = nowMs - (entry.lastMessageAtMs ?? entry.lastAliveAtMs);
			if (entry.monitored && sinceMessageMs > deadAfterMs) {
				this.#applyEvent(entry, 'lost');
			} else if (entry.monitored && sinceMessageMs > suspectAfterMs) {
				this.#applyEvent(entry, 'quiet');
			}

			if (this.#canForget(entry, nowMs)) {
				this.#addToHashSum(entry.record.failureDomain, -entry.hash);
				this.#entries.delete(entry.record.vm);
				this.#onChange(entry.record.vm);
			}
		}
	}

	/** Entries of the members named, for a digest. */
	digest(vms: Iterable<string>): DigestEntry[] {
		const nowMs = this.#timers.nowMs();
		// A member whose own digest has not arrived yet has no address that others could use.
		const entries = [...vms].map(vm => this.#entries.get(vm)).filter(entry => entry !== undefined).filter(entry => entry.record.controlAddress !== '');
		return entries.map(entry => ({
			record: entry.record,
			recordSequence: entry.recordSequence,
			incarnation: entry.incarnation,
			heardAgeMs: entry.incarnation === undefined ? 0 : Math.max(0, Math.round(nowMs - entry.lastAliveAtMs)),
			...(entry.state === MemberState.dead ? {dead: true} : {}),
		}));
	}

	/** Merges the digest of a peer; returns members that it reports as dead and that this node refutes because it receives their messages. */
	merge(body: MemberDigestBody, fromVm: string): string[] {
		const refuted: string[] = [];
		for (const report of body.members) {
			if (report.record.vm === this.selfVm) {
				continue;
			}

			const entry = this.#entries.get(report.record.vm) ?? this.#add(report.record);
			if (report.record.vm === fromVm) {
				this.#adoptRecord(entry, report);
			} else if (this.#mergeReport(entry, report)) {
				refuted.push(report.record.vm);
			}
		}

		return refuted;
	}

	/** Hash sums by failure domain, equal for equal views; used to skip exchanges that would change nothing. */
	summary(self: VmRecord, incarnation: Incarnation): Record<string, number> {
		const sums = Object.fromEntries(this.#hashSums);
		sums[self.failureDomain] = ((sums[self.failureDomain] ?? 0) + memberHash(self, incarnation, false)) % hashModulus;
		return sums;
	}

	/** Hash of a member's entry in a digest; the entry is sent only when this changes. */
	hashOf(vm: string): number | undefined {
		return this.#entries.get(vm)?.hash;
	}

	#mergeReport(entry: MemberEntry, report: DigestEntry): boolean {
		const nowMs = this.#timers.nowMs();
		if (report.incarnation === undefined) {
			return false;
		}

		const isSameIncarnation = entry.incarnation !== undefined && incarnationId(entry.incarnation) === incarnationId(report.incarnation);
		if (!isSameIncarnation && entry.incarnation !== undefined && !isNewer(report.incarnation, entry.incarnation)) {
			return false;
		}

		if (!isSameIncarnation) {
			this.#setIncarnation(entry, report.incarnation);
			this.#adoptRecord(entry, report);
		} else if ((report.recordSequence ?? 0) > entry.recordSequence || (isPlaceholder(entry.record) && !isPlaceholder(report.record))) {
			// The first node that was linked to the member may have sent on a placeholder record made from its hello.
			this.#adoptRecord(entry, report);
		}

		if (entry.monitored) {
			return report.dead === true && this.#shouldRefute(entry, nowMs);
		}

		this.#mergeEvidence(entry, nowMs - report.heardAgeMs, report.dead === true);
		return false;
	}

	/** The later report wins; within the tolerance `dead` wins, because nodes that receive messages of the member refute it. */
	#mergeEvidence(entry: MemberEntry, reportedAtMs: number, isDead: boolean): void {
		const newerByMs = reportedAtMs - entry.lastAliveAtMs;
		if (isDead ? newerByMs <= -evidenceToleranceMs : newerByMs <= evidenceToleranceMs) {
			return;
		}

		entry.lastAliveAtMs = reportedAtMs;
		this.#applyEvent(entry, isDead ? 'lost' : 'heard');
	}

	#shouldRefute(entry: MemberEntry, nowMs: number): boolean {
		if (entry.state !== MemberState.alive || nowMs - entry.refutedAtMs < refuteIntervalMs) {
			return false;
		}

		entry.refutedAtMs = nowMs;
		return true;
	}

	#canForget(entry: MemberEntry, nowMs: number): boolean {
		const {state} = entry;
		if (entry.listed || (state !== MemberState.dead && state !== MemberState.listed) || nowMs - entry.changedAtMs < forgetAfterMs) {
			return false;
		}

		// Until the platform's list arrives, the last known member of a failure domain is kept: the rule for stale keys needs to know that the domain exists.
		return this.#platformListed || [...this.#entries.values()].some(other => other !== entry && other.record.failureDomain === entry.record.failureDomain);
	}

	#add(record: VmRecord): MemberEntry {
		const entry: MemberEntry = {
			record,
			recordSequence: 0,
			announcedLeaving: false,
			listedLeaving: false,
			incarnation: undefined,
			state: memberChart.initial as MemberState,
			hash: 0,
			lastMessageAtMs: undefined,
			lastAliveAtMs: Number.NEGATIVE_INFINITY,
			monitored: false,
			listed: false,
			changedAtMs: this.#timers.nowMs(),
			refutedAtMs: Number.NEGATIVE_INFINITY,
		};
		this.#entries.set(record.vm, entry);
		this.#entryChanged(entry);
		return entry;
	}

	#applyEvent(entry: MemberEntry, event: string): void {
		const state = nextState(memberChart, entry.state, event);
		if (state !== undefined) {
			entry.state = state as MemberState;
			entry.changedAtMs = this.#timers.nowMs();
			this.#entryChanged(entry);
		}
	}

	#setIncarnation(entry: MemberEntry, incarnation: Incarnation): void {
		if (entry.incarnation === undefined || incarnationId(entry.incarnation) !== incarnationId(incarnation)) {
			entry.incarnation = incarnation;
			this.#entryChanged(entry);
		}
	}

	#adoptRecord(entry: MemberEntry, {record, recordSequence = 0}: DigestEntry): void {
		entry.announcedLeaving = record.leaving;
		entry.recordSequence = recordSequence;
		this.#setRecord(entry, {...record, leaving: record.leaving || entry.listedLeaving});
	}

	#setRecord(entry: MemberEntry, record: VmRecord): void {
		if (JSON.stringify(entry.record) !== JSON.stringify(record)) {
			this.#addToHashSum(entry.record.failureDomain, -entry.hash);
			entry.hash = 0;
			entry.record = record;
			this.#entryChanged(entry);
		}
	}

	#entryChanged(entry: MemberEntry): void {
		const hash = memberHash(entry.record, entry.incarnation, entry.state === MemberState.dead);
		this.#addToHashSum(entry.record.failureDomain, hash - entry.hash);
		entry.hash = hash;
		this.#onChange(entry.record.vm);
	}

	#addToHashSum(failureDomain: string, difference: number): void {
		const sum = ((this.#hashSums.get(failureDomain) ?? 0) + difference) % hashModulus;
		this.#hashSums.set(failureDomain, sum < 0 ? sum + hashModulus : sum);
	}
}

/** Whether the record was made from a hello, which carries no addresses. */
function isPlaceholder(record: VmRecord): boolean {
	return record.controlAddress === '' || record.adminUrl === '';
}

function memberOf(entry: MemberEntry, nowMs: number): Member {
	return {
		record: entry.record,
		state: entry.state,
		incarnation: entry.incarnation,
		heardAgeMs: entry.lastMessageAtMs === undefined ? undefined : nowMs - entry.lastMessageAtMs,
	};
}

/** Hash of a member's entry in a digest. */
export function memberHash(record: VmRecord, incarnation: Incarnation | undefined, isDead: boolean): number {
	return Number(hash64(`${record.vm}|${record.controlAddress}|${record.entryUrl}|${record.leaving}|${incarnation === undefined ? '' : incarnationId(incarnation)}|${isDead}`) / 4096n);
}

/** Whether `first` was started after `second`. */
export function isNewer(first: Incarnation, second: Incarnation): boolean {
	return first.startedAtMs === second.startedAtMs ? first.nonce > second.nonce : first.startedAtMs > second.startedAtMs;
}
