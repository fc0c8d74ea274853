import {type Logger, type Metrics, type TimerService} from '@fescuewick/core';
import {type Transport} from '@fescuewick/wire';
import {z} from 'zod';

const endpoint = z.strictObject({host: z.string().min(1), port: z.int().min(0).max(65_535)});
const milliseconds = z.int().positive().max(3_600_000);
const bytes = z.int().positive();

const limitsSchema = z.strictObject({
	maxHeaderBytes: bytes.default(16_384),
	headerTimeMs: milliseconds.default(5000),
	maxBodyBytes: bytes.default(8_388_608),
	bodyTimeMs: milliseconds.default(10_000),
	/** Bodies up to this size are buffered until the request ends, so that the request can be retried. */
	maxReplayBytes: bytes.default(65_536),
	/** Total size of the buffered bodies of all requests. */
	maxHeldBytes: bytes.default(67_108_864),
	maxCallerConnections: z.int().positive().default(10_000),
	/** Idle connections of callers are closed after this time, which is announced to them. */
	keepAliveMs: milliseconds.default(5000),
	/** Longest queue of a workspace in one service. */
	maxQueuedRequests: z.int().positive().default(1000),
	connectMs: milliseconds.default(1000),
	claimMs: milliseconds.default(1000),
	maxStoredAnswerBytes: z.int().min(0).default(16_384),
	/** Longest time for which a request waits for a rate token. */
	rateWaitMs: z.int().min(0).max(10_000).default(100),
	/** A draining VM accepts requests for this time: the time to live of look-up answers plus 2 s. */
	drainAcceptMs: z.int().min(0).default(7000),
	/** After this time, a drain closes the remaining connections. */
	drainMaxMs: milliseconds.default(120_000),
});

/** Settings of an entry daemon. */
export const entrySettingsSchema = z.strictObject({
	location: z.strictObject({vm: z.string().min(1), failureDomain: z.string().min(1), region: z.string().min(1)}),
	listen: endpoint,
	adminListen: endpoint,
	controlAddress: z.string().min(1),
	probePath: z.string().startsWith('/').default('/healthz'),
	limits: limitsSchema.prefault({}),
});

/** Settings after defaults are filled in. */
export type EntrySettings = z.output<typeof entrySettingsSchema>;
/** Settings before defaults are filled in. */
export type EntrySettingsInput = z.input<typeof entrySettingsSchema>;
/** Time and size limits of an entry daemon. */
export type EntryLimits = EntrySettings['limits'];

/** Dependencies of an entry daemon. */
export type EntryDeps = {
	readonly timers: TimerService;
	readonly transport: Transport;
	readonly logger: Logger;
	/** Returns a number in [0, 1). */
	readonly random: () => number;
	readonly metrics?: Metrics;
};
