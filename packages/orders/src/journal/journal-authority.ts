import {
	FescuewickError, hashFraction, incarnationId, ResultCode, type Incarnation, type TimerService,
} from '@fescuewick/core';
import {absentVersion, type ObjectStore} from '@fescuewick/store';
import {
	ClaimState, OrderResult, type ClaimAnswersBody, type ClaimReplyBody, type StoredAnswer,
} from '@fescuewick/wire';
import {ClaimAuthority, replyWithoutAnswer, type Attempt} from '../claim-authority.js';
import {type OrderId} from '../order-key/order-id.js';
import {JournalObjects} from './journal-objects.js';
import {type JournalOptions} from './journal-options.js';
import {JournalPartition} from './journal-partition.js';
import {RecordKind, type EndKind} from './journal-record.js';

const layoutKey = 'orders/layout';
const firstLayoutRetryMs = 250;
const maxLayoutRetryMs = 5000;

/** Decides orders with caller keys by means of a journal in the store. Any node decides correctly; the node that owns the partition decides with the lowest latency. */
export class JournalAuthority extends ClaimAuthority {
	readonly #store: ObjectStore;
	readonly #timers: TimerService;
	readonly #options: JournalOptions;
	readonly #writerId: string;
	readonly #partitions = new Map<number, JournalPartition>();
	#layout: Promise<number> | undefined;
	#layoutFailures = 0;
	#layoutRetryAtMs = Number.NEGATIVE_INFINITY;
	#nameCount = 0;

	constructor(store: ObjectStore, timers: TimerService, incarnation: Incarnation, options: JournalOptions) {
		super();
		this.#store = store;
		this.#timers = timers;
		this.#options = options;
		this.#writerId = incarnationId(incarnation);
	}

	/** Size of the partitions in memory. */
	get sizeBytes(): number {
		let bytes = 0;
		for (const partition of this.#partitions.values()) {
			bytes += partition.sizeBytes;
		}

		return bytes;
	}

	/** Number of exact entries of the partitions in memory, without orders in filters. */
	get orderCount(): number {
		let orders = 0;
		for (const partition of this.#partitions.values()) {
			orders += partition.orderCount;
		}

		return orders;
	}

	/** Number of partitions; throws store errors while it is not known. */
	async partitionCount(): Promise<number> {
		if (this.#layout === undefined && this.#timers.nowMs() < this.#layoutRetryAtMs) {
			throw new FescuewickError(ResultCode.storeUnavailable, 'orders/layout could not be read; the next attempt is delayed');
		}

		this.#layout ??= this.#readLayout();
		try {
			return await this.#layout;
		} catch (error) {
			if (this.#layout !== undefined) {
				this.#layout = undefined;
				this.#layoutFailures++;
				this.#layoutRetryAtMs = this.#timers.nowMs() + this.#layoutRetryDelayMs();
			}

			throw error;
		}
	}

	/** The partition of an order; uses other bits of the id than the hash tables and filters. */
	async partitionOf({words}: OrderId): Promise<number> {
		return words[3] % await this.partitionCount();
	}

	async claim(attempt: Attempt, repeatWindowMs: number): Promise<ClaimReplyBody> {
		let number: number;
		try {
			number = await this.partitionOf(attempt.id);
		} catch {
			return replyWithoutAnswer(ClaimState.unavailable);
		}

		return this.#partition(number).claim(attempt, repeatWindowMs);
	}

	async complete(attempt: Attempt, result: OrderResult, answer: StoredAnswer | undefined): Promise<boolean> {
		return this.#end(result === OrderResult.unknown ? RecordKind.unknown : RecordKind.done, attempt, answer);
	}

	async release(attempt: Attempt): Promise<boolean> {
		return this.#end(RecordKind.release, attempt, undefined);
	}

	/** Reads a partition before its first claim. */
	async preload(partition: number): Promise<void> {
		await this.#partition(partition).preload();
	}

	/** Partitions in memory. */
	get loadedPartitions(): number[] {
		return [...this.#partitions.keys()];
	}

	/** First answers of a partition that are cached in memory. */
	cachedAnswers(partition: number): ClaimAnswersBody['answers'] {
		return [...this.#partitions.get(partition)?.answers.entries() ?? []].map(([id, answer]) => ({orderId: id, answer}));
	}

	/** Caches answers that another node handed over; they are returned only for orders that are done according to the journal. */
	addAnswers({partition, answers}: ClaimAnswersBody): void {
		for (const {orderId, answer} of answers) {
			this.#partition(partition).answers.add(orderId, answer);
		}
	}

	/** Unloads partitions that are not in `owned` and have not been used for `idleUnloadMs`; their state is in the store. */
	unloadIdle(owned: ReadonlySet<number>): void {
		const usedSinceMs = this.#timers.nowMs() - this.#options.idleUnloadMs;
		for (const [number, partition] of this.#partitions) {
			if (!owned.has(number) && partition.isIdle && partition.lastUsedMs < usedSinceMs) {
				this.#partitions.delete(number);
			}
		}
	}

	/** Writes queued completions and releases; those that the store does not accept now are abandoned. */
	async close(): Promise<void> {
		await Promise.all([...this.#partitions.values()].map(async partition => partition.close()));
	}

	async #end(kind: EndKind, attempt: Attempt, answer: StoredAnswer | undefined): Promise<boolean> {
		try {
			return await this.#partition(await this.partitionOf(attempt.id)).endClaim(kind, attempt, answer);
		} catch {
			return false;
		}
	}

	#partition(number: number): JournalPartition {
		let partition = this.#partitions.get(number);
		if (partition === undefined) {
			const objects = new JournalObjects(this.#store, number, this.#options.readConcurrency);
			partition = new JournalPartition(this.#timers, objects, this.#options, () => `${this.#writerId}-${(this.#nameCount++).toString(36)}`);
			this.#partitions.set(number, partition);
		}

		return partition;
	}

	// Jitter keeps nodes that start during an outage from reading simultaneously afterwards.
	#layoutRetryDelayMs(): number {
		const jitter = 0.5 + hashFraction(`${this.#writerId}/${this.#layoutFailures}`);
		return Math.min(maxLayoutRetryMs, firstLayoutRetryMs * (2 ** this.#layoutFailures)) * jitter;
	}

	// With another number of partitions, earlier orders would be looked up in the wrong partition, so the stored number overrides the setting.
	async #readLayout(): Promise<number> {
		const stored = await this.#store.read(layoutKey);
		if (stored !== undefined) {
			return parsePartitionCount(stored.value);
		}

		try {
			await this.#store.write(layoutKey, {partitions: this.#options.partitions}, absentVersion);
			return this.#options.partitions;
		} catch (error) {
			const current = await this.#store.read(layoutKey);
			if (current === undefined) {
				throw error;
			}

			return parsePartitionCount(current.value);
		}
	}
}

function parsePartitionCount(value: unknown): number {
	const {partitions} = value as {partitions?: unknown};
	if (typeof partitions !== 'number' || !Number.isInteger(partitions) || partitions < 1) {
		throw new FescuewickError(ResultCode.storeMalformed, `${layoutKey} has no valid number of partitions, found ${String(partitions)}`);
	}

	return partitions;
}
