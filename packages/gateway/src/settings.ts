import {z} from 'zod';

const address = z.string().regex(/^[^:]+:\d+$/, 'must be ip:port');
const ratio = z.number().min(0);

/** Settings of a gateway; the file is YAML. */
export const gatewaySettingsSchema = z.object({
	location: z.object({vm: z.string(), failureDomain: z.string(), region: z.string()}),
	/** Region of each failure domain. */
	regions: z.record(z.string(), z.string()),
	listen: z.object({
		/** Where callers connect. */
		entry: address,
		/** Where the platform asks whether the VM is ready. */
		readiness: address,
		/** Where callers ask for entry VMs. */
		directory: address,
		/** Where peers read collections and members. */
		peers: address,
		/** Where heartbeats arrive (UDP). */
		heartbeats: address,
		/** Where metrics are served. */
		metrics: address,
	}),
	/** Peer addresses to ask when the store does not answer a starting VM. */
	seeds: z.array(address),
	store: z.object({address}),
	bounds: z.object({
		/** Time from SIGTERM until the process must have ended, in milliseconds. */
		graceMs: z.number().positive(),
		/** Longest time a directory answer may be used, in milliseconds. */
		maxDirectoryTtlMs: z.number().positive(),
		/** Repeated sends to a service: part of its requests, fixed count, and the window in milliseconds. */
		retryRatio: ratio,
		retrySlack: ratio,
		retryWindowMs: z.number().positive(),
		/** How far cold servers' stated rate may be exceeded: factor and count. */
		coldOvershoot: ratio,
		coldSlack: ratio,
		/** By how much all VMs together may exceed a workspace's rate and burst: part, count, and the window in milliseconds. */
		rateOvershoot: ratio,
		rateSlack: ratio,
		rateWindowMs: z.number().positive(),
		/** Largest part of a region's requests that may move between two windows. */
		shiftMost: ratio,
	}),
});

/** Checked settings of a gateway. */
export type GatewaySettings = z.infer<typeof gatewaySettingsSchema>;
