import {type ServerRequestEvent} from '@fescuewick/platform/stand-ins';

/** A time span, in milliseconds of the soak's clock. */
export type TimeSpan = {readonly fromMs: number; untilMs: number};

/** One request as observed by its caller. */
export type ObservedRequest = {
	readonly id: string;
	readonly vm: string;
	readonly workspace: string;
	readonly key: string;
	/** Whether it may run more than once. */
	readonly isRepeatable: boolean;
	readonly sentAtMs: number;
	readonly timeLimitMs: number;
	readonly endedAtMs: number;
	/** HTTP status of a complete answer. */
	readonly status: number | undefined;
	/** Result code of an answer that a VM gave itself instead of a server. */
	readonly code: number | undefined;
	/** Why there is no complete answer. */
	readonly error: string | undefined;
};

/** Rate and burst of a workspace. */
export type RateLimit = {readonly workspace: string; readonly ratePerS: number; readonly burst: number};

/** Everything that was observed from outside the VMs' processes in a run of the soak. */
export type Observations = {
	readonly requests: readonly ObservedRequest[];
	/** Requests that servers started to process. */
	readonly runs: readonly ServerRequestEvent[];
	/** All requests that reached servers, also those that were not processed. */
	readonly arrivals: readonly ServerRequestEvent[];
	/** Spans in which a fault affected a VM's process or its path to the store, by VM. */
	readonly faultSpans: ReadonlyMap<string, readonly TimeSpan[]>;
	/** Spans in which a VM's process was killed, paused or being stopped, by VM. */
	readonly haltedSpans: ReadonlyMap<string, readonly TimeSpan[]>;
	/** When a key was withdrawn, by key. */
	readonly withdrawnAtMs: ReadonlyMap<string, number>;
	/** When a server was marked as draining in the store, by server. */
	readonly drainingAtMs: ReadonlyMap<string, number>;
	/** When a server began to say in its answers that it is leaving, by server. */
	readonly saidLeavingAtMs: ReadonlyMap<string, number>;
	/** Spans in which a failure domain was evacuated, by failure domain. */
	readonly evacuations: ReadonlyMap<string, readonly TimeSpan[]>;
	/** Failure domain, by server. */
	readonly domainOf: ReadonlyMap<string, string>;
	readonly rateLimits: readonly RateLimit[];
	/** Maximum lateness of timers in the soak's own process, in milliseconds; its observations may be late by as much. */
	readonly ownLagMs: number;
};
