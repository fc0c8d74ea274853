/** An entry VM, as known from the platform's list and from heartbeats. */
export type VmRecord = {
	readonly vm: string;
	readonly failureDomain: string;
	readonly region: string;
	readonly controlAddress: string;
	readonly entryUrl: string;
	readonly lookupUrl: string;
	readonly adminUrl: string;
	readonly leaving: boolean;
};

/** A backend server from the platform's list. */
export type BackendRecord = {
	readonly server: string;
	readonly service: string;
	readonly failureDomain: string;
	readonly region: string;
	readonly address: string;
	readonly slots: number;
	readonly connections: number;
	readonly leaving: boolean;
};

/** Load of a failure domain for one service. */
export type LoadEntry = {
	readonly service: string;
	readonly failureDomain: string;
	readonly region: string;
	readonly capacityPerS: number;
	readonly loadPerS: number;
	readonly cold: boolean;
	readonly bytesPerRequest: number;
	readonly ageMs: number;
};
