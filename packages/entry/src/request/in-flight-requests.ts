import {type Socket} from 'node:net';
import {type Exchange} from './exchange.js';

/** How far a request has come. */
export type RequestStage = 'queued' | 'running';

/** The requests in progress, by connection and by key. */
export class InFlightRequests {
	readonly #bySocket = new WeakMap<Socket, Set<Exchange>>();
	readonly #byKey = new Map<string, Map<Exchange, {stage: RequestStage; action: () => void}>>();
	readonly #keyOf = new Map<Exchange, string>();
	#count = 0;

	get count(): number {
		return this.#count;
	}

	add(exchange: Exchange): void {
		this.#count++;
		const {socket} = exchange.request;
		const onSocket = this.#bySocket.get(socket);
		if (onSocket === undefined) {
			this.#bySocket.set(socket, new Set([exchange]));
		} else {
			onSocket.add(exchange);
		}
	}

	remove(exchange: Exchange): void {
		this.#count--;
		this.#bySocket.get(exchange.request.socket)?.delete(exchange);

		this.#removeKey(exchange);
	}

	/** Requests in progress on a connection. */
	ofSocket(socket: Socket): readonly Exchange[] {
		return [...this.#bySocket.get(socket) ?? []];
	}

	/** Sets what happens to a request when its key is revoked, in place of what was set before. */
	onRevoked(exchange: Exchange, digestHex: string | undefined, stage: RequestStage, action: () => void): void {
		if (digestHex !== undefined) {
			const byExchange = this.#byKey.get(digestHex) ?? new Map<Exchange, {stage: RequestStage; action: () => void}>();
			byExchange.set(exchange, {stage, action});
			this.#byKey.set(digestHex, byExchange);
			this.#keyOf.set(exchange, digestHex);
		}
	}

	/** Stops the requests at a stage that were made with a key. */
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
