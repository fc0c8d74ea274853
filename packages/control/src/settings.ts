import {z} from 'zod';

const address = z.string().regex(/^(?:(?:\d{1,3}\.){3}\d{1,3}|\[[\da-f:]+]):\d{1,5}$/, 'must be an IP address and a port, as in 127.0.0.1:7001');

/** Settings of a control daemon. */
export const controlSettingsSchema = z.strictObject({
	location: z.strictObject({vm: z.string().min(1), failureDomain: z.string().min(1), region: z.string().min(1)}),
	/** Address at which other control daemons connect. */
	peerListen: address,
	/** Address at which the entry and look-up daemons of this VM connect. */
	localListen: address,
	/** Address at which operators' clients and monitoring connect. */
	adminListen: address,
	/** URLs of this VM's entry and look-up daemons for callers. */
	entryUrl: z.url(),
	lookupUrl: z.url(),
	storeUrl: z.url().optional(),
	storeTimeoutMs: z.int().positive().default(1000),
	/** Addresses (`peerListen`) of some other control daemons, through which this one joins the fleet. */
	seeds: z.array(address).default([]),
});

/** Validated settings of a control daemon. */
export type ControlSettings = z.output<typeof controlSettingsSchema>;
