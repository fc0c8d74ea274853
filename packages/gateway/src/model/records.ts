import {isIPv4, isIPv6} from 'node:net';

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
	/** Rises with each writing of the record by the same start of the server, if the platform counts them. */
	readonly sequence?: number;
};

const addressPattern = /^(?:(?<ipv4>[\d.]+)|\[(?<ipv6>[\da-fA-F:.]+)]):(?<port>\d{1,5})$/;
const maxPort = 65_535;

/** Whether a value is a complete record of a VM; other versions and faulty VMs may send anything. */
export function isVmRecord(value: unknown): value is VmRecord {
	if (typeof value !== 'object' || value === null) {
		return false;
	}

	const {vm, failureDomain, region, entryAddress, peerAddress, heartbeatAddress} = value as Partial<Record<keyof VmRecord, unknown>>;
	return [vm, failureDomain, region].every(name => typeof name === 'string') && [entryAddress, peerAddress, heartbeatAddress].every(address => isAddress(address));
}

/** Whether a value is an IP address and a port to which a connection can be opened, as `ip:port`. */
export function isAddress(value: unknown): value is string {
	const groups = typeof value === 'string' ? addressPattern.exec(value)?.groups : undefined;
	if (groups === undefined) {
		return false;
	}

	const port = Number(groups.port);
	const isIp = groups.ipv4 === undefined ? isIPv6(groups.ipv6) : isIPv4(groups.ipv4);
	return isIp && port > 0 && port <= maxPort;
}

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
