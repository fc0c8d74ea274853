import {
	FescuewickError, ResultCode, type Incarnation, type Location, type Logger, type TimerService,
} from '@fescuewick/core';
import {type Link, type Transport} from './link.js';
import {
	MessageType, type HeartbeatBody, type MessageBodies, type ReplyBodies, type RequestType, type Role,
} from './messages.js';
import {type SnapshotBody, type SnapshotDeltaBody} from './snapshot/snapshot-messages.js';
import {SnapshotReceiver} from './snapshot/snapshot-receiver.js';

const reconnectDelayMs = 250;
const subscribeTimeoutMs = 1000;

/** Dependencies and callbacks of a control client. */
export type ControlClientOptions = {
	readonly timers: TimerService;
	readonly transport: Transport;
	readonly logger: Logger;
	readonly address: string;
	readonly role: Role;
	readonly location: Location;
	readonly incarnation: Incarnation;
	readonly onSnapshot: (snapshot: SnapshotBody) => void;
	/** Called at each heartbeat with the control daemon's revision and the time since keys were last confirmed. */
	readonly onKeysAge?: (revision: number, keysAgeMs: number | undefined) => void;
	readonly onConnected?: () => void;
};

/** Link of an entry or look-up daemon to the control daemon of its VM; reconnects automatically. */
export class ControlClient {
	readonly #options: ControlClientOptions;
	#link: Link | undefined;
	#revision = 0;
	#stopped = false;

	constructor(options: ControlClientOptions) {
		this.#options = options;
		this.#connect();
	}

	get connected(): boolean {
		return this.#link?.peer !== undefined && !this.#link.closed;
	}

	/** Sends a request to the control daemon; rejects with `peerClosed` while there is no link. */
	async request<Type extends RequestType>(type: Type, body: MessageBodies[Type], timeoutMs: number): Promise<ReplyBodies[Type]> {
		if (this.#link === undefined) {
			throw new FescuewickError(ResultCode.peerClosed, 'no link to the control daemon');
		}

		return this.#link.request(type, body, timeoutMs);
	}

	/** Sends a one-way message; dropped while there is no link. */
	send<Type extends MessageType>(type: Type, body: MessageBodies[Type]): void {
		this.#link?.send(type, body);
	}

	stop(): void {
		this.#stopped = true;
		this.#link?.close();
	}

	#connect(): void {
		const {timers, transport, logger, address, role, location, incarnation, onSnapshot, onKeysAge} = this.#options;
		const receiver = new SnapshotReceiver();
		this.#link = transport.connect(address, {
			timers,
			hello: {role, location, incarnation},
			heartbeat: () => ({revision: this.#revision, freshnessAgeMs: undefined, storeReachable: false}),
			onMessage: (type, body) => {
				switch (type) {
					case MessageType.snapshotDelta: {
						const snapshot = receiver.receive(body as SnapshotDeltaBody);
						if (snapshot !== undefined) {
							this.#revision = snapshot.revision;
							onSnapshot(snapshot);
						}

						break;
					}

					case MessageType.heartbeat: {
						const {revision, freshnessAgeMs, transitMs} = body as HeartbeatBody;
						// Without the transit time, keys would be considered fresher than they are when a busy VM delays heartbeats; until it is known, the age in the snapshot applies.
						if (transitMs !== undefined) {
							onKeysAge?.(revision, freshnessAgeMs === undefined ? undefined : freshnessAgeMs + transitMs);
						}

						break;
					}

					default:
				}
			},
			async onRequest(type) {
				throw new FescuewickError(ResultCode.messageUnknown, `daemon does not answer requests of type ${MessageType[type]}`);
			},
			onOpen: (_peer, link) => {
				void this.#subscribe(link);
			},
			onClose: (reason: FescuewickError) => {
				if (this.#stopped) {
					return;
				}

				logger.warn({code: reason.code, reason: reason.message}, 'link to the control daemon closed');
				timers.after(reconnectDelayMs, () => {
					if (!this.#stopped) {
						this.#connect();
					}
				});
			},
		});
	}

	async #subscribe(link: Link): Promise<void> {
		try {
			await link.request(MessageType.subscribe, {role: this.#options.role}, subscribeTimeoutMs);
			this.#options.onConnected?.();
		} catch (error) {
			link.close();
			this.#options.logger.warn({err: error}, 'subscription to the control daemon failed');
		}
	}
}
