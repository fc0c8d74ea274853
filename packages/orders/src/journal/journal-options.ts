/** Limits and timing of the journal. */
export type JournalOptions = {
	/** Number of partitions of a new journal; the stored number is used if the store contains one. */
	readonly partitions: number;
	/** Time for which exact entries of orders are retained. */
	readonly repeatWindowMs: number;
	/** A claim that is not written within this time is answered as unavailable. */
	readonly claimTimeoutMs: number;
	/** Minimum time between the starts of two writes of a partition. */
	readonly minWriteIntervalMs: number;
	/** Maximum time for which completions and releases wait for a claim, to be written in the same batch. */
	readonly endDelayMs: number;
	/** The tail is sealed into a segment when its records would exceed this size. Each batch rewrites the tail, so a larger tail costs bandwidth. */
	readonly maxTailBytes: number;
	/** Small segments are merged when their total size reaches this size without exceeding `maxSegmentBytes`. */
	readonly minMergedBytes: number;
	readonly maxSegmentBytes: number;
	/** Maximum number of records in a batch. */
	readonly maxBatchRecords: number;
	/** Maximum number of queued operations per partition; further claims are answered as unavailable. */
	readonly maxQueueLength: number;
	/** Maximum total size of first answers cached in memory, per partition. */
	readonly maxAnswersBytes: number;
	readonly maxAnswerBytes: number;
	/** Maximum total size of first answers stored in the tail. */
	readonly maxTailAnswersBytes: number;
	readonly maxTailAnswerBytes: number;
	/** Maximum number of concurrent store reads while a partition is loaded. */
	readonly readConcurrency: number;
	/** A partition that this node does not own is unloaded after it was not used for this time. */
	readonly idleUnloadMs: number;
};

const kibibyte = 1024;

/** Defaults; 4 partitions at 25 ms use up to 160 writes/s of the several hundred that the store allows in total. */
export const defaultJournalOptions: JournalOptions = {
	partitions: 4,
	repeatWindowMs: 86_400_000,
	claimTimeoutMs: 900,
	minWriteIntervalMs: 25,
	endDelayMs: 250,
	maxTailBytes: 36 * kibibyte,
	minMergedBytes: 400 * kibibyte,
	maxSegmentBytes: 640 * kibibyte,
	maxBatchRecords: 2000,
	maxQueueLength: 20_000,
	maxAnswersBytes: 2048 * kibibyte,
	maxAnswerBytes: 256 * kibibyte,
	maxTailAnswersBytes: 16 * kibibyte,
	maxTailAnswerBytes: kibibyte,
	readConcurrency: 8,
	idleUnloadMs: 60_000,
};
