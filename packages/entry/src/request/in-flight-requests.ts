import {type Socket} from 'node:net';
import {type Exchange} from './exchange.js';

/** Whether a request waits for a backend slot or has been sent. */
export type RequestStage = 'queued' | 'running';

/** The in-flight requests, indexed by connection and by key. */
export class InFlightRequests {
	readonly #bySocket = new WeakMap<Socket, Set<Exchange>>();
	/** The last request that was read from each connection. */
	readonly #lastOf = new WeakMap<Socket, Exchange>();
	/** Connections that end behind the answer to the last request. */
	readonly #ending = new WeakSet<Socket>();
	readonly #byKey = new Map<string, Map<Exchange, {stage: RequestStage; action: () => void}>>();
	readonly #keyOf = new Map<Exchange, string>();
	#count = 0;

	get count(): number {
		return this.#count;
	}

	add(exchange: Exchange): void {
		this.#count++;
		const {socket} = exchange.request;
		this.#lastOf.set(socket, exchange);
		const exchanges = this.#bySocket.get(socket);
		if (exchanges === undefined) {
			this.#bySocket.set(socket, new Set([exchange]));
		} else {
			exchanges.add(exchange);
		}
	}

	remove(exchange: Exchange): void {
		this.#count--;
		this.#bySocket.get(exchange.request.socket)?.delete(exchange);

		this.#removeKey(exchange);
	}

	/** Ends the connection of a request behind its answer, if no request was read behind it; returns whether it does. Closing it behind another answer would cut off the requests that were sent ahead. */
	endConnectionAfter(exchange: Exchange): boolean {
		const {socket} = exchange.request;
		if (this.#lastOf.get(socket) !== exchange) {
			return false;
		}

		this.#ending.add(socket);
		return true;
	}

	/** Whether requests that come on a connection count as not read, because it ends behind an answer before them. */
	isEnding(socket: Socket): boolean {
		return this.#ending.has(socket);
	}

	/** In-flight requests of a connection. */
	ofSocket(socket: Socket): readonly Exchange[] {
		return [...this.#bySocket.get(socket) ?? []];
	}

	/** Sets the stage of a request and the action that `revoke` runs for it, in place of earlier ones. */
	setRevocationAction(exchange: Exchange, digestHex: string | undefined, stage: RequestStage, action: () => void): void {
		if (digestHex !== undefined) {
			const byExchange = this.#byKey.get(digestHex) ?? new Map<Exchange, {stage: RequestStage; action: () => void}>();
			byExchange.set(exchange, {stage, action});
			this.#byKey.set(digestHex, byExchange);
			this.#keyOf.set(exchange, digestHex);
		}
	}

	/** Runs the revocation actions of a key's requests that are at a stage. */
	revoke(digestHex: string, stage: RequestStage): void {
		for (const entry of this.#byKey.get(digestHex)?.values() ?? []) {
			if (entry.stage === stage) {
				entry.action();
			}
		}
	}

	#removeKey(exchange: Exchange): void {
		const digestHex = this.#keyOf.get(exchange);
		if (digestHex === undefined) {
			return;
		}

		this.#keyOf.delete(exchange);
		const byExchange = this.#byKey.get(digestHex);
		byExchange?.delete(exchange);
		if (byExchange?.size === 0) {
			this.#byKey.delete(digestHex);
		}
	}
}
