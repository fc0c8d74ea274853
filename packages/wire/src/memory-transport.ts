import {type Buffer} from 'node:buffer';
import {
	FescuewickError, ResultCode, toFescuewickError, type TimerService,
} from '@fescuewick/core';
import {encodeFrame, FrameDecoder} from './frame-codec.js';
import {
	Link, Transport, type LinkOptions, type Listener,
} from './link.js';
import {type MessageType} from './messages.js';
import {connectTimeoutMs} from './tcp-transport.js';

/** In-memory network for tests, with fault injection. */
export class MemoryNetwork {
	readonly listeners = new Map<string, () => LinkOptions>();
	readonly #cutPairs = new Set<string>();
	readonly #silencedLinks = new Set<MemoryLink>();
	readonly #links = new Set<MemoryLink>();
	readonly #deferredDeliveries = new Map<string, Array<() => void>>();
	#nextPort = 1;
	/** One-way delay of each frame. */
	delayMs = 0;
	framesSent = 0;
	bytesSent = 0;
	/** Bytes sent by type of message. */
	readonly bytesByType = new Map<MessageType, number>();

	constructor(readonly timers: TimerService) {}

	/** Transport of one host; `host` is the name that the fault methods take. */
	transport(host: string): Transport {
		return new MemoryTransport(this, host);
	}

	/** Partitions two hosts: drops all frames between them and refuses new links, until `heal`. */
	cut(first: string, second: string): void {
		this.#cutPairs.add(`${first}|${second}`);
		this.#cutPairs.add(`${second}|${first}`);
	}

	/** Ends the partition of two hosts; without arguments, all partitions. */
	heal(first?: string, second?: string): void {
		if (first === undefined || second === undefined) {
			this.#cutPairs.clear();
			return;
		}

		this.#cutPairs.delete(`${first}|${second}`);
		this.#cutPairs.delete(`${second}|${first}`);
	}

	/** Makes the existing links between two hosts drop all frames permanently; new links are not affected. */
	silence(first: string, second: string): void {
		for (const link of this.#links) {
			if ((link.host === first && link.remoteHost === second) || (link.host === second && link.remoteHost === first)) {
				this.#silencedLinks.add(link);
			}
		}
	}

	/** Closes all links and listeners of a host, as when its process is killed. */
	kill(host: string): void {
		for (const address of this.listeners.keys()) {
			if (address.startsWith(`${host}:`)) {
				this.listeners.delete(address);
			}
		}

		for (const link of this.#links) {
			if (link.host === host) {
				link.close();
			}
		}
	}

	/** Buffers frames and connections to a host until `resume`, as the sockets of a stopped process do. */
	pause(host: string): void {
		this.#deferredDeliveries.set(host, this.#deferredDeliveries.get(host) ?? []);
	}

	resume(host: string): void {
		const deferred = this.#deferredDeliveries.get(host) ?? [];
		this.#deferredDeliveries.delete(host);
		for (const deliver of deferred) {
			deliver();
		}
	}

	/** Runs a delivery to a host now or, if the host is paused, on `resume`. */
	deliverWhenRunning(host: string, deliver: () => void): void {
		const deferred = this.#deferredDeliveries.get(host);
		if (deferred === undefined) {
			deliver();
		} else {
			deferred.push(deliver);
		}
	}

	isCut(first: string, second: string): boolean {
		return this.#cutPairs.has(`${first}|${second}`);
	}

	isSilenced(link: MemoryLink): boolean {
		return this.#silencedLinks.has(link);
	}

	add(link: MemoryLink): void {
		this.#links.add(link);
	}

	remove(link: MemoryLink): void {
		this.#links.delete(link);
		this.#silencedLinks.delete(link);
	}

	allocatePort(): number {
		return this.#nextPort++;
	}
}

class MemoryLink extends Link {
	remoteEnd: MemoryLink | undefined;
	readonly #decoder = new FrameDecoder();

	constructor(readonly network: MemoryNetwork, readonly host: string, readonly remoteHost: string, options: LinkOptions) {
		super(options);
		network.add(this);
	}

	open(remoteEnd: MemoryLink): void {
		this.remoteEnd = remoteEnd;
		this.start();
	}

	/** Receives bytes sent by the remote end. */
	deliver(bytes: Buffer): void {
		if (this.closed) {
			return;
		}

		try {
			for (const {type, id, body} of this.#decoder.push(bytes)) {
				this.receive(type, id, body);
			}
		} catch (error) {
			this.close(toFescuewickError(error));
		}
	}

	protected transmit(type: MessageType, id: number, body: unknown): void {
		const bytes = encodeFrame(type, id, body);
		this.network.framesSent++;
		this.network.bytesSent += bytes.length;
		this.network.bytesByType.set(type, (this.network.bytesByType.get(type) ?? 0) + bytes.length);
		this.network.timers.after(this.network.delayMs, () => {
			const {remoteEnd} = this;
			if (remoteEnd === undefined || this.network.isCut(this.host, this.remoteHost) || this.network.isSilenced(this) || this.network.isSilenced(remoteEnd)) {
				return;
			}

			this.network.deliverWhenRunning(remoteEnd.host, () => {
				remoteEnd.deliver(bytes);
			});
		});
	}

	protected disconnect(): void {
		this.network.remove(this);
		const {remoteEnd} = this;
		if (remoteEnd === undefined || this.network.isCut(this.host, this.remoteHost) || this.network.isSilenced(this)) {
			return;
		}

		this.network.timers.after(this.network.delayMs, () => {
			this.network.deliverWhenRunning(remoteEnd.host, () => {
				remoteEnd.close(new FescuewickError(ResultCode.peerClosed, 'peer closed the connection'));
			});
		});
	}
}

class MemoryTransport extends Transport {
	readonly #network: MemoryNetwork;
	readonly #host: string;

	constructor(network: MemoryNetwork, host: string) {
		super();
		this.#network = network;
		this.#host = host;
	}

	connect(address: string, options: LinkOptions): Link {
		const remoteHost = address.slice(0, address.lastIndexOf(':'));
		const network = this.#network;
		const link = new MemoryLink(network, this.#host, remoteHost, options);
		options.timers.after(connectTimeoutMs, () => {
			if (link.peer === undefined) {
				link.close(new FescuewickError(ResultCode.peerSilent, `no hello from ${address} within ${connectTimeoutMs} ms`));
			}
		});
		network.timers.after(network.delayMs, () => {
			const accept = network.listeners.get(address);
			if (accept === undefined || network.isCut(this.#host, remoteHost)) {
				link.close(new FescuewickError(ResultCode.peerClosed, `connection to ${address} refused`));
				return;
			}

			// A paused host does not accept; the connection waits until it resumes, as frames do.
			network.deliverWhenRunning(remoteHost, () => {
				if (link.closed) {
					return;
				}

				const accepted = new MemoryLink(network, remoteHost, this.#host, accept());
				accepted.open(link);
				link.open(accepted);
			});
		});
		return link;
	}

	async listen(address: string, options: () => LinkOptions): Promise<Listener> {
		const boundAddress = address.endsWith(':0') ? `${this.#host}:${this.#network.allocatePort()}` : address;
		this.#network.listeners.set(boundAddress, options);
		return {
			address: boundAddress,
			close: async () => {
				this.#network.listeners.delete(boundAddress);
			},
		};
	}
}
