import {type Cancel, type TimerService} from '@fescuewick/core';
import {ClaimState, type ClaimReplyBody, type StoredAnswer} from '@fescuewick/wire';
import {replyWithoutAnswer, type Attempt} from '../claim-authority.js';
import {RecordKind} from './journal-record.js';

/** A queued claim, completion or release. */
export type Operation = {
	readonly kind: RecordKind;
	readonly attempt: Attempt;
	readonly repeatWindowS: number;
	readonly answer: StoredAnswer | undefined;
	readonly queuedAtMs: number;
	/** The operation is decided only from a journal state that was confirmed at or after this time. */
	verifyAfterMs: number;
	isSettled: boolean;
	/** Settles the operation; `isWritten` is whether its record was written to the journal. */
	settle(isWritten: boolean, reply?: ClaimReplyBody): void;
};

/** Result of an operation. */
export type Settlement = {readonly isWritten: boolean; readonly reply: ClaimReplyBody};

/** Operations of a partition in order of arrival, each with a timeout. */
export class OperationQueue {
	readonly #timers: TimerService;
	readonly #claims = new Map<string, {operation: Operation; result: Promise<Settlement>}>();
	readonly #endOperations = new Map<string, Operation>();
	#operations: Operation[] = [];

	constructor(timers: TimerService) {
		this.#timers = timers;
	}

	get length(): number {
		return this.#operations.length;
	}

	/** Number of undecided claims. */
	get pendingClaimCount(): number {
		return this.#claims.size;
	}

	/** The undecided claim of an order, including one that is being written. */
	pendingClaim(id: string): {operation: Operation; result: Promise<Settlement>} | undefined {
		return this.#claims.get(id);
	}

	/** The completion of an order, with a known or unknown result, that is not written yet. */
	pendingCompletion(id: string): Operation | undefined {
		const operation = this.#endOperations.get(id);
		return operation?.kind === RecordKind.release ? undefined : operation;
	}

	/** Adds an operation; it is settled as not written after `timeoutMs`. */
	async add(fields: Pick<Operation, 'kind' | 'attempt' | 'repeatWindowS' | 'answer'>, timeoutMs: number): Promise<Settlement> {
		const {hex} = fields.attempt.id;
		let cancel: Cancel;
		const result = new Promise<Settlement>(resolve => {
			const operation: Operation = {
				...fields,
				queuedAtMs: this.#timers.nowMs(),
				verifyAfterMs: Number.NEGATIVE_INFINITY,
				isSettled: false,
				settle: (isWritten, reply = replyWithoutAnswer(ClaimState.unavailable)) => {
					if (!operation.isSettled) {
						operation.isSettled = true;
						cancel();
						this.#remove(operation);
						resolve({isWritten, reply});
					}
				},
			};
			cancel = this.#timers.after(timeoutMs, () => {
				operation.settle(false);
			});
			this.#operations.push(operation);
			if (operation.kind !== RecordKind.claim) {
				this.#endOperations.set(hex, operation);
			}
		});
		const added = this.#operations.at(-1)!;
		if (added.kind === RecordKind.claim) {
			this.#claims.set(hex, {operation: added, result});
		}

		return result;
	}

	/** Takes all operations that are not settled. */
	takeAll(): Operation[] {
		const operations = this.#operations.filter(({isSettled}) => !isSettled);
		this.#operations = [];
		return operations;
	}

	/** Puts operations back in front of those that arrived since. */
	putBack(operations: readonly Operation[]): void {
		this.#operations = [...operations.filter(({isSettled}) => !isSettled), ...this.#operations];
	}

	/** Whether a write is due: a claim is queued, or a completion or release has waited for `endDelayMs`. */
	isDue(endDelayMs: number): boolean {
		const nowMs = this.#timers.nowMs();
		return this.#operations.some(({isSettled, kind, queuedAtMs}) => !isSettled && (kind === RecordKind.claim || queuedAtMs + endDelayMs <= nowMs));
	}

	/** Whether an operation needs a journal state that was confirmed after `confirmedAtMs`. */
	needsConfirmationAfter(confirmedAtMs: number): boolean {
		return this.#operations.some(({isSettled, verifyAfterMs}) => !isSettled && verifyAfterMs > confirmedAtMs);
	}

	/** Settles all operations, including those being written, as not written. */
	settleAllAsNotWritten(): void {
		const unsettled = [...this.#operations, ...[...this.#claims.values()].map(({operation}) => operation), ...this.#endOperations.values()];
		this.#operations = [];
		for (const operation of unsettled) {
			operation.settle(false);
		}
	}

	#remove(operation: Operation): void {
		const {hex} = operation.attempt.id;
		if (this.#claims.get(hex)?.operation === operation) {
			this.#claims.delete(hex);
		}

		if (this.#endOperations.get(hex) === operation) {
			this.#endOperations.delete(hex);
		}
	}
}
