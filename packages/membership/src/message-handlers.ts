import {FescuewickError, ResultCode, type Logger} from '@fescuewick/core';
import {
	MessageType, type MessageBodies, type ReplyBodies, type RequestType,
} from '@fescuewick/wire';
import {type PeerMessageHandler, type PeerRequestHandler, type Sender} from './peer-network.js';

/** Handlers of messages from peers, by type. */
export class MessageHandlers {
	readonly #logger: Logger;
	readonly #requestHandlers = new Map<MessageType, PeerRequestHandler<RequestType>>();
	readonly #messageHandlers = new Map<MessageType, Array<PeerMessageHandler<MessageType>>>();

	constructor(logger: Logger) {
		this.#logger = logger;
	}

	handle<Type extends RequestType>(type: Type, handler: PeerRequestHandler<Type>): void {
		this.#requestHandlers.set(type, handler as unknown as PeerRequestHandler<RequestType>);
	}

	on<Type extends MessageType>(type: Type, handler: PeerMessageHandler<Type>): void {
		const handlers = this.#messageHandlers.get(type) ?? [];
		handlers.push(handler as unknown as PeerMessageHandler<MessageType>);
		this.#messageHandlers.set(type, handlers);
	}

	/** Answers a request; rejects with `messageUnknown` if its type has no handler. */
	async answer<Type extends RequestType>(type: Type, body: MessageBodies[Type], from: Sender): Promise<ReplyBodies[Type]> {
		const handler = this.#requestHandlers.get(type);
		if (handler === undefined) {
			throw new FescuewickError(ResultCode.messageUnknown, `no handler for requests of type ${MessageType[type] ?? type}`);
		}

		return await handler(body, from) as ReplyBodies[Type];
	}

	/** Passes a one-way message to its handlers; an error in one of them does not affect the link. */
	deliver<Type extends MessageType>(type: Type, body: MessageBodies[Type], from: Sender): void {
		for (const handler of this.#messageHandlers.get(type) ?? []) {
			try {
				handler(body, from);
			} catch (error) {
				this.#logger.error({err: error, type: MessageType[type], from: from.vm}, 'message handler failed');
			}
		}
	}
}
