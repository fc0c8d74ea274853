import {FescuewickError, ResultCode, type TimerService} from '@fescuewick/core';
import {ClaimState, type ClaimReplyBody, type StoredAnswer} from '@fescuewick/wire';
import {AnswerCache} from '../answers/answer-cache.js';
import {
	canRecordEnd, contentHashesDiffer, replyForEntry, replyWithoutAnswer, type Attempt,
} from '../claim-authority.js';
import {EntryState} from '../claim-table/claim-table.js';
import {isSameClaimant} from '../order-key/order-id.js';
import {endStates} from './journal-index.js';
import {type JournalObjects} from './journal-objects.js';
import {type JournalOptions} from './journal-options.js';
import {RecordKind, type EndKind} from './journal-record.js';
import {OperationQueue, type Operation} from './operation-queue.js';
import {PartitionLog} from './partition-log.js';
import {WritePacer} from './write-pacer.js';

/** Maximum age of the confirmed journal state for answering a repeat from memory; if it is older, the tail is read first. */
const maxStateAgeMs = 1000;
/** Time for which completions and releases are retried while the store does not accept them. */
const endTimeoutMs = 60_000;
const retryIntervalMs = 1000;
const firstRetryDelayMs = 100;
/** Two failures within this time count as an outage of the store. */
const outageWindowMs = 2000;
/** Minimum time between attempts to reach the store in an outage, independent of the rate of claims. */
const outageProbeIntervalMs = 250;
const maxFlushAttempts = 40;

/** Codes of write errors after which loading the journal shows whether the write took effect. */
const resolvedByReload = new Set<unknown>([ResultCode.storeConflict, ResultCode.storeOutcomeUnknown, ResultCode.storeTimeout]);

/**
Decides the orders of one partition.

A claim is granted only after a conditional write that contains it took effect, and operations are decided against exactly the state that the write is conditional on. It therefore does not matter whether another node also believes that it owns the partition, or for how long this one was paused.
*/
export class JournalPartition {
	/** First answers cached in memory. */
	readonly answers: AnswerCache;
	readonly #timers: TimerService;
	readonly #options: JournalOptions;
	readonly #log: PartitionLog;
	readonly #pacer: WritePacer;
	readonly #queue: OperationQueue;
	#isBusy = false;
	#isWritingScheduled = false;
	#isClosed = false;
	#endDelayMs: number;
	#isOutage = false;
	#failedAtMs = Number.NEGATIVE_INFINITY;
	#lastUsedMs: number;

	constructor(timers: TimerService, objects: JournalObjects, options: JournalOptions, nextName: () => string) {
		this.#timers = timers;
		this.#options = options;
		this.#pacer = new WritePacer(timers, options.minWriteIntervalMs);
		this.#log = new PartitionLog({
			timers, objects, options, pacer: this.#pacer, nextName,
		});
		this.#queue = new OperationQueue(timers);
		this.answers = new AnswerCache(options.maxAnswersBytes, options.maxAnswerBytes);
		this.#endDelayMs = options.endDelayMs;
		this.#lastUsedMs = timers.nowMs();
	}

	/** Number of exact entries, without orders in filters. */
	get orderCount(): number {
		return this.#log.index.orderCount;
	}

	get sizeBytes(): number {
		return this.#log.sizeBytes + this.answers.sizeBytes;
	}

	/** Monotonic time of the last request. */
	get lastUsedMs(): number {
		return this.#lastUsedMs;
	}

	get isIdle(): boolean {
		return !this.#isBusy && this.#queue.length === 0;
	}

	async claim(attempt: Attempt, repeatWindowMs: number): Promise<ClaimReplyBody> {
		this.#lastUsedMs = this.#timers.nowMs();
		const pending = this.#queue.pendingClaim(attempt.id.hex);
		if (pending !== undefined) {
			if (!isSameClaimant(pending.operation.attempt.claimant, attempt.claimant)) {
				return replyWithoutAnswer(contentHashesDiffer(pending.operation.attempt.contentHash, attempt.contentHash) ? ClaimState.contentDiffers : ClaimState.inProgress);
			}

			const {reply} = await pending.result;
			return reply;
		}

		const repeatWindowS = Math.min(repeatWindowMs, this.#options.repeatWindowMs) / 1000;
		const decidedReply = this.#replyFromState(attempt, repeatWindowS);
		if (decidedReply !== undefined && (decidedReply.state === ClaimState.done || this.#isStateFreshAt(this.#timers.nowMs()))) {
			return decidedReply;
		}

		if (this.#isClosed || this.#queue.length >= this.#options.maxQueueLength) {
			return replyWithoutAnswer(ClaimState.unavailable);
		}

		const result = this.#queue.add({
			kind: RecordKind.claim, attempt, repeatWindowS, answer: undefined,
		}, this.#options.claimTimeoutMs);
		this.#startWriting();
		const {reply} = await result;
		return reply;
	}

	/** Queues a completion or release; resolves with whether its record was written to the journal. A completion applies to repeats even before it is written. */
	async endClaim(kind: EndKind, attempt: Attempt, answer: StoredAnswer | undefined): Promise<boolean> {
		this.#lastUsedMs = this.#timers.nowMs();
		const claim = this.#queue.pendingClaim(attempt.id.hex)?.operation;
		if (kind === RecordKind.release && claim !== undefined && isSameClaimant(claim.attempt.claimant, attempt.claimant)) {
			// The claimant no longer waits for the claim; if the claim is being written, the release is written after it.
			claim.settle(false);
		}

		if (this.#isClosed || this.#queue.length >= this.#options.maxQueueLength) {
			return false;
		}

		const result = this.#queue.add({
			kind, attempt, repeatWindowS: 0, answer,
		}, endTimeoutMs);
		if (kind === RecordKind.done && answer !== undefined && this.#canEnd(kind, attempt)) {
			this.answers.add(attempt.id.hex, answer);
		}

		this.#scheduleWriting(this.#endDelayMs);
		const {isWritten} = await result;
		return isWritten;
	}

	/** Reads the journal before the first claim; errors are ignored here and reported by the claims. */
	async preload(): Promise<void> {
		if (this.#log.isLoaded || this.#isBusy) {
			return;
		}

		this.#isBusy = true;
		try {
			await this.#log.load();
		} catch {
			// The next claim reads again and reports the failure.
		} finally {
			this.#isBusy = false;
		}

		this.#startWriting();
	}

	/** Writes queued operations without further delay and settles the rest as not written; nothing is written after it. */
	async close(): Promise<void> {
		await this.#flush();
		this.#isClosed = true;
		this.#queue.settleAllAsNotWritten();
	}

	async #flush(): Promise<void> {
		this.#endDelayMs = 0;
		for (let attempt = 0; attempt < maxFlushAttempts && !this.isIdle; attempt++) {
			await this.#writeQueued();
			await this.#timers.sleep(this.#options.minWriteIntervalMs);
		}
	}

	#startWriting(): void {
		void this.#writeQueued();
	}

	#scheduleWriting(delayMs: number): void {
		if (!this.#isWritingScheduled && !this.#isClosed) {
			this.#isWritingScheduled = true;
			this.#timers.after(delayMs, () => {
				this.#isWritingScheduled = false;
				this.#startWriting();
			});
		}
	}

	async #writeQueued(): Promise<void> {
		if (this.#isBusy) {
			return;
		}

		this.#isBusy = true;
		let canContinue = true;
		while (canContinue && this.#queue.isDue(this.#endDelayMs)) {
			canContinue = await this.#writeNextBatch();
			if (canContinue) {
				await this.#removeGarbage();
			}
		}

		this.#isBusy = false;
		if (this.#queue.length > 0) {
			this.#scheduleWriting(this.#queue.pendingClaimCount > 0 ? this.#endDelayMs : retryIntervalMs);
		}
	}

	/** Writes one batch; returns false if the store is in an outage. */
	async #writeNextBatch(): Promise<boolean> {
		if (this.#isOutage && this.#timers.nowMs() - this.#failedAtMs < outageProbeIntervalMs) {
			this.#settleClaimsInOutage();
			return false;
		}

		// Waits before the read rather than after it, because another owner's write between read and write makes the write fail.
		await this.#pacer.waitForTurn();
		try {
			if (!this.#log.isLoaded || this.#queue.needsConfirmationAfter(this.#log.confirmedAtMs)) {
				await this.#log.load();
			}
		} catch {
			return this.#handleStoreFailure();
		}

		const batch = this.#takeBatch();
		if (batch.length === 0) {
			return true;
		}

		try {
			await this.#write(batch);
			this.#isOutage = false;
			this.#pacer.decreaseInterval();
			return true;
		} catch (error) {
			this.#queue.putBack(batch);
			if (error instanceof FescuewickError && resolvedByReload.has(error.code)) {
				if (error.code === ResultCode.storeConflict) {
					this.#pacer.increaseInterval();
				}

				return true;
			}

			return this.#handleStoreFailure();
		}
	}

	/** Returns true after a delay, for one retry, if the failure may be transient, such as an exceeded rate limit; in an outage fails the claims at once and returns false. */
	async #handleStoreFailure(): Promise<boolean> {
		const nowMs = this.#timers.nowMs();
		this.#isOutage = nowMs - this.#failedAtMs < outageWindowMs;
		this.#failedAtMs = nowMs;
		if (this.#isOutage) {
			this.#settleClaimsInOutage();
			return false;
		}

		await this.#timers.sleep(firstRetryDelayMs);
		return true;
	}

	async #write(batch: readonly Operation[]): Promise<void> {
		const timeS = this.#log.nowS;
		await this.#log.append(batch.map(({kind, attempt: {id, claimant, contentHash}, answer}) => ({
			record: {
				kind, words: id.words, claimant, timeS, contentHash,
			},
			answerId: id.hex,
			answer,
		})));
		for (const operation of batch) {
			operation.settle(true, replyWithoutAnswer(ClaimState.granted));
		}
	}

	/** Settles the operations that the journal already decides; returns those to be written, at most one per order. */
	#takeBatch(): Operation[] {
		const batch: Operation[] = [];
		const deferred: Operation[] = [];
		const ids = new Set<string>();
		for (const operation of this.#queue.takeAll()) {
			const {hex} = operation.attempt.id;
			if (batch.length >= this.#options.maxBatchRecords || ids.has(hex)) {
				deferred.push(operation);
				continue;
			}

			if (this.#isToBeWritten(operation)) {
				ids.add(hex);
				batch.push(operation);
			} else if (!operation.isSettled) {
				deferred.push(operation);
			}
		}

		this.#queue.putBack(deferred);
		return batch;
	}

	/** Whether to write an operation; otherwise settles it, or defers it until a newer state of the journal is loaded. */
	#isToBeWritten(operation: Operation): boolean {
		const {kind, attempt, repeatWindowS, queuedAtMs, answer} = operation;
		if (kind === RecordKind.claim) {
			const decidedReply = this.#replyFromState(attempt, repeatWindowS);
			if (decidedReply === undefined) {
				return true;
			}

			if (decidedReply.state === ClaimState.done || this.#isStateFreshAt(queuedAtMs)) {
				operation.settle(false, decidedReply);
			} else {
				operation.verifyAfterMs = queuedAtMs;
			}

			return false;
		}

		if (this.#canEnd(kind, attempt)) {
			if (kind === RecordKind.done && answer !== undefined) {
				this.answers.add(attempt.id.hex, answer);
			}

			return true;
		}

		if (this.#log.confirmedAtMs >= queuedAtMs) {
			operation.settle(false);
		} else {
			// Another owner may have written the claim since the state was confirmed.
			operation.verifyAfterMs = queuedAtMs;
		}

		return false;
	}

	/** The reply for an order that the journal or a queued completion decides; undefined if the claim may be granted. */
	#replyFromState(attempt: Attempt, repeatWindowS: number): ClaimReplyBody | undefined {
		const {id} = attempt;
		const {index, nowS} = this.#log;
		const entry = index.get(id);
		if (entry !== undefined && entry.state !== EntryState.released && entry.claimedAtS + repeatWindowS <= nowS) {
			return replyWithoutAnswer(ClaimState.expired);
		}

		const completion = this.#queue.pendingCompletion(id.hex);
		const endState = completion === undefined ? undefined : endStates[completion.kind as EndKind];
		const isEnded = entry !== undefined && endState !== undefined && canRecordEnd(entry, completion!.attempt.claimant, endState);
		const reply = entry === undefined ? undefined : replyForEntry(isEnded ? {...entry, state: endState} : entry, attempt, (nowS - entry.claimedAtS) * 1000);
		if (reply !== undefined) {
			return reply.state === ClaimState.done ? {...reply, answer: this.answers.get(id.hex) ?? this.#log.answerOf(id.hex)} : reply;
		}

		return index.isInFilter(id) ? replyWithoutAnswer(ClaimState.expired) : undefined;
	}

	#canEnd(kind: EndKind, {id, claimant}: Attempt): boolean {
		return canRecordEnd(this.#log.index.get(id), claimant, endStates[kind]);
	}

	/** Whether the state was confirmed at most `maxStateAgeMs` before the given time, or later. */
	#isStateFreshAt(atMs: number): boolean {
		return this.#log.isLoaded && this.#log.confirmedAtMs >= atMs - maxStateAgeMs;
	}

	/** Settles queued claims in an outage: from the loaded state of the order, or as unavailable if that does not decide it. */
	#settleClaimsInOutage(): void {
		const operations = this.#queue.takeAll();
		for (const operation of operations) {
			if (operation.kind === RecordKind.claim) {
				operation.settle(false, this.#replyFromState(operation.attempt, operation.repeatWindowS));
			}
		}

		this.#queue.putBack(operations);
	}

	async #removeGarbage(): Promise<void> {
		while (this.#log.garbage.length > 0 && !this.#queue.isDue(this.#endDelayMs)) {
			try {
				await this.#log.removeGarbage();
			} catch {
				// The object stays in the store; nothing refers to it.
				return;
			}
		}
	}
}
