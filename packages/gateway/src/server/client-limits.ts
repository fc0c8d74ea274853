import {readFileSync} from 'node:fs';
import {type GatewaySettings} from '../settings.js';

/** Largest default for connections in all; at 15 KB each, idle ones take 15 MB. */
const maxDefaultConnections = 1024;

/** What connections of clients may hold. */
export type ClientLimits = Required<GatewaySettings['clients']>;

/** Why a connection was paused or closed. */
export enum ClientLimit {
	/** Too many requests of the connection have no complete response. */
	unanswered = 'unanswered-requests',
	/** Too many requests of all connections have no complete response. */
	unansweredTotal = 'unanswered-requests-total',
	/** Too many bytes of the connection's responses are not taken by the client. */
	unsent = 'unsent-bytes',
	/** Too many bytes of all responses are not taken by clients. */
	unsentTotal = 'unsent-bytes-total',
	/** Too many bytes that were received are not parsed, over all connections. */
	unparsedTotal = 'unparsed-bytes-total',
	/** The client has taken no byte of a response for too long. */
	stalledReader = 'stalled-reader',
	/** Too many connections. */
	connections = 'connections',
	/** The connection was still open some time after its last response. */
	lingering = 'lingering',
	/** The rest of a body whose request is answered is too long, takes too long or comes in chunks of a few bytes. */
	unusedBody = 'unused-body',
}

/** What all connections hold together. */
export class ClientTotals {
	/** Requests without a complete response. */
	unanswered = 0;
	/** Bytes of responses that clients have not taken. */
	unsentBytes = 0;
	/** Bytes received and not parsed. */
	unparsedBytes = 0;
}

/** Fills in the limit that depends on the descriptors of the process: half of them is left to backend servers, peers, the store and files. */
export function completeClientLimits(clients: GatewaySettings['clients']): ClientLimits {
	return {...clients, maxConnections: clients.maxConnections ?? Math.min(maxDefaultConnections, Math.floor(descriptorLimit() / 2))};
}

/** The soft limit of open descriptors of this process. */
function descriptorLimit(): number {
	try {
		return Number(/^Max open files\s+(\d+)/m.exec(readFileSync('/proc/self/limits', 'utf8'))?.[1] ?? Number.POSITIVE_INFINITY);
	} catch {
		// Systems other than Linux have no such file.
		return Number.POSITIVE_INFINITY;
	}
}
