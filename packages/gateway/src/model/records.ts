/** Whether a backend server takes new work. */
export enum BackendState {
	ready = 'ready',
	draining = 'draining',
}

/** A backend server as it registered itself. */
export type BackendRecord = {
	readonly id: string;
	readonly service: string;
	/** `ip:port`. */
	readonly address: string;
	readonly failureDomain: string;
	/** Requests it processes at once. */
	readonly slots: number;
	readonly state: BackendState;
	/** How much longer it stays cold, as of the write, in milliseconds. */
	readonly coldForMs: number;
	/** Wall-clock time of its start; tells two starts under one id apart. */
	readonly startedAtMs: number;
};

/** A VM of the system and where its interfaces listen, as `ip:port`. */
export type VmRecord = {
	readonly vm: string;
	readonly failureDomain: string;
	readonly region: string;
	/** Where callers connect. */
	readonly entryAddress: string;
	/** Where peers read collections and members. */
	readonly peerAddress: string;
	/** Where heartbeats go (UDP). */
	readonly heartbeatAddress: string;
};
