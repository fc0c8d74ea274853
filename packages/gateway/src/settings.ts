import {z} from 'zod';

const address = z.string().regex(/^[^:]+:\d+$/, 'must be ip:port');
const nonNegativeNumber = z.number().min(0);
/** Text of a duration that a settings template fills in without a value, as `{{name}}e3`: fillers write nothing, `null` or `undefined` for the value. */
const emptyDuration = /^(?:undefined|null)?(?:e3)?$/;

/** A positive duration in milliseconds; `defaultMs` if the settings contain no value for it. */
function optionalDurationMs(defaultMs: number) {
	return z.preprocess(value => value === null || (typeof value === 'string' && emptyDuration.test(value)) ? undefined : value, z.number().positive().default(defaultMs));
}

/** Settings of a gateway; the file is YAML. */
export const gatewaySettingsSchema = z.object({
	location: z.object({vm: z.string(), failureDomain: z.string(), region: z.string()}),
	/** Region of each failure domain. */
	regions: z.record(z.string(), z.string()),
	listen: z.object({
		/** Address for requests of callers. */
		entry: address,
		/** Address of the readiness endpoint for the platform. */
		readiness: address,
		/** Address of the directory of entry VMs for callers. */
		directory: address,
		/** Address from which peers read collections and known VMs. */
		peers: address,
		/** Address for heartbeats of peers (UDP). */
		heartbeats: address,
		/** Address of the metrics endpoint. */
		metrics: address,
	}),
	/** Peer addresses that a starting VM queries before it knows live peers. */
	seeds: z.array(address),
	store: z.object({address}),
	/** Limits on answers of backend servers; a connection whose answer exceeds them is closed. The time of an answer is limited by the deadline of its request. */
	answers: z.object({
		/** Longest head of an answer, in bytes. */
		maxHeadBytes: z.number().int().positive().default(16_384),
		/** Longest body of an answer, in bytes. */
		maxBodyBytes: z.number().int().positive().default(67_108_864),
	}).prefault({}),
	/** Limits on bodies of callers' requests besides those of the configuration. */
	uploads: z.object({
		/** Memory for buffered bodies of all requests, in bytes; beyond it, bodies are streamed and their requests are not retried. */
		maxBufferedBytes: z.number().int().positive().default(33_554_432),
	}).prefault({}),
	/** Requests that may be repeated are sent to a second server if they take longer than usual; without a fraction only if the first server is silent. */
	hedging: z.object({
		/** Fraction of a service's requests that may be hedged; 0 turns hedging by quantile off. */
		fraction: z.number().min(0).max(1).default(0),
		/** Quantile of a route's recent response times after which a request is hedged. */
		quantile: z.number().min(0.5).max(0.99).default(0.95),
	}).prefault({}),
	/** Limits on what clients may hold that send requests and do not read the responses; at all listeners together, unless said otherwise. */
	clients: z.object({
		/** Connections. Default: half of the descriptors of the process, at most 1024. */
		maxConnections: z.number().int().positive().optional(),
		/** Requests of a connection without a complete response; beyond it, the connection is not read. */
		maxUnanswered: z.number().int().positive().default(64),
		/** Requests of all connections without a complete response; beyond it, connections that have one are not read. */
		maxUnansweredTotal: z.number().int().positive().default(1024),
		/** Bytes of a connection's responses that wait for its client to read; beyond it, the connection is not read. */
		maxUnsentBytes: z.number().int().positive().default(1_048_576),
		/** The same of all connections; beyond it, connections with waiting responses are not read, and stalled ones are closed. */
		maxUnsentBytesTotal: z.number().int().positive().default(25_165_824),
		/** Longest time for which a client reads nothing of a response that waits for it, in milliseconds. */
		maxStallMs: z.number().positive().default(15_000),
	}).prefault({}),
	bounds: z.object({
		/** Longest time from SIGTERM to the end of the process, in milliseconds. */
		graceMs: z.number().positive(),
		/** Upper limit of the TTL of directory answers, in milliseconds. */
		maxDirectoryTtlMs: z.number().positive(),
		/** Retry budget of a service: fraction of its requests, additional count, and the window in milliseconds. */
		retryRatio: nonNegativeNumber,
		retrySlack: nonNegativeNumber,
		retryWindowMs: z.number().positive(),
		/** How far the specified rate of cold servers may be exceeded: factor and count. */
		coldOvershoot: nonNegativeNumber,
		coldSlack: nonNegativeNumber,
		/** How far all VMs together may exceed a workspace's rate and burst: fraction, count, and the window in milliseconds. */
		rateOvershoot: nonNegativeNumber,
		rateSlack: nonNegativeNumber,
		rateWindowMs: z.number().positive(),
		/** Largest change, between two windows, of the fraction of a region's requests that run in other regions. */
		shiftMost: nonNegativeNumber,
		/** Longest times from the store's acknowledgement until a configuration, the leaving of a backend server and an evacuation are in force, in milliseconds. */
		configurationMs: optionalDurationMs(2500),
		drainMs: optionalDurationMs(2500),
		evacuationMs: optionalDurationMs(5000),
	}),
});

/** Checked settings of a gateway. */
export type GatewaySettings = z.infer<typeof gatewaySettingsSchema>;

/** Time in which any change in the store has to be in force, in milliseconds. */
export function inForceMs({configurationMs, drainMs, evacuationMs}: GatewaySettings['bounds']): number {
	return Math.min(configurationMs, drainMs, evacuationMs);
}
