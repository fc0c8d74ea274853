import {type Cancel, type TimerService} from '@fescuewick/core';
import {Client} from 'undici';
import {type Backend} from './backend.js';
import {type BackendPool} from './backend-pool.js';

/** A server that shuts down gets no new requests after at most one interval and one timeout, 1.5 s. */
const probeIntervalMs = 1000;
const probeTimeoutMs = 500;

/** Probes the health of each backend server every second. */
export class Prober {
	readonly #clients = new Map<Backend, Client>();
	readonly #probing = new Set<Backend>();
	readonly #cancel: Cancel;

	constructor(private readonly timers: TimerService, private readonly path: string, private readonly pools: () => Iterable<BackendPool>) {
		this.#cancel = timers.repeat(probeIntervalMs, () => {
			void this.probeAll();
		});
	}

	/** Probes all servers once; with `onlyNew`, only those that were never probed. */
	async probeAll(onlyNew = false): Promise<void> {
		const current = new Set<Backend>();
		const probes: Array<Promise<void>> = [];
		for (const pool of this.pools()) {
			for (const backend of pool.backends) {
				current.add(backend);
				if (!this.#probing.has(backend) && (backend.awaitsProbe || !onlyNew)) {
					probes.push(this.#probe(pool, backend));
				}
			}
		}

		for (const backend of this.#clients.keys()) {
			if (!current.has(backend)) {
				this.#closeClient(backend);
			}
		}

		await Promise.all(probes);
	}

	stop(): void {
		this.#cancel();
		for (const backend of this.#clients.keys()) {
			this.#closeClient(backend);
		}
	}

	async #probe(pool: BackendPool, backend: Backend): Promise<void> {
		this.#probing.add(backend);
		const abortController = new AbortController();
		const cancel = this.timers.after(probeTimeoutMs, () => {
			abortController.abort();
		});
		try {
			const answer = await this.#client(backend).request({method: 'GET', path: this.path, signal: abortController.signal});
			await answer.body.dump();
			pool.observeDraining(backend, answer.headers['x-draining'] === '1');
			pool.observeProbe(backend, answer.statusCode < 500);
		} catch {
			this.#closeClient(backend);
			pool.observeProbe(backend, false);
		} finally {
			cancel();
			this.#probing.delete(backend);
		}
	}

	#client(backend: Backend): Client {
		let client = this.#clients.get(backend);
		if (client === undefined) {
			client = new Client(`http://${backend.record.address}`, {pipelining: 1, connect: {timeout: probeTimeoutMs}});
			this.#clients.set(backend, client);
		}

		return client;
	}

	#closeClient(backend: Backend): void {
		void this.#clients.get(backend)?.destroy();
		this.#clients.delete(backend);
	}
}
