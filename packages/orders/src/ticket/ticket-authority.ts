import {incarnationId, type Incarnation, type TimerService} from '@fescuewick/core';
import {
	ClaimState, OrderResult, type ClaimReplyBody, type StoredAnswer,
} from '@fescuewick/wire';
import {AnswerCache} from '../answers/answer-cache.js';
import {
	canRecordEnd, ClaimAuthority, replyForEntry, replyWithoutAnswer, type Attempt,
} from '../claim-authority.js';
import {EntryState} from '../claim-table/claim-table.js';
import {type OrderId} from '../order-key/order-id.js';
import {ticketIncarnation, type Ticket} from '../order-key/order-key.js';
import {TicketGeneration} from './ticket-generation.js';

/** Maximum time by which a ticket may be ahead of the clock of the VM that grants it. */
export const maxTicketSkewMs = 5000;

/** Short generations can be moved to filters and deleted early: 30 minutes each in a window of 24 h. */
const generationsPerWindow = 48;
/** Minimum age of an entry that is moved to a filter. At this age it no longer changes: its attempt has ended or is reported as unknown. */
const minFilterAgeMs = 600_000;

/** Retention time and memory limits of a ticket authority. */
export type TicketOptions = {
	/** Time for which a ticket is valid and its order is retained. */
	readonly repeatWindowMs: number;
	/** Maximum number of exact entries, at 41 to 83 bytes each. At this limit the oldest entries are moved to filters; if that is not possible, new tickets are refused. */
	readonly maxOrders: number;
	/** Maximum number of filters, each 360 KB for 100,000 orders. An order in a filter is retained until its ticket expires, but reported as unknown if its answer is not cached. */
	readonly maxFilters: number;
	readonly maxAnswersBytes: number;
	readonly maxAnswerBytes: number;
};

/**
Decides orders whose tickets name this incarnation; all state is in memory.

A pause of the process cannot lead to a second run: no other process may ever grant these orders, entries are deleted only after their tickets have expired, and the clock used for expiry never goes back.
*/
export class TicketAuthority extends ClaimAuthority {
	readonly #timers: TimerService;
	readonly #options: TicketOptions;
	readonly #vm: string;
	readonly #incarnation: string;
	readonly #generationMs: number;
	readonly #generations = new Map<number, TicketGeneration>();
	readonly #answers: AnswerCache;
	#latestMs = 0;

	constructor(incarnation: Incarnation, timers: TimerService, options: TicketOptions) {
		super();
		this.#timers = timers;
		this.#options = options;
		this.#vm = incarnation.vm;
		this.#incarnation = ticketIncarnation(incarnationId(incarnation));
		this.#generationMs = Math.max(1000, options.repeatWindowMs / generationsPerWindow);
		this.#answers = new AnswerCache(options.maxAnswersBytes, options.maxAnswerBytes);
	}

	/** Number of exact entries, without orders in filters. */
	get orderCount(): number {
		let orders = 0;
		for (const generation of this.#generations.values()) {
			orders += generation.exactCount;
		}

		return orders;
	}

	/** Size of the tables, filters and cached answers. */
	get sizeBytes(): number {
		let bytes = this.#answers.sizeBytes;
		for (const generation of this.#generations.values()) {
			bytes += generation.sizeBytes;
		}

		return bytes;
	}

	async claim(attempt: Attempt, repeatWindowMs: number): Promise<ClaimReplyBody> {
		const {key, id, claimant, contentHash} = attempt;
		const nowMs = this.#nowMs();
		const {ticket} = key;
		if (ticket === undefined || !this.#isOwn(ticket)) {
			return replyWithoutAnswer(ClaimState.unknown);
		}

		const state = this.#refusalState(ticket, nowMs, repeatWindowMs);
		if (state !== undefined) {
			return replyWithoutAnswer(state);
		}

		this.#deleteExpired(nowMs);
		const generation = this.#generationFor(ticket);
		const entry = generation.table.get(id.words);
		const reply = entry === undefined ? this.#replyFromFilters(generation, id) : replyForEntry(entry, attempt, nowMs - (entry.claimedAtS * 1000));
		if (reply !== undefined) {
			return reply.state === ClaimState.done ? {...reply, answer: this.#answers.get(id.hex)} : reply;
		}

		if (entry === undefined && !this.#ensureCapacity(nowMs)) {
			return replyWithoutAnswer(ClaimState.unavailable);
		}

		generation.table.set(id.words, {
			claimant, claimedAtS: Math.floor(nowMs / 1000), state: EntryState.open, contentHash,
		});
		return replyWithoutAnswer(ClaimState.granted);
	}

	async complete(attempt: Attempt, result: OrderResult, answer: StoredAnswer | undefined): Promise<boolean> {
		const accepted = this.#endClaim(attempt, result === OrderResult.unknown ? EntryState.unknown : EntryState.done);
		if (accepted && answer !== undefined) {
			this.#answers.add(attempt.id.hex, answer);
		}

		return accepted;
	}

	async release(attempt: Attempt): Promise<boolean> {
		return this.#endClaim(attempt, EntryState.released);
	}

	#endClaim({key, id, claimant}: Attempt, state: EntryState): boolean {
		const {ticket} = key;
		if (ticket === undefined || !this.#isOwn(ticket)) {
			return false;
		}

		const table = this.#generations.get(this.#generationNumber(ticket))?.table;
		const entry = table?.get(id.words);
		if (table === undefined || !canRecordEnd(entry, claimant, state)) {
			return false;
		}

		return table.setState(id.words, state);
	}

	// The latest time is kept because a wall clock that is set back must not make a ticket valid again after its entry was deleted.
	#nowMs(): number {
		this.#latestMs = Math.max(this.#latestMs, this.#timers.wallClockMs());
		return this.#latestMs;
	}

	#isOwn(ticket: Ticket): boolean {
		return ticket.vm === this.#vm && ticket.incarnation === this.#incarnation;
	}

	#refusalState({issuedAtMs}: Ticket, nowMs: number, repeatWindowMs: number): ClaimState | undefined {
		if (issuedAtMs > nowMs + maxTicketSkewMs) {
			return ClaimState.unknown;
		}

		const windowMs = Math.min(repeatWindowMs, this.#options.repeatWindowMs);
		// Compared this way round so that a NaN window counts as expired.
		return issuedAtMs + windowMs > nowMs ? undefined : ClaimState.expired;
	}

	#generationNumber({issuedAtMs}: Ticket): number {
		return Math.floor(issuedAtMs / this.#generationMs);
	}

	/** Call with valid tickets only: their limited range of issue times bounds the number of generations. */
	#generationFor(ticket: Ticket): TicketGeneration {
		const number = this.#generationNumber(ticket);
		let generation = this.#generations.get(number);
		if (generation === undefined) {
			generation = new TicketGeneration();
			this.#generations.set(number, generation);
		}

		return generation;
	}

	#replyFromFilters(generation: TicketGeneration, {hex, words}: OrderId): ClaimReplyBody | undefined {
		if (!generation.isInFilter(words)) {
			return undefined;
		}

		return replyWithoutAnswer(this.#answers.get(hex) === undefined ? ClaimState.unknown : ClaimState.done);
	}

	#ensureCapacity(nowMs: number): boolean {
		const {maxOrders, maxFilters} = this.#options;
		if (this.orderCount < maxOrders) {
			return true;
		}

		let filterCount = 0;
		for (const generation of this.#generations.values()) {
			filterCount += generation.filterCount;
		}

		for (const [number, generation] of [...this.#generations].sort(([first], [second]) => first - second)) {
			const canMove = ((number + 1) * this.#generationMs) + minFilterAgeMs <= nowMs && filterCount + generation.additionalFilterCount <= maxFilters;
			if (canMove && generation.moveToFilters((nowMs - minFilterAgeMs) / 1000) > 0) {
				return true;
			}
		}

		return false;
	}

	#deleteExpired(nowMs: number): void {
		for (const number of this.#generations.keys()) {
			if (((number + 1) * this.#generationMs) + this.#options.repeatWindowMs <= nowMs) {
				this.#generations.delete(number);
			}
		}
	}
}
