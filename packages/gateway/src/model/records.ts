/** Whether a backend server accepts new requests. */
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
	/** Maximum number of requests that it processes concurrently. */
	readonly slots: number;
	readonly state: BackendState;
	/** Remaining cold time when the record was written. */
	readonly coldForMs: number;
	/** Wall-clock time of its start; distinguishes restarts under the same id. */
	readonly startedAtMs: number;
};

/** A VM of the system and the addresses of its interfaces, as `ip:port`. */
export type VmRecord = {
	readonly vm: string;
	readonly failureDomain: string;
	readonly region: string;
	/** Address for callers. */
	readonly entryAddress: string;
	/** Address at which peers read collections and members. */
	readonly peerAddress: string;
	/** UDP address for heartbeats. */
	readonly heartbeatAddress: string;
};
