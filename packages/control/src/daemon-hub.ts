import {
	FescuewickError, incarnationId, ResultCode, type Incarnation, type Location, type Logger, type TimerService,
} from '@fescuewick/core';
import {
	MessageType, Role, type HeartbeatBody, type Link, type LinkOptions, type Listener, type MessageBodies,
	type ReplyBodies, type RequestType, type SnapshotBody, type Transport,
} from '@fescuewick/wire';
import {PublishEvent, SnapshotPublisher} from './snapshot-publisher.js';

/** Handlers of requests from the VM's own daemons, by type. */
export type DaemonRequestHandlers = {
	readonly [Type in RequestType]?: (body: MessageBodies[Type]) => Promise<ReplyBodies[Type]>;
};

/** Dependencies of a daemon hub. */
export type DaemonHubOptions = {
	readonly timers: TimerService;
	readonly transport: Transport;
	readonly logger: Logger;
	readonly location: Location;
	readonly incarnation: Incarnation;
	readonly address: string;
	/** Body of heartbeats to the daemons; `freshnessAgeMs` is the age of keys here. */
	readonly heartbeat: () => HeartbeatBody;
	readonly snapshot: () => SnapshotBody | undefined;
	readonly handlers: DaemonRequestHandlers;
	readonly onMessage: (type: MessageType, body: unknown, role: Role) => void;
	/** Called after a daemon has connected or disconnected. */
	readonly onRolesChange: () => void;
};

/** Serves the entry and look-up daemons of the VM: sends them snapshots and answers their requests. */
export class DaemonHub {
	readonly #options: DaemonHubOptions;
	readonly #publisher: SnapshotPublisher;
	readonly #links = new Set<Link>();
	#listener: Listener | undefined;

	constructor(options: DaemonHubOptions) {
		this.#options = options;
		this.#publisher = new SnapshotPublisher(options.logger, options.snapshot);
	}

	/** Starts listening; resolves with the address in use. */
	async start(): Promise<string> {
		this.#listener = await this.#options.transport.listen(this.#options.address, () => this.#linkOptions());
		return this.#listener.address;
	}

	/** Roles of the connected daemons. */
	get connectedRoles(): Role[] {
		return [...this.#links].map(link => link.peer?.role).filter(role => role !== undefined);
	}

	/** Incarnations of the connected entry daemons. */
	get entryIncarnations(): string[] {
		return [...this.#links].map(link => link.peer).filter(peer => peer?.role === Role.entry).map(peer => incarnationId(peer!.incarnation));
	}

	/** Schedules sending of the current snapshot to all subscribed daemons; calls in quick succession are combined. */
	publish(): void {
		this.#publisher.publishSoon();
	}

	async stop(): Promise<void> {
		await this.#listener?.close();
		for (const link of this.#links) {
			link.close();
		}

		await this.#publisher.stop();
	}

	#linkOptions(): LinkOptions {
		const {timers, location, incarnation, heartbeat, handlers, onMessage, logger} = this.#options;
		return {
			timers,
			hello: {role: Role.control, location, incarnation},
			heartbeat,
			onOpen: (_peer, link) => {
				this.#links.add(link);
				this.#options.onRolesChange();
			},
			onClose: (reason, link) => {
				this.#links.delete(link);
				this.#publisher.send({event: PublishEvent.unsubscribed, link});
				this.#options.onRolesChange();
				logger.debug({code: reason.code, role: link.peer?.role}, 'daemon disconnected');
			},
			onMessage(type, body, link) {
				onMessage(type, body, link.peer?.role ?? Role.client);
			},
			onRequest: async (type, body, link) => {
				if (type === MessageType.subscribe) {
					return this.#subscribe(link) as never;
				}

				const handler = handlers[type] as ((body: unknown) => Promise<never>) | undefined;
				if (handler === undefined) {
					throw new FescuewickError(ResultCode.messageUnknown, `control daemon does not handle ${MessageType[type]} requests from daemons of its VM`);
				}

				return handler(body);
			},
		};
	}

	#subscribe(link: Link): ReplyBodies[MessageType.subscribe] {
		this.#publisher.send({event: PublishEvent.subscribed, link});

		const {vm, startedAtMs, nonce} = this.#options.incarnation;
		return {controlIncarnation: `${vm}.${startedAtMs.toString(36)}.${nonce}`};
	}
}
