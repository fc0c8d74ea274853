import {Buffer} from 'node:buffer';
import {createSocket, type Socket} from 'node:dgram';
import {
	hashFraction, type Cancel, type Logger, type TimerService,
} from '@fescuewick/core';
import {splitAddress} from '@fescuewick/wire';
import {listenAt} from '../server/listen.js';
import {type VmRecord} from '../model/records.js';
import {
	decodeHeartbeat, encodeHeartbeat, type Heartbeat,
} from './heartbeat.js';
import {
	isFullHeartbeat, isLargeRegion, HeartbeatScope, recipients,
} from './heartbeat-recipients.js';
import {type PeerTable} from './peer-table.js';
import {encodePoolMessage, poolMessageMark, type PoolMessage} from './pool-message.js';
import {decodeServerNotice, encodeServerNotice, type ServerNotice} from './server-notice.js';

/** Interval of heartbeats, in milliseconds; inside a small region, a VM that the store refuses learns of a change within one interval. */
const heartbeatIntervalMs = 500;
/** Number of heartbeat intervals between two heartbeats to other regions, where traffic is more expensive, and inside large regions. */
const roundsPerSlowRound = 2;

/** Dependencies of the gossip. */
export type GossipOptions = {
	readonly table: PeerTable;
	readonly timers: TimerService;
	readonly logger: Logger;
	/** Creates the current heartbeat without its sequence for the VMs of a scope; a full one (`isFull`) repeats what peers know already. */
	readonly createHeartbeat: (isFull: boolean, scope: HeartbeatScope) => Omit<Heartbeat, 'sequence'>;
	/** Whether this VM watches the store; what it reads is told to its region in every round. */
	readonly isReading: () => boolean;
	/** Called for each heartbeat that is newer than the last one of its VM. */
	readonly onHeartbeat: (heartbeat: Heartbeat) => void;
	/** Called when a peer says what a backend server said to it. */
	readonly onServerNotice: (notice: ServerNotice, peerAddress: string) => void;
	/** Called with the content of a message about a pool. */
	readonly onPoolMessage: (content: Buffer) => void;
};

/** Sends heartbeats to all known VMs, receives theirs and relays them; owns the UDP socket. */
export class Gossip {
	readonly #socket: Socket = createSocket('udp4');
	#cancel: Cancel | undefined;
	#sequence = 0;
	#round = 0;

	constructor(private readonly options: GossipOptions) {}

	/** Binds the socket and starts sending. */
	async start(): Promise<void> {
		this.#socket.on('message', (datagram, {address}) => {
			this.#receive(datagram, address);
		});
		await listenAt(this.#socket, this.options.table.self.heartbeatAddress, this.options);
		this.#socket.on('error', error => {
			this.options.logger.warn({event: 'gossip-error', reason: error.message}, 'heartbeat socket failed');
		});
		const {timers, table} = this.options;
		// VMs that start together send at different times; otherwise each of them receives the heartbeats of the whole fleet at once.
		this.#cancel = timers.after(hashFraction(table.self.vm) * heartbeatIntervalMs, () => {
			this.#cancel = timers.repeat(heartbeatIntervalMs, () => {
				this.#sendInTurn();
			});
		});
	}

	#sendInTurn(): void {
		const {table, isReading} = this.options;
		this.#round++;
		const isSlowRound = this.#round % roundsPerSlowRound === 0;
		if (isSlowRound || isReading() || !isLargeRegion(table.self.region, [...table.records()])) {
			this.send(isSlowRound ? HeartbeatScope.fleet : HeartbeatScope.region);
		}
	}

	/** Sends a heartbeat at once, as after a change that peers should learn of without delay. */
	send(scope: HeartbeatScope): void {
		const {table, createHeartbeat} = this.options;
		this.#sequence++;
		const isFull = isFullHeartbeat(this.#sequence, table.size);
		this.#forward(encodeHeartbeat({...createHeartbeat(isFull, scope), sequence: this.#sequence}), this.#sequence, scope);
	}

	/** Tells the VMs of the region what a backend server said. A lost notice is not repeated here: those VMs learn it from an answer of the server. */
	announce(notice: ServerNotice): void {
		this.#forward(encodeServerNotice(notice), this.#sequence, HeartbeatScope.region);
	}

	/** Sends a message about a pool to one VM. */
	sendPoolMessage(message: PoolMessage, recipient: VmRecord): void {
		this.#sendTo(recipient.heartbeatAddress, poolMessageMark, encodePoolMessage(message));
	}

	stop(): void {
		this.#cancel?.();
		this.#socket.close();
	}

	#receive(datagram: Buffer, address: string): void {
		const {table, logger, onHeartbeat, onServerNotice, onPoolMessage} = this.options;
		const content = datagram.subarray(1);
		if (datagram[0] === poolMessageMark) {
			onPoolMessage(content);
			return;
		}

		const scope: HeartbeatScope = datagram[0];
		const notice = decodeServerNotice(content);
		if (notice !== undefined) {
			onServerNotice(notice, address);
			this.#relay(content, this.#sequence, scope);
			return;
		}

		const heartbeat = decodeHeartbeat(content);
		if (heartbeat === undefined) {
			logger.warn({event: 'heartbeat-unreadable', sizeBytes: datagram.length}, 'datagram is not a heartbeat of this format');
			return;
		}

		if (!table.recordHeartbeat(heartbeat)) {
			return;
		}

		onHeartbeat(heartbeat);
		this.#relay(content, heartbeat.sequence, scope);
	}

	/** Relays a received datagram within the scope that its sender asked for. */
	#relay(content: Buffer, sequence: number, scope: HeartbeatScope): void {
		if (scope > HeartbeatScope.vm) {
			this.#forward(content, sequence, Math.min(scope, HeartbeatScope.region));
		}
	}

	/** Sends an own or relayed datagram to the recipients within a scope. */
	#forward(content: Buffer, sequence: number, scope: HeartbeatScope): void {
		const {table} = this.options;
		const alive = new Set([...table.alive()].map(({record}) => record.vm));
		for (const recipient of recipients({
			own: table.self, peers: [...table.records()], alive, sequence, scope,
		})) {
			this.#sendTo(recipient.record.heartbeatAddress, recipient.scope, content);
		}
	}

	/** Sends a datagram whose first byte is the scope within which the recipient relays it, or the mark of a message about a pool. */
	#sendTo(address: string, firstByte: HeartbeatScope | typeof poolMessageMark, content: Buffer): void {
		const {host, port} = splitAddress(address);
		this.#socket.send([Buffer.of(firstByte), content], port, host, error => {
			// A send error needs no handling: an unreachable peer is detected by its missing heartbeats.
			if (error !== null) {
				this.options.logger.debug({event: 'heartbeat-not-sent', to: address, reason: error.message}, 'heartbeat not sent');
			}
		});
	}
}
