import {type Cancel, type Incarnation, type TimerService} from '@fescuewick/core';
import {
	MessageType, type Link, type MemberDigestBody, type VmRecord,
} from '@fescuewick/wire';
import {type MemberTable} from './member-table.js';
import {type Random} from './random.js';

/** Changes of the view are collected for this long before they are sent. */
const changeDelayMs = 100;
/** Mean interval between two comparisons of the view with that of a random linked peer. */
const compareIntervalMs = 10_000;
/** A starting node compares more often, because peers that have just sent their view to another node do not answer its initial digests. */
const startupCompareIntervalMs = 1000;
const startupPeriodMs = 10_000;
/** Number of links on which each change is sent; with six, it reaches all but 0.3 % of a large fleet, and the others are updated by comparisons of views. */
const changeFanOut = 6;
/** Minimum interval between two full views that a node sends; limits the load when all nodes of a fleet start at once. */
const fullViewIntervalMs = 250;
/** Maximum number of members in one digest; at about 300 bytes each, it stays far below the frame limit. */
const membersPerDigest = 500;

export type ViewExchangeOptions = {
	readonly table: MemberTable;
	readonly timers: TimerService;
	readonly random: Random;
	readonly incarnation: Incarnation;
	readonly self: () => VmRecord;
	/** Version of this node's record, increased with each change. */
	readonly selfRecordSequence: () => number;
	/** The link in use of each linked peer. */
	readonly links: () => Link[];
	/** Called after changes were sent. */
	readonly onChangesSent: () => void;
};

/** Exchanges member digests with linked peers: changes after `changeDelayMs`, and full views of failure domains whose hash sums differ. */
export class ViewExchange {
	readonly #options: ViewExchangeOptions;
	readonly #changedVms = new Set<string>();
	/** Hash of the entry sent last for each member. */
	readonly #sentHashes = new Map<string, number>();
	readonly #startedAtMs: number;
	#fullViewSentAtMs = Number.NEGATIVE_INFINITY;
	#cancelFlush: Cancel | undefined;
	#nextCompareAtMs: number;
	#stopped = false;

	constructor(options: ViewExchangeOptions) {
		this.#options = options;
		this.#startedAtMs = options.timers.nowMs();
		this.#nextCompareAtMs = this.#startedAtMs + (startupCompareIntervalMs * options.random());
	}

	/** Schedules the entry of a member to be sent. */
	memberChanged(vm: string): void {
		this.#changedVms.add(vm);
		if (this.#cancelFlush === undefined && !this.#stopped) {
			this.#cancelFlush = this.#options.timers.after(changeDelayMs, () => {
				this.#cancelFlush = undefined;
				this.#sendChanges();
			});
		}
	}

	/** Sends the record and the hash sums of this node on a new link; a peer whose view differs answers with its entries of the differing failure domains. */
	sendInitialDigest(link: Link): void {
		link.send(MessageType.memberDigest, {members: [this.#selfEntry()], summary: this.#summary()});
	}

	/** Merges a digest of a peer. If the hash sums in it differ from this node's, answers with the entries of the differing failure domains. */
	digestReceived(body: MemberDigestBody, fromVm: string, link: Link): void {
		for (const vm of this.#options.table.merge(body, fromVm)) {
			// The entry is unchanged, so its sent hash is removed for it to be sent again as a refutation.
			this.#sentHashes.delete(vm);
			this.memberChanged(vm);
		}

		const {timers, table, self} = this.#options;
		const differing = body.summary === undefined ? new Set<string>() : differingKeys(body.summary, this.#summary());
		if (differing.size === 0 || timers.nowMs() - this.#fullViewSentAtMs < fullViewIntervalMs) {
			return;
		}

		this.#fullViewSentAtMs = timers.nowMs();
		const entries = table.digest(table.vmsOf(differing));
		this.#sendEntries(differing.has(self().failureDomain) ? [this.#selfEntry(), ...entries] : entries, [link]);
	}

	/** Sends the hash sums to a random peer if a comparison is due; called at regular intervals. */
	tick(): void {
		const {timers, random, links} = this.#options;
		if (timers.nowMs() < this.#nextCompareAtMs) {
			return;
		}

		const isStarting = timers.nowMs() - this.#startedAtMs < startupPeriodMs;
		this.#nextCompareAtMs = timers.nowMs() + ((isStarting ? startupCompareIntervalMs : compareIntervalMs) * (0.75 + (random() / 2)));
		const openLinks = links();
		openLinks.at(Math.floor(random() * openLinks.length))?.send(MessageType.memberDigest, {members: [], summary: this.#summary()});
	}

	stop(): void {
		this.#stopped = true;
		this.#cancelFlush?.();
	}

	#sendChanges(): void {
		const {table, self, links, random, onChangesSent} = this.#options;
		const selfVm = self().vm;
		const changed = [...this.#changedVms].filter(vm => vm !== selfVm && this.#updateSentHash(vm, table.hashOf(vm)));
		const entries = table.digest(changed);
		if (this.#changedVms.has(selfVm)) {
			entries.push(this.#selfEntry());
		}

		this.#changedVms.clear();
		this.#sendEntries(entries, sample(links(), changeFanOut, random));
		onChangesSent();
	}

	#updateSentHash(vm: string, hash: number | undefined): boolean {
		if (hash === undefined) {
			this.#sentHashes.delete(vm);
			return false;
		}

		const isChanged = this.#sentHashes.get(vm) !== hash;
		this.#sentHashes.set(vm, hash);
		return isChanged;
	}

	#sendEntries(entries: MemberDigestBody['members'], links: readonly Link[]): void {
		for (let index = 0; index < entries.length; index += membersPerDigest) {
			for (const link of links) {
				link.send(MessageType.memberDigest, {members: entries.slice(index, index + membersPerDigest)});
			}
		}
	}

	#selfEntry(): MemberDigestBody['members'][number] {
		return {
			record: this.#options.self(), recordSequence: this.#options.selfRecordSequence(), incarnation: this.#options.incarnation, heardAgeMs: 0,
		};
	}

	#summary(): Record<string, number> {
		return this.#options.table.summary(this.#options.self(), this.#options.incarnation);
	}
}

/** Keys whose numbers differ. */
function differingKeys(first: Readonly<Record<string, number>>, second: Readonly<Record<string, number>>): Set<string> {
	return new Set([...Object.keys(first), ...Object.keys(second)].filter(key => first[key] !== second[key]));
}

/** Up to `count` random elements. */
function sample<Element>(elements: Element[], count: number, random: Random): Element[] {
	for (let index = 0; index < Math.min(count, elements.length - 1); index++) {
		const other = index + Math.floor(random() * (elements.length - index));
		[elements[index], elements[other]] = [elements[other], elements[index]];
	}

	return elements.slice(0, count);
}
