import {
	DecisionKind, logDecision, type Cancel, type Logger, type TimerService,
} from '@fescuewick/core';
import {MemberState, type PeerNetwork} from '@fescuewick/membership';
import {type ObjectStore} from '@fescuewick/store';
import {
	ClaimState, MessageType, OrderResult, type ClaimCompleteBody, type ClaimReleaseBody, type ClaimReplyBody, type ClaimRequestBody, type MessageBodies,
} from '@fescuewick/wire';
import {maxOpenClaimAgeMs, replyWithoutAnswer, type Attempt} from '../claim-authority.js';
import {ClaimService} from '../claim-service.js';
import {JournalAuthority} from '../journal/journal-authority.js';
import {defaultJournalOptions, type JournalOptions} from '../journal/journal-options.js';
import {claimantDigest, orderId} from '../order-key/order-id.js';
import {parseOrderKey} from '../order-key/order-key.js';
import {TicketAuthority, type TicketOptions} from '../ticket/ticket-authority.js';
import {AnswerHandover} from './answer-handover.js';
import {OpenClaims} from './open-claims.js';
import {ownerCandidates, PartitionOwners} from './partition-owners.js';

const ownershipCheckIntervalMs = 1000;
/** An owner that did not answer is tried last for this time; by then membership has detected whether it is dead. */
const unresponsiveOwnerMs = 3000;
/** An entry daemon that was disconnected for this time counts as gone; a running one tries to reconnect every 250 ms. */
const entryDisconnectTimeoutMs = 3000;

/** Dependencies of a `FleetClaimService`. */
export type FleetClaimDependencies = {
	readonly peers: PeerNetwork;
	readonly store: ObjectStore;
	readonly timers: TimerService;
	readonly logger: Logger;
	/** Incarnations of the entry daemons that are connected to this node; undefined if claimants are not entry daemons. */
	readonly entryIncarnations?: () => readonly string[];
};

/** Options of a `FleetClaimService`; options left out have defaults. */
export type FleetClaimOptions = {
	/** Timeout of one request to an authority; longer than the journal's `claimTimeoutMs`, so that the authority's reply arrives in time. */
	readonly requestTimeoutMs: number;
	/** Region of the store; nodes in it are preferred as owners. */
	readonly storeRegion: string | undefined;
	readonly journal: JournalOptions;
	readonly tickets: TicketOptions;
};

/** Default options. Tickets use at most 15 MB for exact entries, 17 MB for filters and 4 MB for answers; the filters hold 4.8 million orders per repeat window. */
export const defaultFleetClaimOptions: FleetClaimOptions = {
	requestTimeoutMs: 1200,
	storeRegion: undefined,
	journal: defaultJournalOptions,
	tickets: {
		repeatWindowMs: defaultJournalOptions.repeatWindowMs, maxOrders: 200_000, maxFilters: 48, maxAnswersBytes: 4 * 1024 * 1024, maxAnswerBytes: 256 * 1024,
	},
};

type Decision = {readonly reply: ClaimReplyBody; readonly authority: string; readonly reason: string};
type EndMessageType = MessageType.claimComplete | MessageType.claimRelease;

/** Decides claims for the whole fleet: for tickets at the VM they name, for other keys at the owner of their journal partition. */
export class FleetClaimService extends ClaimService {
	readonly #peers: PeerNetwork;
	readonly #timers: TimerService;
	readonly #logger: Logger;
	readonly #options: FleetClaimOptions;
	readonly #journal: JournalAuthority;
	readonly #tickets: TicketAuthority;
	readonly #owners: PartitionOwners;
	readonly #unresponsiveUntilMs = new Map<string, number>();
	/** Open claims that this node granted as an authority, by the claimant's VM. */
	readonly #grantedClaims = new OpenClaims();
	/** Open claims of this VM's entry daemons, by the daemon's incarnation. */
	readonly #entryClaims = new OpenClaims();
	readonly #entryIncarnations: (() => readonly string[]) | undefined;
	readonly #entryLastConnectedAtMs = new Map<string, number>();
	/** Decisions in progress, by claimant and order. */
	readonly #pendingDecisions = new Map<string, Promise<ClaimReplyBody>>();
	readonly #answerHandover: AnswerHandover;
	readonly #cancelTimersAndListeners: Cancel[] = [];
	#ownedPartitions: ReadonlySet<number> = new Set();
	#isOwnershipOutdated = true;

	constructor({peers, store, timers, logger, entryIncarnations}: FleetClaimDependencies, options: Partial<FleetClaimOptions> = {}) {
		super();
		this.#peers = peers;
		this.#timers = timers;
		this.#logger = logger;
		this.#entryIncarnations = entryIncarnations;
		this.#options = {...defaultFleetClaimOptions, ...options};
		this.#owners = new PartitionOwners(peers, this.#options.storeRegion);
		this.#journal = new JournalAuthority(store, timers, peers.incarnation, this.#options.journal);
		this.#answerHandover = new AnswerHandover({
			peers, journal: this.#journal, logger,
		});
		this.#tickets = new TicketAuthority(peers.incarnation, timers, this.#options.tickets);
	}

	/** Size in memory of orders and answers. */
	get sizeBytes(): number {
		return this.#journal.sizeBytes + this.#tickets.sizeBytes;
	}

	/** Starts to handle other nodes' requests and to load the journal of partitions that this node owns. */
	start(): void {
		const authorityOf = (attempt: Attempt) => attempt.key.ticket === undefined ? this.#journal : this.#tickets;
		this.#peers.handle(MessageType.claimRequest, async (body, {vm}) => {
			const attempt = toAttempt(body);
			const reply = await authorityOf(attempt).claim(attempt, body.repeatWindowMs);
			if (reply.state === ClaimState.granted) {
				this.#grantedClaims.add(vm, body, this.#timers.nowMs());
			}

			return reply;
		});
		this.#peers.handle(MessageType.claimComplete, async (body, {vm}) => {
			const attempt = toAttempt(body);
			this.#grantedClaims.remove(vm, body);
			const accepted = await authorityOf(attempt).complete(attempt, body.result, body.answer);
			void this.#handOverAnswers();
			return {accepted};
		});
		this.#peers.handle(MessageType.claimRelease, async (body, {vm}) => {
			const attempt = toAttempt(body);
			this.#grantedClaims.remove(vm, body);
			return {accepted: await authorityOf(attempt).release(attempt)};
		});
		this.#peers.handle(MessageType.claimAnswers, async body => {
			const accepted = body.partition < await this.#journal.partitionCount();
			if (accepted) {
				this.#journal.addAnswers(body);
			}

			return {accepted};
		});
		this.#cancelTimersAndListeners.push(this.#peers.onChange(() => {
			this.#owners.clear();
			this.#isOwnershipOutdated = true;
			this.#abandonClaimsOfDeadVms();
		}), this.#timers.repeat(ownershipCheckIntervalMs, () => {
			this.#grantedClaims.removeGrantedBefore(this.#timers.nowMs() - maxOpenClaimAgeMs);
			this.#abandonClaimsOfDisconnectedEntries();
			void this.#handOverAnswers();
			void this.#checkOwnership();
		}));
		void this.#checkOwnership();
	}

	/** For a graceful shutdown: writes pending completions and releases, and hands answers over to the next owners. */
	async stop(): Promise<void> {
		for (const cancel of this.#cancelTimersAndListeners.splice(0)) {
			cancel();
		}

		await this.#journal.close();
		await this.#answerHandover.run(partition => ownerCandidates(this.#peers, partition, this.#options.storeRegion).find(vm => vm !== this.#peers.self.vm));
	}

	/** Requests the order from the authority of its key; throws `orderKeyInvalid`. Concurrent calls of one claimant share one decision: with two, the second could be refused and the claimant give up while the first grants it the order, which would then stay in progress. */
	async claim(body: ClaimRequestBody): Promise<ClaimReplyBody> {
		const attempt = toAttempt(body);
		const key = claimKey(body);
		const pendingDecision = this.#pendingDecisions.get(key);
		if (pendingDecision !== undefined) {
			return pendingDecision;
		}

		const decision = this.#decide(attempt, body);
		this.#pendingDecisions.set(key, decision);
		try {
			return await decision;
		} finally {
			this.#pendingDecisions.delete(key);
		}
	}

	/** Reports the end of an order to its authority. If that does not answer, a ticket's VM is tried a second time, otherwise the next owner. */
	async complete(body: ClaimCompleteBody): Promise<void> {
		this.#entryClaims.remove(entryIncarnationOf(body.claimant), body);
		await this.#reportEnd(MessageType.claimComplete, body);
	}

	/** Gives a claim back, after waiting for its decision if that is in progress. After this call the claimant must neither run the order nor claim it again. */
	async release(body: ClaimReleaseBody): Promise<void> {
		// A release has no effect before the claim is recorded.
		await this.#pendingDecisions.get(claimKey(body));
		this.#entryClaims.remove(entryIncarnationOf(body.claimant), body);
		await this.#reportEnd(MessageType.claimRelease, body);
	}

	async #decide(attempt: Attempt, body: ClaimRequestBody): Promise<ClaimReplyBody> {
		const startedAtMs = this.#timers.nowMs();
		const {reply, authority, reason} = attempt.key.ticket === undefined
			? await this.#claimFromOwner(attempt, body)
			: await this.#claimFromTicketVm(attempt, body, attempt.key.ticket.vm);
		logDecision(this.#logger, DecisionKind.claim, reason, {
			orderId: attempt.id.hex, workspace: body.workspace, claimant: body.claimant, state: reply.state, authority, tookMs: this.#timers.nowMs() - startedAtMs,
		});
		if (reply.state === ClaimState.granted && this.#entryIncarnations !== undefined) {
			this.#entryClaims.add(entryIncarnationOf(body.claimant), body, this.#timers.nowMs());
		}

		return reply;
	}

	async #claimFromOwner(attempt: Attempt, body: ClaimRequestBody): Promise<Decision> {
		let lastTriedVm = '';
		let mayBeRecorded = false;
		const owners = await this.#ownersOf(attempt);
		for (const vm of [...owners.filter(owner => !this.#isUnresponsive(owner)), ...owners.filter(owner => this.#isUnresponsive(owner))]) {
			const reply = await this.#requestClaim(vm, body);
			lastTriedVm = vm;
			if (reply === undefined) {
				this.#unresponsiveUntilMs.set(vm, this.#timers.nowMs() + unresponsiveOwnerMs);
			} else {
				this.#unresponsiveUntilMs.delete(vm);
			}

			if (reply !== undefined && reply.state !== ClaimState.unavailable) {
				return {reply: mayBeRecorded && reply.state !== ClaimState.granted ? {...reply, mayBeRecorded} : reply, authority: vm, reason: 'journal'};
			}

			mayBeRecorded = true;
		}

		return {
			reply: {...replyWithoutAnswer(ClaimState.unavailable), mayBeRecorded},
			authority: lastTriedVm,
			reason: lastTriedVm === '' ? 'journal layout or owners are not known' : 'no owner could write the claim',
		};
	}

	async #claimFromTicketVm(attempt: Attempt, body: ClaimRequestBody, vm: string): Promise<Decision> {
		if (!this.#peers.members().some(({record}) => record.vm === vm)) {
			return {reply: replyWithoutAnswer(ClaimState.unknown), authority: vm, reason: 'the VM named in the ticket is not known'};
		}

		// Grants are idempotent for one claimant, so a retry after a lost reply is granted again.
		const reply = await this.#requestClaim(vm, body) ?? await this.#requestClaim(vm, body);
		if (reply === undefined) {
			return {reply: {...replyWithoutAnswer(ClaimState.unknown), mayBeRecorded: true}, authority: vm, reason: 'the VM named in the ticket does not answer'};
		}

		return {reply, authority: vm, reason: 'ticket'};
	}

	async #requestClaim(vm: string, body: ClaimRequestBody): Promise<ClaimReplyBody | undefined> {
		try {
			return await this.#peers.request(vm, MessageType.claimRequest, body, this.#options.requestTimeoutMs);
		} catch (error) {
			this.#logger.debug({err: error, vm}, 'claim request failed');
			return undefined;
		}
	}

	#isUnresponsive(vm: string): boolean {
		return (this.#unresponsiveUntilMs.get(vm) ?? 0) > this.#timers.nowMs();
	}

	async #reportEnd<Type extends EndMessageType>(type: Type, body: MessageBodies[Type]): Promise<void> {
		const attempt = toAttempt(body);
		const {ticket} = attempt.key;
		const vms = ticket === undefined ? await this.#ownersOf(attempt) : [ticket.vm, ticket.vm];
		for (const vm of vms) {
			try {
				await this.#peers.request(vm, type, body, this.#options.requestTimeoutMs);
				return;
			} catch (error) {
				this.#logger.debug({err: error, vm, orderId: attempt.id.hex}, 'end of an order was not accepted');
			}
		}
	}

	async #handOverAnswers(): Promise<void> {
		await this.#answerHandover.run(partition => this.#owners.preferredOwners(partition)[0]);
	}

	/** Records the open claims of dead VMs as unknown, because their end may never be reported. A VM that was only cut off may report later; a complete answer then replaces the unknown result. */
	#abandonClaimsOfDeadVms(): void {
		const {holders} = this.#grantedClaims;
		for (const vm of holders.length === 0 ? [] : holders.filter(holder => this.#peers.member(holder)?.state === MemberState.dead)) {
			const claims = this.#grantedClaims.removeAllOf(vm);
			logDecision(this.#logger, DecisionKind.claim, 'the VM with the claims is dead; their results are unknown', {vm, claims: claims.length});
			for (const body of claims) {
				const attempt = toAttempt(body);
				const authority = attempt.key.ticket === undefined ? this.#journal : this.#tickets;
				void authority.complete(attempt, OrderResult.unknown, undefined);
			}
		}
	}

	/** Reports the open claims of this VM's disconnected entry daemons as unknown: at once if another daemon is connected, otherwise after `entryDisconnectTimeoutMs`. */
	#abandonClaimsOfDisconnectedEntries(): void {
		const nowMs = this.#timers.nowMs();
		this.#entryClaims.removeGrantedBefore(nowMs - maxOpenClaimAgeMs);
		const connected = this.#entryIncarnations?.() ?? [];
		for (const incarnation of connected) {
			this.#entryLastConnectedAtMs.set(incarnation, nowMs);
		}

		for (const incarnation of this.#entryClaims.holders) {
			const lastConnectedAtMs = this.#entryLastConnectedAtMs.get(incarnation);
			if (lastConnectedAtMs === undefined) {
				this.#entryLastConnectedAtMs.set(incarnation, nowMs);
			} else if (!connected.includes(incarnation) && (connected.length > 0 || nowMs - lastConnectedAtMs >= entryDisconnectTimeoutMs)) {
				const claims = this.#entryClaims.removeAllOf(incarnation);
				logDecision(this.#logger, DecisionKind.claim, 'the entry daemon with the claims is gone; their results are unknown', {incarnation, claims: claims.length});
				for (const body of claims) {
					void this.complete({...body, result: OrderResult.unknown, answer: undefined});
				}
			}
		}

		for (const [incarnation, lastConnectedAtMs] of this.#entryLastConnectedAtMs) {
			if (nowMs - lastConnectedAtMs > maxOpenClaimAgeMs) {
				this.#entryLastConnectedAtMs.delete(incarnation);
			}
		}
	}

	async #ownersOf(attempt: Attempt): Promise<string[]> {
		try {
			return this.#owners.preferredOwners(await this.#journal.partitionOf(attempt.id));
		} catch (error) {
			this.#logger.debug({err: error}, 'journal layout is not known');
			return [];
		}
	}

	#setOwnedPartitions(owned: ReadonlySet<number>): void {
		const gained = [...owned].filter(partition => !this.#ownedPartitions.has(partition));
		const lost = [...this.#ownedPartitions].filter(partition => !owned.has(partition));
		if (gained.length > 0 || lost.length > 0) {
			logDecision(this.#logger, DecisionKind.placement, 'first in hash order among live nodes', {gainedPartitions: gained, lostPartitions: lost});
		}

		this.#ownedPartitions = owned;
	}

	async #checkOwnership(): Promise<void> {
		this.#journal.unloadIdle(this.#ownedPartitions);
		if (!this.#isOwnershipOutdated) {
			return;
		}

		try {
			const partitions = await this.#journal.partitionCount();
			this.#isOwnershipOutdated = false;
			const allPartitions = Array.from({length: partitions}, (_, partition) => partition);
			this.#setOwnedPartitions(new Set(allPartitions.filter(partition => this.#owners.preferredOwners(partition)[0] === this.#peers.self.vm)));
			await Promise.all([...this.#ownedPartitions].map(async partition => this.#journal.preload(partition)));
		} catch (error) {
			this.#logger.debug({err: error}, 'journal layout is not known');
		}
	}
}

function toAttempt({workspace, orderKey, claimant, contentHash = 0}: Pick<ClaimRequestBody, 'workspace' | 'orderKey' | 'claimant'> & {readonly contentHash?: number}): Attempt {
	const key = parseOrderKey(orderKey);
	return {
		key, id: orderId(workspace, key.text), claimant: claimantDigest(claimant), contentHash,
	};
}

function claimKey({workspace, orderKey, claimant}: ClaimReleaseBody): string {
	return JSON.stringify([claimant, orderKey, workspace]);
}

/** The entry daemon's incarnation from a claimant of the form `incarnation.number`. */
function entryIncarnationOf(claimant: string): string {
	return claimant.slice(0, Math.max(0, claimant.lastIndexOf('.')));
}
