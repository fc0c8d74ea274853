/** An IP address and a port. */
export type HostPort = {readonly host: string; readonly port: number};

/** Splits `ip:port`; an IPv6 address is enclosed in brackets. */
export function splitAddress(address: string): HostPort {
	const index = address.lastIndexOf(':');
	return {host: address.slice(0, index).replaceAll(/[[\]]/g, ''), port: Number(address.slice(index + 1))};
}
