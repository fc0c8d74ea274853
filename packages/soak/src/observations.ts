import {type ServerRun} from '@fescuewick/platform/stand-ins';

/** A time span in milliseconds of the soak's clock. */
export type Span = {readonly fromMs: number; readonly untilMs: number};

/** What a caller saw of one request. */
export type SeenRequest = {
	readonly id: string;
	readonly vm: string;
	readonly workspace: string;
	readonly key: string;
	/** Whether it may run more than once. */
	readonly isRepeatable: boolean;
	readonly sentAtMs: number;
	readonly timeLeftMs: number;
	readonly endedAtMs: number;
	/** Status of a complete answer. */
	readonly status: number | undefined;
	/** Result code of an answer of the system itself. */
	readonly code: number | undefined;
	/** Why there is no complete answer. */
	readonly error: string | undefined;
};

/** Rate and burst of a workspace. */
export type RateLimit = {readonly workspace: string; readonly ratePerS: number; readonly burst: number};

/** Everything a run of the soak saw from outside. */
export type Observations = {
	readonly requests: readonly SeenRequest[];
	/** Requests that servers began to work on, and those that reached them. */
	readonly runs: readonly ServerRun[];
	readonly arrivals: readonly ServerRun[];
	/** Spans in which something was done to a VM's process or to its way to the store, by VM. */
	readonly disturbed: ReadonlyMap<string, readonly Span[]>;
	/** Spans in which a VM's process was killed, paused or being stopped, by VM. */
	readonly halted: ReadonlyMap<string, readonly Span[]>;
	/** When a key was withdrawn, by key. */
	readonly withdrawnAtMs: ReadonlyMap<string, number>;
	/** When a server's entry said that it leaves, by server. */
	readonly leavingAtMs: ReadonlyMap<string, number>;
	/** Evacuations of failure domains, and the domain of each server. */
	readonly evacuations: ReadonlyMap<string, readonly Span[]>;
	readonly domainOf: ReadonlyMap<string, string>;
	readonly limits: readonly RateLimit[];
	/** Greatest lateness of the soak's own timers, in milliseconds. */
	readonly ownLagMs: number;
};
