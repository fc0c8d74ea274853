import {createSocket, type Socket} from 'node:dgram';
import {once} from 'node:events';
import {type Cancel, type Logger, type TimerService} from '@fescuewick/core';
import {splitAddress} from '@fescuewick/wire';
import {
	decodeHeartbeat, encodeHeartbeat, type Heartbeat,
} from './heartbeat.js';
import {type PeerTable} from './peer-table.js';

/** Interval of heartbeats inside a region, in milliseconds; a relayed change reaches a refused VM within one. */
const regionIntervalMs = 500;
/** Every how many of these intervals heartbeats also go to other regions, whose bytes are dearer. */
const remoteEvery = 2;

/** What the gossip task needs. */
export type GossipOptions = {
	readonly table: PeerTable;
	readonly timers: TimerService;
	readonly logger: Logger;
	/** The present heartbeat but for its sequence. */
	readonly describe: () => Omit<Heartbeat, 'sequence'>;
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
		this.#cancel = this.options.timers.repeat(regionIntervalMs, () => {
			this.#round++;
			this.send(this.#round % remoteEvery === 0);
		});
	}

	/** Sends a heartbeat now, as after a change that peers should know at once. */
	send(toAllRegions: boolean): void {
		const {table, describe} = this.options;
		this.#sequence++;
		const datagram = encodeHeartbeat({...describe(), sequence: this.#sequence});
		for (const {region, heartbeatAddress} of table.records()) {
			if (toAllRegions || region === table.self.region) {
				const {host, port} = splitAddress(heartbeatAddress);
				this.#socket.send(datagram, port, host, error => {
					// A peer without power or behind a partition is noticed by its silence.
					if (error !== null) {
						this.options.logger.debug({event: 'heartbeat-not-sent', to: heartbeatAddress, reason: error.message}, 'heartbeat not sent');
					}
				});
			}
		}
	}

	stop(): void {
		this.#cancel?.();
		this.#socket.close();
	}

	#receive(datagram: Uint8Array): void {
		const heartbeat = decodeHeartbeat(datagram);
		if (heartbeat === undefined) {
			this.options.logger.warn({event: 'heartbeat-unreadable', sizeBytes: datagram.length}, 'a datagram is not a heartbeat');
			return;
		}

		if (this.options.table.hear(heartbeat)) {
			this.options.onHeartbeat(heartbeat);
		}
	}
}
