import {
	FescuewickError, incarnationId, ResultCode, type Incarnation, type Logger, type TimerService,
} from '@fescuewick/core';
import {
	MessageType, Role, type HeartbeatBody, type HelloBody, type Link, type LinkOptions, type MemberDigestBody, type MessageBodies, type Transport,
	type VmRecord,
} from '@fescuewick/wire';
import {type MemberTable} from './member-table.js';
import {type MessageHandlers} from './message-handlers.js';
import {GoodbyeReason, type PeerConnection} from './peer-connection.js';
import {type PeerLinks} from './peer-links.js';
import {type SeedConnector} from './seed-connector.js';
import {type ViewExchange} from './view-exchange.js';

/** Handlers for links that other processes of the VM (entry and lookup daemons, clients) open to the control address. */
export type LocalLinkHandlers = Pick<LinkOptions, 'onOpen' | 'onMessage' | 'onRequest' | 'onClose'>;

export type LinkEventHandlerOptions = {
	readonly timers: TimerService;
	readonly transport: Transport;
	readonly logger: Logger;
	readonly incarnation: Incarnation;
	readonly localLinks: LocalLinkHandlers | undefined;
	readonly table: MemberTable;
	readonly links: PeerLinks;
	readonly seeds: SeedConnector;
	readonly viewExchange: ViewExchange;
	readonly handlers: MessageHandlers;
	readonly self: () => VmRecord;
	readonly heartbeat: () => HeartbeatBody;
	readonly isStopped: () => boolean;
};

/** Opens the links of a mesh and handles their events: opened, message or request received, closed. */
export class LinkEventHandler {
	readonly #options: LinkEventHandlerOptions;

	constructor(options: LinkEventHandlerOptions) {
		this.#options = options;
	}

	/** Opens a link; returns undefined if the address is invalid. */
	connect(address: string): Link | undefined {
		const {transport, logger} = this.#options;
		try {
			return transport.connect(address, this.linkOptions(true));
		} catch (error) {
			logger.warn({err: error, address}, 'cannot open a link to this peer address');
			return undefined;
		}
	}

	/** Options of a link; `initiated` is true if this end opens it. */
	linkOptions(initiated: boolean): LinkOptions {
		const {timers, incarnation, heartbeat, localLinks, self} = this.#options;
		return {
			timers,
			hello: {role: Role.control, location: locationOf(self()), incarnation},
			heartbeat,
			onOpen: (peer, link) => {
				if (peer.role === Role.control) {
					this.#opened(peer, link, initiated);
				} else if (localLinks === undefined) {
					link.close();
				} else {
					localLinks.onOpen(peer, link);
				}
			},
			onMessage: (type, body, link) => {
				if (isLocalLink(link)) {
					localLinks?.onMessage(type, body, link);
				} else {
					this.#received(type, body, link);
				}
			},
			onRequest: async (type, body, link) => {
				if (isLocalLink(link) && localLinks !== undefined) {
					return localLinks.onRequest(type, body, link);
				}

				const connection = this.#recordMessageOn(link);
				if (connection === undefined || link.peer === undefined) {
					throw new FescuewickError(ResultCode.peerClosed, 'request arrived on a link that is no longer in use');
				}

				connection.touch();
				return this.#options.handlers.answer(type, body, {vm: link.peer.location.vm, incarnation: link.peer.incarnation});
			},
			onClose: (reason, link) => {
				if (isLocalLink(link)) {
					localLinks?.onClose(reason, link);
				} else {
					this.#closed(link, reason);
				}
			},
		};
	}

	#opened(peer: HelloBody, link: Link, initiated: boolean): void {
		const {table, links, seeds, viewExchange, self, isStopped} = this.#options;
		const {vm} = peer.location;
		if (vm === self().vm) {
			seeds.markAsSelf(link);
			link.close();
			return;
		}

		const previous = table.incarnation(vm);
		// The hello carries no addresses; the peer's digest, its first message, replaces the placeholder record.
		const record = table.record(vm) ?? placeholderRecord(peer, seeds.addressOf(link));
		if (isStopped() || !table.acceptIncarnation(record, peer.incarnation)) {
			link.close(new FescuewickError(ResultCode.peerClosed, `incarnation of ${vm} was replaced by a newer one`));
			return;
		}

		const replaced = previous !== undefined && incarnationId(previous) !== incarnationId(peer.incarnation);
		links.opened(vm, link, {initiated, replaced});
		seeds.opened(link);
		table.recordMessageFrom(vm);
		viewExchange.sendInitialDigest(link);
	}

	#closed(link: Link, reason: FescuewickError): void {
		const {logger, seeds, links} = this.#options;
		if (reason.code !== ResultCode.peerClosed) {
			logger.info({code: reason.code, reason: reason.message, peer: link.peer?.location.vm}, 'link to a peer closed');
		}

		seeds.closed(link);
		links.closed(link, reason);
	}

	/** Records that a message arrived from a peer; returns its connection, or undefined if the link is no longer in use. */
	#recordMessageOn(link: Link): PeerConnection | undefined {
		const {table, links} = this.#options;
		const vm = link.peer?.location.vm;
		const connection = vm === undefined ? undefined : links.get(vm);
		if (vm === undefined || !connection?.has(link)) {
			return undefined;
		}

		table.recordMessageFrom(vm);
		return connection;
	}

	#received(type: MessageType, body: MessageBodies[MessageType], link: Link): void {
		const connection = this.#recordMessageOn(link);
		if (connection === undefined || link.peer === undefined) {
			return;
		}

		const from = {vm: link.peer.location.vm, incarnation: link.peer.incarnation};
		switch (type) {
			case MessageType.heartbeat: {
				break;
			}

			case MessageType.goodbye: {
				this.#goodbye(from.vm, (body as MessageBodies[MessageType.goodbye]).reason);
				break;
			}

			case MessageType.memberDigest: {
				this.#options.viewExchange.digestReceived(body as MemberDigestBody, from.vm, link);
				break;
			}

			default: {
				connection.touch();
			}
		}

		this.#options.handlers.deliver(type, body, from);
	}

	#goodbye(vm: string, reason: string): void {
		const {table} = this.#options;
		if (reason === GoodbyeReason.shutdown as string) {
			table.markStopped(vm);
		} else if (reason === GoodbyeReason.idle as string) {
			table.unmonitor(vm);
		}
	}
}

function isLocalLink(link: Link): boolean {
	return link.peer !== undefined && link.peer.role !== Role.control;
}

function locationOf(record: VmRecord): HelloBody['location'] {
	return {vm: record.vm, failureDomain: record.failureDomain, region: record.region};
}

function placeholderRecord(peer: HelloBody, controlAddress: string): VmRecord {
	return {
		...peer.location, controlAddress, entryUrl: '', lookupUrl: '', adminUrl: '', leaving: false,
	};
}
