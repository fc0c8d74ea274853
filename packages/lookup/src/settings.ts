import {z} from 'zod';

/** Default time to live of answers in client caches. */
export const defaultLookupTtlMs = 5000;

/** Schema of the settings of a look-up daemon. */
export const lookupSettingsSchema = z.strictObject({
	location: z.strictObject({vm: z.string().min(1), failureDomain: z.string().min(1), region: z.string().min(1)}),
	listen: z.strictObject({host: z.string().min(1), port: z.int().min(0).max(65_535)}),
	controlAddress: z.string().regex(/^.+:\d+$/, 'must be ip:port'),
	lookupTtlMs: z.int().min(100).max(600_000).default(defaultLookupTtlMs),
	/** Other regions for each region, nearest first; regions that are not listed follow by name. */
	nearestRegions: z.record(z.string(), z.array(z.string())).default({}),
});

/** Validated settings of a look-up daemon. */
export type LookupSettings = z.output<typeof lookupSettingsSchema>;
