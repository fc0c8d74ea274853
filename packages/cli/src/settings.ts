import {FescuewickError, readSettings, ResultCode} from '@fescuewick/core';
import {z} from 'zod';

/** Schema of the client's settings file. */
export const settingsSchema = z.strictObject({
	/** Base URL of the object store. */
	storeUrl: z.url().optional(),
	/** Timeout of one store call, in milliseconds. */
	storeTimeoutMs: z.int().min(50).max(60_000).default(2000),
	/** Name recorded with each change. */
	author: z.string().min(1).max(120).optional(),
	/** Admin URLs of some VMs, queried in addition to the VMs listed in the store; needed when that list cannot be read. */
	adminUrls: z.array(z.url()).default([]),
});

/** Settings of the client. */
export type ClientSettings = z.output<typeof settingsSchema>;

/** Global command-line options; `store` and `author` override the settings file. */
export type GlobalOptions = {readonly settings?: string; readonly store?: string; readonly author?: string; readonly output?: string};

/** Reads the settings file, if one is given, and applies the global options; throws `settingsInvalid` or `usage`. */
export function loadClientSettings(options: GlobalOptions): ClientSettings {
	const fromFile = options.settings === undefined ? settingsSchema.parse({}) : readSettings(options.settings, settingsSchema);
	const result = settingsSchema.safeParse({...fromFile, storeUrl: options.store ?? fromFile.storeUrl, author: options.author ?? fromFile.author});
	if (!result.success) {
		const [issue] = result.error.issues;
		throw new FescuewickError(ResultCode.usage, `invalid command-line option: ${issue.path.map(String).join('.')}: ${issue.message}`);
	}

	return result.data;
}
