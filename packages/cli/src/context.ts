import {
	FescuewickError, ResultCode, type TimerService,
} from '@fescuewick/core';
import {type ObjectStore} from '@fescuewick/store';
import {type AdminFetch} from './fleet/admin-fetch.js';

/** Output streams of a command: `out` receives results, `err` notes and errors. */
export type Output = {out(text: string): void; err(text: string): void};

/** Dependencies and global options passed to every command. */
export type CommandContext = {
	readonly store: ObjectStore;
	readonly fetch: AdminFetch;
	readonly adminUrls: readonly string[];
	readonly author: string;
	readonly timers: TimerService;
	readonly randomBytes: (count: number) => Uint8Array;
	readonly output: Output;
	readonly jsonOutput: boolean;
	/** Aborts commands that wait or watch. */
	readonly signal: AbortSignal;
};

/** Result of a command. */
export type CommandResult = {
	readonly code: ResultCode;
	/** Printed by `--output json`; undefined if the command prints its own output. */
	readonly json: unknown;
	/** Printed by `--output table`. */
	readonly text: string;
	/** Reason why `code` is not `ok`. */
	readonly message?: string;
};

/** Creates a result with the code `ok`. */
export function successResult(json: unknown, text: string): CommandResult {
	return {code: ResultCode.ok, json, text};
}

/** Parses the value of a numeric option; throws `usage` if it is not a finite number. */
export function parseNumber(text: string, option: string): number {
	const value = Number(text);
	if (text.trim() === '' || !Number.isFinite(value)) {
		throw new FescuewickError(ResultCode.usage, `${option} must be a number, not ${text}`);
	}

	return value;
}
