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
/** A member that is not on the platform's list is removed from the table after it has been dead, or without any message or report, for this time. */
export const forgetAfterMs = 60_000;
/** Minimum interval between two refutations for the same member; a node refutes a report that a member is dead while it receives messages from that member. */
const refuteIntervalMs = 1000;
/** Last-alive times that differ by no more than this count as equal, because the age in a report does not include the transit time of each hop. */
const reportToleranceMs = 500;
/** Hashes and their sums are reduced to 52 bits, so that a `number` represents them exactly. */
const hashModulus = 2 ** 52;

type MemberEntry = {
	record: VmRecord;
	/** Version of the record, increased by the member with each change; a report with a lower version is outdated. */
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
	/** Time at which the last message arrived from the member itself. */
	lastMessageAtMs: number | undefined;
	/** Latest time at which the member is known to have been alive, from its own messages or from reports. */
	lastAliveAtMs: number;
	/** Whether the state is derived from messages on this node's own link rather than from reports of other nodes. */
	monitored: boolean;
	/** Whether the member is on the platform's list. */
	listed: boolean;
	stateChangedAtMs: number;
	lastRefutedAtMs: number;
};

type DigestEntry = MemberDigestBody['members'][number];

/** A node's view of the other members: their records, incarnations and states. */
export class MemberTable {
	readonly #entries = new Map<string, MemberEntry>();
	/** Sums of the members' hashes by failure domain. */
	readonly #hashSums = new Map<string, number>();
	readonly #timers: TimerService;
	readonly #onChange: (vm: string) => void;
	#hasPlatformList = false;

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

	/** Names of the members of the given failure domains. */
	vmsOf(failureDomains: ReadonlySet<string>): string[] {
		return [...this.#entries.values()].filter(entry => failureDomains.has(entry.record.failureDomain)).map(entry => entry.record.vm);
	}

	/** Applies the platform's list of VMs: adds members, marks those that are leaving, and records which are no longer listed. */
	applyPlatformList(records: readonly VmRecord[]): void {
		this.#hasPlatformList = true;
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

	/** Records a newer incarnation in place of the known one. Returns false if this incarnation is older, so that its messages are not accepted. */
	acceptIncarnation(record: VmRecord, incarnation: Incarnation): boolean {
		const entry = this.#entries.get(record.vm) ?? this.#add(record);
		if (entry.incarnation !== undefined && incarnationId(entry.incarnation) !== incarnationId(incarnation)) {
			const deadForMs = this.#timers.nowMs() - entry.lastAliveAtMs;
			// After a clock correction a restarted process may seem older than the one it replaces, so it is accepted once the known incarnation is dead and has given no sign of life for `deadAfterMs`.
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

	/** Derives the state of a member from reports of other nodes, until a message from the member arrives again. */
	unmonitor(vm: string): void {
		const entry = this.#entries.get(vm);
		if (entry !== undefined) {
			entry.monitored = false;
		}
	}

	/** Marks a member as dead because it announced that it stops. */
	markStopped(vm: string): void {
		const entry = this.#entries.get(vm);
		if (entry !== undefined) {
			this.#applyEvent(entry, 'lost');
		}
	}

	/** Updates the states of monitored members from the time since their last message, and removes members as described at `forgetAfterMs`. */
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

	/** Digest entries of the given members. */
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

	/** Hash sums by failure domain, this node included. Nodes with equal views have equal sums and exchange no full views. */
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
			// The known record may be a placeholder, which the first node linked to the member made from its hello and forwarded.
			this.#adoptRecord(entry, report);
		}

		if (entry.monitored) {
			return report.dead === true && this.#shouldRefute(entry, nowMs);
		}

		this.#mergeReportedState(entry, nowMs - report.heardAgeMs, report.dead === true);
		return false;
	}

	/** Applies a reported state if its last-alive time is later than the known one. Within the tolerance `dead` takes precedence, because a wrong report of death is refuted by nodes that receive messages from the member. */
	#mergeReportedState(entry: MemberEntry, reportedAliveAtMs: number, isDead: boolean): void {
		const newerByMs = reportedAliveAtMs - entry.lastAliveAtMs;
		if (isDead ? newerByMs <= -reportToleranceMs : newerByMs <= reportToleranceMs) {
			return;
		}

		entry.lastAliveAtMs = reportedAliveAtMs;
		this.#applyEvent(entry, isDead ? 'lost' : 'heard');
	}

	#shouldRefute(entry: MemberEntry, nowMs: number): boolean {
		if (entry.state !== MemberState.alive || nowMs - entry.lastRefutedAtMs < refuteIntervalMs) {
			return false;
		}

		entry.lastRefutedAtMs = nowMs;
		return true;
	}

	#canForget(entry: MemberEntry, nowMs: number): boolean {
		const {state} = entry;
		if (entry.listed || (state !== MemberState.dead && state !== MemberState.listed) || nowMs - entry.stateChangedAtMs < forgetAfterMs) {
			return false;
		}

		// Until the platform's list arrives, the last known member of a failure domain is kept, because the rule for stale keys depends on which failure domains exist.
		return this.#hasPlatformList || [...this.#entries.values()].some(other => other !== entry && other.record.failureDomain === entry.record.failureDomain);
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
			stateChangedAtMs: this.#timers.nowMs(),
			lastRefutedAtMs: Number.NEGATIVE_INFINITY,
		};
		this.#entries.set(record.vm, entry);
		this.#entryChanged(entry);
		return entry;
	}

	#applyEvent(entry: MemberEntry, event: string): void {
		const state = nextState(memberChart, entry.state, event);
		if (state !== undefined) {
			entry.state = state as MemberState;
			entry.stateChangedAtMs = this.#timers.nowMs();
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

/** Hash of a member's entry in a digest; the division by 4096 reduces 64 bits to 52, see `hashModulus`. */
export function memberHash(record: VmRecord, incarnation: Incarnation | undefined, isDead: boolean): number {
	return Number(hash64(`${record.vm}|${record.controlAddress}|${record.entryUrl}|${record.leaving}|${incarnation === undefined ? '' : incarnationId(incarnation)}|${isDead}`) / 4096n);
}

/** Whether `first` was started after `second`; of equal start times, the greater nonce counts as the newer one. */
export function isNewer(first: Incarnation, second: Incarnation): boolean {
	return first.startedAtMs === second.startedAtMs ? first.nonce > second.nonce : first.startedAtMs > second.startedAtMs;
}
