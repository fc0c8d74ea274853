import {
	errorBody, FescuewickError, ResultCode, toFescuewickError, type Cancel, type ErrorBody, type TimerService,
} from '@fescuewick/core';
import {packHeartbeat, unpackHeartbeat} from './heartbeat-codec.js';
import {packBody, unpackBody} from './load-codec.js';
import {
	MessageType, type HeartbeatBody, type HelloBody, type MessageBodies, type ReplyBodies, type RequestType,
} from './messages.js';

/** Interval between heartbeats on a link. */
export const heartbeatIntervalMs = 500;
/** A link that receives nothing for this long is closed as silent; an immediate reconnect then replaces it within 2 s. */
export const silenceTimeoutMs = 1500;
/** A silence check that runs later than this after its due time shows that this process was stalled; frames may be waiting in the socket and are read first. */
const maxTimerLatenessMs = 250;
/** Sent heartbeats kept until their echo arrives; a link that misses this many is closed as silent long before. */
const maxUnechoedHeartbeats = 16;

/** Handles a request; resolves with the reply's body. */
export type RequestHandler = <Type extends RequestType>(type: Type, body: MessageBodies[Type], link: Link) => Promise<ReplyBodies[Type]>;
/** Handles a one-way message. */
export type MessageHandler = <Type extends MessageType>(type: Type, body: MessageBodies[Type], link: Link) => void;

type PendingRequest = {resolve: (body: unknown) => void; reject: (error: FescuewickError) => void; cancel: Cancel};

/** Dependencies, hello body and callbacks of a link. */
export type LinkOptions = {
	readonly timers: TimerService;
	readonly hello: HelloBody;
	/** Returns the body of the next heartbeat; the link adds `sequence`, `echo` and `echoHeldMs`. */
	readonly heartbeat: () => HeartbeatBody;
	readonly onMessage: MessageHandler;
	readonly onRequest: RequestHandler;
	readonly onClose: (reason: FescuewickError, link: Link) => void;
	/** Called once, when the peer's hello has arrived. */
	readonly onOpen: (peer: HelloBody, link: Link) => void;
};

/** A connection between two processes: typed messages, requests with timeouts, heartbeats. */
export abstract class Link {
	#peer: HelloBody | undefined;
	#nextRequestId = 1;
	#closed = false;
	#lastReceivedAtMs: number;
	#heartbeatSequence = 0;
	/** Send times of heartbeats that the peer has not echoed yet, by sequence. */
	readonly #sentAtMsBySequence = new Map<number, number>();
	#lastReceivedHeartbeat: {readonly sequence: number; readonly atMs: number} | undefined;
	readonly #pendingRequests = new Map<number, PendingRequest>();
	#cancelHeartbeat: Cancel | undefined;
	#cancelSilenceCheck: Cancel | undefined;

	constructor(protected readonly options: LinkOptions) {
		this.#lastReceivedAtMs = options.timers.nowMs();
	}

	/** The peer's hello; undefined until it has arrived. */
	get peer(): HelloBody | undefined {
		return this.#peer;
	}

	get closed(): boolean {
		return this.#closed;
	}

	/** Time since the last frame from the peer. */
	get silentForMs(): number {
		return this.options.timers.nowMs() - this.#lastReceivedAtMs;
	}

	/** Sends a one-way message; on a closed link it is dropped. */
	send<Type extends MessageType>(type: Type, body: MessageBodies[Type]): void {
		if (!this.#closed) {
			this.transmit(type, 0, packBody(type, body));
		}
	}

	/** Sends a request and resolves with its answer; rejects with the peer's code, `requestToPeerTimeout` or `peerClosed`. */
	async request<Type extends RequestType>(type: Type, body: MessageBodies[Type], timeoutMs: number): Promise<ReplyBodies[Type]> {
		if (this.#closed) {
			throw new FescuewickError(ResultCode.peerClosed, 'link is closed');
		}

		const id = this.#nextRequestId++;
		return new Promise((resolve, reject) => {
			const cancel = this.options.timers.after(timeoutMs, () => {
				this.#pendingRequests.delete(id);
				reject(new FescuewickError(ResultCode.requestToPeerTimeout, `no answer to ${MessageType[type]} within ${timeoutMs} ms`));
			});
			this.#pendingRequests.set(id, {resolve: resolve as (body: unknown) => void, reject, cancel});
			try {
				this.transmit(type, id, packBody(type, body));
			} catch (error) {
				cancel();
				this.#pendingRequests.delete(id);
				reject(toFescuewickError(error));
			}
		});
	}

	/** Closes the link; pending requests are rejected with `reason`. */
	close(reason = new FescuewickError(ResultCode.peerClosed, 'link closed by this process')): void {
		if (this.#closed) {
			return;
		}

		this.#closed = true;
		this.#cancelHeartbeat?.();
		this.#cancelSilenceCheck?.();

		for (const pendingRequest of this.#pendingRequests.values()) {
			pendingRequest.cancel();
			pendingRequest.reject(reason);
		}

		this.#pendingRequests.clear();
		this.disconnect();
		this.options.onClose(reason, this);
	}

	/** To be called by subclasses when the transport is connected. */
	protected start(): void {
		// A link can be closed while its transport still connects; heartbeats started after that would never stop.
		if (this.#closed) {
			return;
		}

		this.transmit(MessageType.hello, 0, this.options.hello);
		this.#lastReceivedAtMs = this.options.timers.nowMs();
		this.#sendHeartbeat();
		this.#cancelHeartbeat = this.options.timers.repeat(heartbeatIntervalMs, () => {
			this.#sendHeartbeat();
		});
		this.#scheduleSilenceCheck(silenceTimeoutMs);
	}

	/** To be called by subclasses for each received frame. */
	protected receive(type: MessageType, id: number, body: unknown): void {
		if (this.#closed) {
			return;
		}

		this.#lastReceivedAtMs = this.options.timers.nowMs();
		switch (type) {
			case MessageType.reply:
			case MessageType.errorReply: {
				this.#settleRequest(type, id, body);
				break;
			}

			case MessageType.hello: {
				if (this.#peer !== undefined) {
					throw new FescuewickError(ResultCode.frameMalformed, 'peer sent a second hello');
				}

				this.#peer = body as HelloBody;
				this.options.onOpen(this.#peer, this);
				break;
			}

			case MessageType.heartbeat: {
				this.options.onMessage(type, this.#withTransitTime(unpackHeartbeat(body)), this);
				break;
			}

			default: {
				const unpacked = unpackBody(type, body);
				if (id === 0) {
					this.options.onMessage(type, unpacked as never, this);
				} else {
					void this.#handleRequest(type as RequestType, id, unpacked);
				}
			}
		}
	}

	/** Writes one frame to the transport. */
	protected abstract transmit(type: MessageType, id: number, body: unknown): void;
	/** Closes the transport. */
	protected abstract disconnect(): void;

	/** Uses one timer per link, set again relative to the last frame, so that silence is detected at the timeout and not at the next heartbeat. */
	#scheduleSilenceCheck(delayMs: number): void {
		const dueMs = this.options.timers.nowMs() + delayMs;
		this.#cancelSilenceCheck = this.options.timers.after(delayMs, () => {
			const remainingMs = silenceTimeoutMs - this.silentForMs;
			// A remainder under 1 ms may be a rounding error too small to change the current time when added to it; the check would then repeat at the same time forever.
			if (remainingMs >= 1) {
				this.#scheduleSilenceCheck(remainingMs);
			} else if (this.options.timers.nowMs() - dueMs > maxTimerLatenessMs) {
				this.#scheduleSilenceCheck(maxTimerLatenessMs);
			} else {
				this.close(new FescuewickError(ResultCode.peerSilent, `peer was silent for ${Math.round(this.silentForMs)} ms`));
			}
		});
	}

	#sendHeartbeat(): void {
		const nowMs = this.options.timers.nowMs();
		const sequence = ++this.#heartbeatSequence;
		this.#sentAtMsBySequence.set(sequence, nowMs);
		const last = this.#lastReceivedHeartbeat;
		if (!this.#closed) {
			const echo = last === undefined ? {} : {echo: last.sequence, echoHeldMs: Math.floor(nowMs - last.atMs)};
			this.transmit(MessageType.heartbeat, 0, packHeartbeat({...this.options.heartbeat(), sequence, ...echo}));
		}
	}

	/** Adds `transitMs`: the round trip less the time the peer held the echo. It is an upper bound, because the peer sent this heartbeat after it had received the one it echoes. */
	#withTransitTime(body: HeartbeatBody): HeartbeatBody {
		const nowMs = this.options.timers.nowMs();
		this.#lastReceivedHeartbeat = {sequence: body.sequence ?? 0, atMs: nowMs};
		const echo = body.echo ?? 0;
		const sentAtMs = this.#sentAtMsBySequence.get(echo);
		for (const sequence of this.#sentAtMsBySequence.keys()) {
			if (sequence >= echo && this.#sentAtMsBySequence.size <= maxUnechoedHeartbeats) {
				break;
			}

			this.#sentAtMsBySequence.delete(sequence);
		}

		const transitMs = sentAtMs === undefined ? undefined : Math.max(0, nowMs - sentAtMs - (body.echoHeldMs ?? 0));
		return {...body, transitMs};
	}

	#settleRequest(type: MessageType, id: number, body: unknown): void {
		const pendingRequest = this.#pendingRequests.get(id);
		// The request has timed out already; its late answer is dropped.
		if (pendingRequest === undefined) {
			return;
		}

		this.#pendingRequests.delete(id);
		pendingRequest.cancel();
		if (type === MessageType.reply) {
			pendingRequest.resolve(body);
			return;
		}

		const {code, message, retryAfterMs} = body as ErrorBody;
		pendingRequest.reject(new FescuewickError(code, message, {retryAfterMs}));
	}

	async #handleRequest(type: RequestType, id: number, body: unknown): Promise<void> {
		let replyType = MessageType.reply;
		let reply: unknown;
		try {
			reply = await this.options.onRequest(type, body as never, this);
		} catch (error) {
			const {code, message, retryAfterMs} = toFescuewickError(error);
			replyType = MessageType.errorReply;
			reply = errorBody(code, message, retryAfterMs);
		}

		if (this.#closed) {
			return;
		}

		try {
			this.transmit(replyType, id, reply);
		} catch (error) {
			// An answer that exceeds the frame limit is replaced by an error, so that the peer does not wait for its timeout.
			const {code, message} = toFescuewickError(error);
			this.transmit(MessageType.errorReply, id, errorBody(code, message));
		}
	}
}

/** Creates links; over TCP in production, in memory in tests. */
export abstract class Transport {
	/** Opens a link to `address` (`ip:port`); the link reports success and failure through the callbacks in `options`. */
	abstract connect(address: string, options: LinkOptions): Link;
	/** Accepts links at `address`; port 0 selects a free port. Resolves with a listener that holds the address in use. */
	abstract listen(address: string, options: () => LinkOptions): Promise<Listener>;
}

/** A listening address that accepts links. */
export type Listener = {
	readonly address: string;
	/** Stops accepting; existing links stay open. */
	close(): Promise<void>;
};
