import {Buffer} from 'node:buffer';
import {createSocket, type Socket} from 'node:dgram';
import {once} from 'node:events';
import {type Cancel, type Logger, type TimerService} from '@fescuewick/core';
import {splitAddress} from '@fescuewick/wire';
import {
	decodeHeartbeat, encodeHeartbeat, type Heartbeat,
} from './heartbeat.js';
import {isFullHeartbeat, isLargeRegion, recipients} from './heartbeat-recipients.js';
import {type PeerTable} from './peer-table.js';

/** Interval of heartbeats, in milliseconds; a relayed change reaches a refused VM within one inside a small region. */
const intervalMs = 500;
/** Every how many intervals heartbeats go to other regions, whose bytes are dearer, and inside a large region. */
const slowEvery = 2;

/** How a datagram is to be treated; its first byte. */
enum DatagramKind {
	heartbeat = 0,
	/** A heartbeat from another region, to be sent on to the VMs of the receiver's. */
	heartbeatToRelay = 1,
}

/** What the gossip task needs. */
export type GossipOptions = {
	readonly table: PeerTable;
	readonly timers: TimerService;
	readonly logger: Logger;
	/** The present heartbeat but for its sequence; `isFull`: with what peers know already. */
	readonly describe: (isFull: boolean) => Omit<Heartbeat, 'sequence'>;
	/** Called for each heartbeat that is news. */
	readonly onHeartbeat: (heartbeat: Heartbeat) => void;
};

/** Sends heartbeats to all known VMs and receives theirs; owns the UDP socket. */
export class Gossip {
	readonly #socket: Socket = createSocket('udp4');
	#cancel: Cancel | undefined;
	#sequence = 0;
	#round = 0;

	constructor(private readonly options: GossipOptions) {}

	/** Binds the socket and starts sending. */
	async start(): Promise<void> {
		const {host, port} = splitAddress(this.options.table.self.heartbeatAddress);
		this.#socket.on('message', datagram => {
			this.#receive(datagram);
		});
		this.#socket.bind(port, host);
		await once(this.#socket, 'listening');
		this.#socket.on('error', error => {
			this.options.logger.warn({event: 'gossip-error', reason: error.message}, 'heartbeat socket failed');
		});
		this.#cancel = this.options.timers.repeat(intervalMs, () => {
			this.#round++;
			const isSlowRound = this.#round % slowEvery === 0;
			if (isSlowRound || !isLargeRegion(this.options.table.self.region, this.options.table.records())) {
				this.send(isSlowRound);
			}
		});
	}

	/** Sends a heartbeat now, as after a change that peers should know at once. */
	send(toAllRegions: boolean): void {
		const {table, describe} = this.options;
		this.#sequence++;
		const peers = [...table.records()];
		const heartbeat = encodeHeartbeat({...describe(isFullHeartbeat(this.#sequence, peers.length)), sequence: this.#sequence});
		const alive = new Set([...table.alive()].map(({record}) => record.vm));
		const {direct, relays} = recipients(table.self.region, peers, alive, this.#sequence);
		for (const {region, heartbeatAddress} of direct) {
			if (toAllRegions || region === table.self.region) {
				this.#sendTo(heartbeatAddress, DatagramKind.heartbeat, heartbeat);
			}
		}

		if (toAllRegions) {
			for (const {heartbeatAddress} of relays) {
				this.#sendTo(heartbeatAddress, DatagramKind.heartbeatToRelay, heartbeat);
			}
		}
	}

	stop(): void {
		this.#cancel?.();
		this.#socket.close();
	}

	#receive(datagram: Buffer): void {
		const {table, logger, onHeartbeat} = this.options;
		const content = datagram.subarray(1);
		const heartbeat = decodeHeartbeat(content);
		if (heartbeat === undefined) {
			logger.warn({event: 'heartbeat-unreadable', sizeBytes: datagram.length}, 'a datagram is not a heartbeat');
			return;
		}

		if (!table.hear(heartbeat)) {
			return;
		}

		onHeartbeat(heartbeat);
		const kind: DatagramKind = datagram[0];
		if (kind === DatagramKind.heartbeatToRelay) {
			for (const {region, heartbeatAddress} of table.records()) {
				if (region === table.self.region) {
					this.#sendTo(heartbeatAddress, DatagramKind.heartbeat, content);
				}
			}
		}
	}

	#sendTo(address: string, kind: DatagramKind, heartbeat: Buffer): void {
		const {host, port} = splitAddress(address);
		this.#socket.send([Buffer.of(kind), heartbeat], port, host, error => {
			// A peer without power or behind a partition is noticed by its silence.
			if (error !== null) {
				this.options.logger.debug({event: 'heartbeat-not-sent', to: address, reason: error.message}, 'heartbeat not sent');
			}
		});
	}
}
