import {type ServerRequestEvent} from '@fescuewick/platform/stand-ins';

/** A time span, in milliseconds of the soak's clock. */
export type TimeSpan = {readonly fromMs: number; readonly untilMs: number};

/** One request as observed by its caller. */
export type ObservedRequest = {
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

/** Everything that was observed from outside the programs in a run of the soak. */
export type Observations = {
	readonly requests: readonly ObservedRequest[];
	/** Requests that servers started to process, and all that reached them. */
	readonly runs: readonly ServerRequestEvent[];
	readonly arrivals: readonly ServerRequestEvent[];
	/** Spans in which a fault affected a VM's process or its path to the store, by VM. */
	readonly faultSpans: ReadonlyMap<string, readonly TimeSpan[]>;
	/** Spans in which a VM's process was killed, paused or being stopped, by VM. */
	readonly haltedSpans: ReadonlyMap<string, readonly TimeSpan[]>;
	/** When a key was withdrawn, by key. */
	readonly withdrawnAtMs: ReadonlyMap<string, number>;
	/** When a server was marked as draining in the store, by server. */
	readonly leavingAtMs: ReadonlyMap<string, number>;
	/** Evacuations of failure domains, and the domain of each server. */
	readonly evacuations: ReadonlyMap<string, readonly TimeSpan[]>;
	readonly domainOf: ReadonlyMap<string, string>;
	readonly rateLimits: readonly RateLimit[];
	/** Greatest lateness of the soak's own timers, in milliseconds. */
	readonly ownLagMs: number;
};
